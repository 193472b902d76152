package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Provenance describes which components of a run were real and which were replaced. A field is empty if it does not
// apply.
type Provenance struct {
	Real     string `json:"real,omitempty"`     // the program's own code on real sockets or a real clock
	Hollow   string `json:"hollow,omitempty"`   // the program's state machines and drivers without clients or work
	Virtual  string `json:"virtual,omitempty"`  // on a virtual network or clock
	Computed string `json:"computed,omitempty"` // by arithmetic or random draws
}

// Size is the value of one axis at a point.
type Size struct {
	Axis  string  `json:"axis"`
	Value float64 `json:"value"`
}

// Sizes are a point's values on all axes.
type Sizes []Size

// Of returns the value on an axis, or 0 if there is none.
func (s Sizes) Of(axis string) float64 {
	for _, size := range s {
		if size.Axis == axis {
			return size.Value
		}
	}
	return 0
}

// Reading is one measured value.
type Reading struct {
	Name  string
	Unit  string
	Value float64
}

// Measure is a quantity that was measured at a point, with a value for each repetition.
type Measure struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Values []float64 `json:"values"`
}

// Point is what was measured at one combination of sizes.
type Point struct {
	Sizes    Sizes     `json:"sizes"`
	Measures []Measure `json:"measures"`
}

// Values returns the values of a measure, or nil if it was not measured.
func (p Point) Values(name string) []float64 {
	for _, m := range p.Measures {
		if m.Name == name {
			return m.Values
		}
	}
	return nil
}

// repetitions returns how often the point was measured.
func (p Point) repetitions() int {
	if len(p.Measures) == 0 {
		return 0
	}
	return len(p.Measures[0].Values)
}

// add adds the readings of one repetition.
func (p *Point) add(readings []Reading) {
	for _, r := range readings {
		i := slices.IndexFunc(p.Measures, func(m Measure) bool { return m.Name == r.Name })
		if i < 0 {
			i = len(p.Measures)
			p.Measures = append(p.Measures, Measure{Name: r.Name, Unit: r.Unit})
		}
		p.Measures[i].Values = append(p.Measures[i].Values, r.Value)
	}
}

// Machine describes the machine of a run.
type Machine struct {
	Processor string  `json:"processor"`
	Cores     int     `json:"cores"`
	MemoryGB  float64 `json:"memory_gb"`
	Go        string  `json:"go"`
	Shared    bool    `json:"shared"` // other processes ran beside it
}

// Record is one run of an experiment at all of its points.
type Record struct {
	Experiment  string     `json:"experiment"`
	Command     string     `json:"command"`
	Commit      string     `json:"commit"`
	Began       time.Time  `json:"began"`
	Machine     Machine    `json:"machine"`
	Seed        uint64     `json:"seed"`
	Repetitions int        `json:"repetitions"`
	Provenance  Provenance `json:"provenance"`
	Points      []Point    `json:"points"`
}

// ErrRecord is the error of a record that lacks something or belongs to another run.
var ErrRecord = errors.New("scale: a record is incomplete")

// errNoRecord is the error of an experiment without a record.
var errNoRecord = errors.New("scale: no record")

// Check returns nil for a complete record, or else ErrRecord with what it lacks.
func (r *Record) Check() error {
	switch {
	case r.Experiment == "" || r.Commit == "" || r.Command == "" || r.Began.IsZero() || r.Machine.Cores == 0:
		return fmt.Errorf("%w: experiment, commit, command, time and machine are required", ErrRecord)
	case r.Provenance == Provenance{}:
		return fmt.Errorf("%w: the provenance is required", ErrRecord)
	case r.Repetitions < 1 || len(r.Points) == 0:
		return fmt.Errorf("%w: no point or no repetition", ErrRecord)
	}
	for _, p := range r.Points {
		if len(p.Sizes) == 0 || len(p.Measures) == 0 {
			return fmt.Errorf("%w: a point without sizes or measures", ErrRecord)
		}
		for _, m := range p.Measures {
			if len(m.Values) != r.Repetitions {
				return fmt.Errorf("%w: %s at %v has %d values for %d repetitions", ErrRecord, m.Name, p.Sizes,
					len(m.Values), r.Repetitions)
			}
		}
	}
	return nil
}

// Samples returns the values of a measure along one axis, at the points that have the fixed sizes on other axes.
func (r *Record) Samples(name, axis string, fixed ...Size) []Sample {
	var samples []Sample
	for _, p := range r.Points {
		off := func(f Size) bool { return p.Sizes.Of(f.Axis) != f.Value }
		if slices.ContainsFunc(fixed, off) {
			continue
		}
		for _, v := range p.Values(name) {
			samples = append(samples, Sample{p.Sizes.Of(axis), v})
		}
	}
	return samples
}

// At returns the values of a measure at the one point with the given sizes. It is an error if none or several match.
func (r *Record) At(name string, sizes ...Size) ([]float64, error) {
	var found []float64
	for _, p := range r.Points {
		off := func(f Size) bool { return p.Sizes.Of(f.Axis) != f.Value }
		if slices.ContainsFunc(sizes, off) {
			continue
		}
		if found != nil {
			return nil, fmt.Errorf("scale: %s: several points at %v", r.Experiment, sizes)
		}
		found = p.Values(name)
	}
	if found == nil {
		return nil, fmt.Errorf("scale: %s: no %q at %v", r.Experiment, name, sizes)
	}
	return found, nil
}

// Save writes a complete record to a file in a directory, named by experiment and commit, and returns its path.
func (r *Record) Save(dir string) (string, error) {
	if err := r.Check(); err != nil {
		return "", err
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, fmt.Sprintf("%s-%s.json", r.Experiment, r.Commit))
	return path, os.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadRecords reads the records of a directory, in the order of their file names.
func ReadRecords(dir string) ([]*Record, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var all []*Record
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		r := &Record{}
		if err := json.Unmarshal(text, r); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if err := r.Check(); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, r)
	}
	return all, nil
}

// Latest returns the record of an experiment that was started last. The error is errNoRecord if there is none.
func Latest(all []*Record, experiment string) (*Record, error) {
	var latest *Record
	for _, r := range all {
		if r.Experiment == experiment && (latest == nil || r.Began.After(latest.Began)) {
			latest = r
		}
	}
	if latest == nil {
		return nil, fmt.Errorf("%w of %q", errNoRecord, experiment)
	}
	return latest, nil
}

// SaveState writes an incomplete record to a file for ReadState.
func (r *Record) SaveState(path string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// ReadState reads an incomplete record. It returns nil if the file does not exist.
func ReadState(path string) (*Record, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	r := &Record{}
	return r, json.Unmarshal(text, r)
}
