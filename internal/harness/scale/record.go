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

// Provenance describes which components of a run were real and which were simulated or computed. A field is empty if it
// does not apply.
type Provenance struct {
	Real string `json:"real,omitempty"` // the program's own code on real sockets or a real clock
	// Simulated names the program's state machines and drivers that ran without clients or work, and fake servers. The
	// JSON key is "hollow".
	Simulated string `json:"hollow,omitempty"`
	Virtual   string `json:"virtual,omitempty"`  // run on a virtual network or clock
	Computed  string `json:"computed,omitempty"` // determined by arithmetic or random draws
}

// Size is a parameter of a measured workload, such as 4,600 on the axis "servers".
type Size struct {
	Axis  string  `json:"axis"`
	Value float64 `json:"value"`
}

// Sizes identify a point of an experiment by one size per axis.
type Sizes []Size

// Of returns the size on an axis, or 0 if the point has none.
func (s Sizes) Of(axis string) float64 {
	for _, size := range s {
		if size.Axis == axis {
			return size.Value
		}
	}
	return 0
}

// Reading is one value of a measure, from one repetition.
type Reading struct {
	Name  string
	Unit  string
	Value float64
}

// Measure is a quantity that was measured at a point, with one value per repetition.
type Measure struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Values []float64 `json:"values"`
}

// Point holds the measures at one combination of sizes.
type Point struct {
	Sizes    Sizes     `json:"sizes"`
	Measures []Measure `json:"measures"`
}

// Values returns the values of a measure, or nil if the point has no such measure.
func (p Point) Values(name string) []float64 {
	for _, m := range p.Measures {
		if m.Name == name {
			return m.Values
		}
	}
	return nil
}

// repetitions returns how many times the point was measured.
func (p Point) repetitions() int {
	if len(p.Measures) == 0 {
		return 0
	}
	return len(p.Measures[0].Values)
}

// add appends the readings of one repetition to the point's measures.
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
	Shared    bool    `json:"shared"` // other processes ran at the same time
}

// Record is one run of an experiment at all of its points.
type Record struct {
	Experiment  string     `json:"experiment"`
	Command     string     `json:"command"`
	Commit      string     `json:"commit"`
	StartedAt   time.Time  `json:"began"`
	Machine     Machine    `json:"machine"`
	Seed        uint64     `json:"seed"`
	Repetitions int        `json:"repetitions"`
	Provenance  Provenance `json:"provenance"`
	Points      []Point    `json:"points"`
}

// ErrInvalidRecord is returned for a record that is incomplete or belongs to another run.
var ErrInvalidRecord = errors.New("scale: invalid record")

// errNoRecord is returned if no run of an experiment is recorded.
var errNoRecord = errors.New("scale: no record")

// Check returns nil if the record is complete, and otherwise an ErrInvalidRecord that says what is missing.
func (r *Record) Check() error {
	switch {
	case r.Experiment == "" || r.Commit == "" || r.Command == "" || r.StartedAt.IsZero() || r.Machine.Cores == 0:
		return fmt.Errorf("%w: experiment, commit, command, began and machine are required", ErrInvalidRecord)
	case r.Provenance == Provenance{}:
		return fmt.Errorf("%w: provenance is required", ErrInvalidRecord)
	case r.Repetitions < 1 || len(r.Points) == 0:
		return fmt.Errorf("%w: %d points and %d repetitions, want at least one of each", ErrInvalidRecord, len(r.Points),
			r.Repetitions)
	}
	for _, p := range r.Points {
		if len(p.Sizes) == 0 || len(p.Measures) == 0 {
			return fmt.Errorf("%w: point %v has %d sizes and %d measures, want at least one of each", ErrInvalidRecord, p.Sizes,
				len(p.Sizes), len(p.Measures))
		}
		for _, m := range p.Measures {
			if len(m.Values) != r.Repetitions {
				return fmt.Errorf("%w: measure %q at %v has %d values for %d repetitions", ErrInvalidRecord, m.Name, p.Sizes,
					len(m.Values), r.Repetitions)
			}
		}
	}
	return nil
}

// Samples returns the values of a measure along one axis, at the points that have the given sizes on other axes.
func (r *Record) Samples(name, axis string, fixed ...Size) []Sample {
	var samples []Sample
	for _, p := range r.Points {
		differs := func(f Size) bool { return p.Sizes.Of(f.Axis) != f.Value }
		if slices.ContainsFunc(fixed, differs) {
			continue
		}
		for _, v := range p.Values(name) {
			samples = append(samples, Sample{p.Sizes.Of(axis), v})
		}
	}
	return samples
}

// At returns the values of a measure at the point with the given sizes. It returns an error unless exactly one point with
// that measure matches.
func (r *Record) At(name string, sizes ...Size) ([]float64, error) {
	var found []float64
	for _, p := range r.Points {
		differs := func(f Size) bool { return p.Sizes.Of(f.Axis) != f.Value }
		if slices.ContainsFunc(sizes, differs) {
			continue
		}
		if found != nil {
			return nil, fmt.Errorf("scale: experiment %s has several points at %v, want one", r.Experiment, sizes)
		}
		found = p.Values(name)
	}
	if found == nil {
		return nil, fmt.Errorf("scale: experiment %s has no measure %q at %v", r.Experiment, name, sizes)
	}
	return found, nil
}

// Save writes a complete record to a file in a directory and returns the file's path. The file is named after the
// experiment and the commit.
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

// ReadRecords reads and checks all records of a directory, in the order of their file names.
func ReadRecords(dir string) ([]*Record, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var records []*Record
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
		records = append(records, r)
	}
	return records, nil
}

// Latest returns the record of an experiment's most recently started run. The error is errNoRecord if there is none.
func Latest(records []*Record, experiment string) (*Record, error) {
	var latest *Record
	for _, r := range records {
		if r.Experiment == experiment && (latest == nil || r.StartedAt.After(latest.StartedAt)) {
			latest = r
		}
	}
	if latest == nil {
		return nil, fmt.Errorf("%w of experiment %q", errNoRecord, experiment)
	}
	return latest, nil
}

// SaveIncomplete writes the record to a file without checking that it is complete. ReadIncomplete restores it.
func (r *Record) SaveIncomplete(path string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// ReadIncomplete reads a record written by SaveIncomplete, which may be incomplete. It returns nil if the file does not exist.
func ReadIncomplete(path string) (*Record, error) {
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
