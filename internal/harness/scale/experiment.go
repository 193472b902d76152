package scale

import (
	"fmt"
	"time"
)

// Experiment measures a component at several points, which are combinations of sizes.
type Experiment struct {
	Name        string
	Provenance  Provenance
	SmallPoints []Sizes // measured by CI
	LargePoints []Sizes // measured for a record in docs/capacity
	// MeasurePoint measures a point once. Calls with equal seeds do the same work.
	MeasurePoint func(sizes Sizes, seed uint64) ([]Reading, error)
}

// Plan configures the run of an experiment.
type Plan struct {
	Points      []Sizes
	Repetitions int    // measurements of each point
	Seed        uint64 // seed of the first repetition; each following repetition increments it
	Commit      string // commit of the measured code
	Command     string // command that started the run
}

// Run runs an experiment. It measures all points once, then all again, so that other load on the machine affects all of
// them. If previous is not nil, Run resumes that incomplete record. After the deadline it stops between two points; a zero
// deadline means none. The returned record is complete if its Check returns nil. The error is ErrInvalidRecord if previous
// belongs to another run.
func Run(e Experiment, plan Plan, previous *Record, deadline time.Time) (*Record, error) {
	r := previous
	if r == nil {
		r = &Record{Experiment: e.Name, Command: plan.Command, Commit: plan.Commit, StartedAt: time.Now().UTC(),
			Machine: ThisMachine(), Seed: plan.Seed, Repetitions: plan.Repetitions, Provenance: e.Provenance}
		for _, sizes := range plan.Points {
			r.Points = append(r.Points, Point{Sizes: sizes})
		}
	}
	if r.Experiment != e.Name || r.Commit != plan.Commit || r.Seed != plan.Seed || len(r.Points) != len(plan.Points) {
		return nil, fmt.Errorf("%w: cannot resume %s at commit %s (seed %d, %d points): the record is of %s at commit %s "+
			"(seed %d, %d points)", ErrInvalidRecord, e.Name, plan.Commit, plan.Seed, len(plan.Points),
			r.Experiment, r.Commit, r.Seed, len(r.Points))
	}
	for repetition := range plan.Repetitions {
		for i, sizes := range plan.Points {
			if r.Points[i].repetitions() > repetition {
				continue
			}
			if !deadline.IsZero() && time.Now().After(deadline) {
				return r, nil
			}
			readings, err := e.MeasurePoint(sizes, plan.Seed+uint64(repetition))
			if err != nil {
				return nil, fmt.Errorf("%s at %v: %w", e.Name, sizes, err)
			}
			r.Points[i].add(readings)
		}
	}
	return r, r.Check()
}

// axis returns one point for each value on an axis, with fixed sizes on the other axes.
func axis(name string, values []float64, fixed ...Size) []Sizes {
	var points []Sizes
	for _, v := range values {
		points = append(points, append(Sizes{{name, v}}, fixed...))
	}
	return points
}

// grid returns the points of all combinations of values on two axes.
func grid(axis1 string, values1 []float64, axis2 string, values2 []float64) []Sizes {
	var points []Sizes
	for _, v := range values2 {
		points = append(points, axis(axis1, values1, Size{axis2, v})...)
	}
	return points
}

// Experiments returns all experiments.
func Experiments() []Experiment {
	return []Experiment{
		decisionExperiment(), serviceExperiment(), meshExperiment(), listExperiment(), watchExperiment(),
		membershipExperiment(), faultExperiment(), partitionExperiment(), rollingRestartExperiment(), singleRestartExperiment(),
		simulatedFleetExperiment(), slowStartExperiment(), quantileExperiment(), configurationExperiment(),
	}
}

// FindExperiment returns the experiment with the given name, or an error if there is none.
func FindExperiment(name string) (Experiment, error) {
	for _, e := range Experiments() {
		if e.Name == name {
			return e, nil
		}
	}
	return Experiment{}, fmt.Errorf("scale: experiment %q does not exist", name)
}
