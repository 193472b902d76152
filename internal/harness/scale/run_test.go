package scale_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/harness/scale"
)

// deterministicMeasures runs an experiment at its first small point and returns the measures that depend only on the seed,
// which excludes CPU time, memory and allocations.
func deterministicMeasures(t *testing.T, name string, seed uint64) map[string][]float64 {
	e, err := scale.FindExperiment(name)
	require.NoError(t, err)
	r, err := scale.Run(e, scale.Plan{Points: e.SmallPoints[:1], Repetitions: 1, Seed: seed, Commit: "test", Command: "go test"},
		nil, time.Time{})
	require.NoError(t, err)
	measures := map[string][]float64{}
	for _, m := range r.Points[0].Measures {
		switch m.Unit {
		case "s", "B/s", "B/s a broker", "1/s a broker", "sends", "batches", "parts a window", "share", "brokers a view":
			measures[m.Name] = m.Values
		}
	}
	require.NotEmpty(t, measures)
	return measures
}

func TestRunIsDeterministicForSeed(t *testing.T) {
	for _, name := range []string{"decision", "membership", "faults", "cut", "restarts", "cold", "quantile"} {
		require.Equal(t, deterministicMeasures(t, name, 3), deterministicMeasures(t, name, 3), name)
	}
	require.NotEqual(t, deterministicMeasures(t, "membership", 3), deterministicMeasures(t, "membership", 4),
		"the seed has no effect")
}

func TestRunResumesIncompleteRecord(t *testing.T) {
	measured := 0
	e := scale.Experiment{Name: "test", Provenance: scale.Provenance{Computed: "all"},
		MeasurePoint: func(sizes scale.Sizes, seed uint64) ([]scale.Reading, error) {
			measured++
			return []scale.Reading{{Name: "cost", Unit: "µs", Value: sizes.Of("x") * float64(seed)}}, nil
		}}
	plan := scale.Plan{Points: []scale.Sizes{{{Axis: "x", Value: 2}}, {{Axis: "x", Value: 3}}}, Repetitions: 2, Seed: 1,
		Commit: "c", Command: "c"}
	r, err := scale.Run(e, plan, nil, time.Now().Add(-time.Second))
	require.NoError(t, err)
	require.ErrorIs(t, r.Check(), scale.ErrInvalidRecord)
	path := t.TempDir() + "/state"
	require.NoError(t, r.SaveIncomplete(path))
	previous, err := scale.ReadIncomplete(path)
	require.NoError(t, err)
	r, err = scale.Run(e, plan, previous, time.Time{})
	require.NoError(t, err)
	require.Equal(t, 4, measured)
	require.Equal(t, []scale.Sample{{X: 2, Y: 2}, {X: 2, Y: 4}, {X: 3, Y: 3}, {X: 3, Y: 6}}, r.Samples("cost", "x"))
	other := plan
	other.Commit = "d"
	_, err = scale.Run(e, other, r, time.Time{})
	require.ErrorIs(t, err, scale.ErrInvalidRecord, "a run is resumed only at the commit of its record")
}

func TestSaveRejectsIncompleteRecord(t *testing.T) {
	e, err := scale.FindExperiment("quantile")
	require.NoError(t, err)
	plan := scale.Plan{Points: e.SmallPoints, Repetitions: 1, Seed: 1, Commit: "c", Command: "c"}
	r, err := scale.Run(e, plan, nil, time.Time{})
	require.NoError(t, err)
	for name, invalidate := range map[string]func(*scale.Record){
		"commit":     func(r *scale.Record) { r.Commit = "" },
		"machine":    func(r *scale.Record) { r.Machine = scale.Machine{} },
		"provenance": func(r *scale.Record) { r.Provenance = scale.Provenance{} },
		"values":     func(r *scale.Record) { r.Repetitions = 2 },
	} {
		invalid := *r
		invalidate(&invalid)
		_, err := invalid.Save(t.TempDir())
		require.ErrorIs(t, err, scale.ErrInvalidRecord, name)
	}
}
