package scale

import (
	"fmt"
	"time"
)

// Experiment is one thing that is measured over sizes.
type Experiment struct {
	Name       string
	Provenance Provenance
	Small      []Sizes // what CI plays
	Large      []Sizes
	// Play measures once at a point. Equal seeds give equal work.
	Play func(at Sizes, seed uint64) ([]Reading, error)
}

// Plan is how a run is played.
type Plan struct {
	Points      []Sizes
	Repetitions int
	Seed        uint64
	Commit      string
	Command     string
}

// Run plays an experiment: all points once, then all again, so that a busy spell of the machine meets all of them. It
// goes on from a record that an earlier call left incomplete, if one is given, and stops between two points once its
// time is over; the zero time has no end. The record is whole if Check finds nothing.
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
		return nil, fmt.Errorf("%w: the run to go on with is another one's", ErrRecord)
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

// axis is points on one axis, all else as told.
func axis(name string, values []float64, fixed ...Size) []Sizes {
	var points []Sizes
	for _, v := range values {
		points = append(points, append(Sizes{{name, v}}, fixed...))
	}
	return points
}

// grid is points on two axes and their corners.
func grid(one string, ones []float64, two string, twos []float64) []Sizes {
	var points []Sizes
	for _, v := range twos {
		points = append(points, axis(one, ones, Size{two, v})...)
	}
	return points
}

// Experiments are all that can be played.
func Experiments() []Experiment {
	return []Experiment{
		decisionExperiment(), serviceExperiment(), meshExperiment(), listExperiment(), watchExperiment(),
		membershipExperiment(), faultExperiment(), cutExperiment(), restartExperiment(), returnExperiment(),
		hollowExperiment(), slowStartExperiment(), quantileExperiment(), configurationExperiment(),
	}
}

// FindExperiment is the experiment of a name.
func FindExperiment(name string) (Experiment, error) {
	for _, e := range Experiments() {
		if e.Name == name {
			return e, nil
		}
	}
	return Experiment{}, fmt.Errorf("scale: no experiment %q", name)
}
