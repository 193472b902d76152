package scale

import (
	"fmt"
	"time"
)

// Experiment measures a component at several points.
type Experiment struct {
	Name       string
	Provenance Provenance
	Small      []Sizes // points that CI measures
	Large      []Sizes // points of a record in docs/capacity
	// Play measures once at a point. Equal seeds do equal work.
	Play func(at Sizes, seed uint64) ([]Reading, error)
}

// Plan configures a run.
type Plan struct {
	Points      []Sizes
	Repetitions int    // of each point
	Seed        uint64 // of the first repetition; each later one has the next
	Commit      string // that is measured
	Command     string // that starts the run
}

// Run runs an experiment: all points once, then all again, so that other load on the machine affects all of them. It
// resumes the record that an earlier call left incomplete, if before is not nil, and stops between two points after the
// end; a zero end is none. The returned record is complete if Check returns nil. The error is ErrRecord if before is the
// record of another run.
func Run(e Experiment, plan Plan, before *Record, end time.Time) (*Record, error) {
	r := before
	if r == nil {
		r = &Record{Experiment: e.Name, Command: plan.Command, Commit: plan.Commit, Began: time.Now().UTC(),
			Machine: ThisMachine(), Seed: plan.Seed, Repetitions: plan.Repetitions, Provenance: e.Provenance}
		for _, at := range plan.Points {
			r.Points = append(r.Points, Point{Sizes: at})
		}
	}
	if r.Experiment != e.Name || r.Commit != plan.Commit || r.Seed != plan.Seed || len(r.Points) != len(plan.Points) {
		return nil, fmt.Errorf("%w: the run to resume is another one", ErrRecord)
	}
	for turn := range plan.Repetitions {
		for i, at := range plan.Points {
			if r.Points[i].repetitions() > turn {
				continue
			}
			if !end.IsZero() && time.Now().After(end) {
				return r, nil
			}
			readings, err := e.Play(at, plan.Seed+uint64(turn))
			if err != nil {
				return nil, fmt.Errorf("%s at %v: %w", e.Name, at, err)
			}
			r.Points[i].add(readings)
		}
	}
	return r, r.Check()
}

// axis returns points along one axis, with fixed sizes on others.
func axis(name string, values []float64, fixed ...Size) []Sizes {
	var points []Sizes
	for _, v := range values {
		points = append(points, append(Sizes{{name, v}}, fixed...))
	}
	return points
}

// grid returns all combinations of values on two axes.
func grid(one string, ones []float64, two string, twos []float64) []Sizes {
	var points []Sizes
	for _, v := range twos {
		points = append(points, axis(one, ones, Size{two, v})...)
	}
	return points
}

// Experiments returns all experiments.
func Experiments() []Experiment {
	return []Experiment{
		decisionExperiment(), serviceExperiment(), meshExperiment(), listExperiment(), watchExperiment(),
		membershipExperiment(), faultExperiment(), cutExperiment(), restartExperiment(), returnExperiment(),
		hollowExperiment(), slowStartExperiment(), quantileExperiment(), configurationExperiment(),
	}
}

// FindExperiment returns an experiment by its name.
func FindExperiment(name string) (Experiment, error) {
	for _, e := range Experiments() {
		if e.Name == name {
			return e, nil
		}
	}
	return Experiment{}, fmt.Errorf("scale: no experiment %q", name)
}
