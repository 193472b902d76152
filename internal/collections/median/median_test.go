package median_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/collections/median"
)

func TestLowerMatchesSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.OneOf(rapid.Float64Range(0, 1), rapid.SampledFrom([]float64{0, 0.5, 1}))
		values := rapid.SliceOfN(value, 1, 300).Draw(t, "values")
		sorted := slices.Sorted(slices.Values(values))
		require.Equal(t, sorted[(len(sorted)-1)/2], median.Lower(values))
	})
}

// boundedValue is a value that changes randomly within its bounds.
type boundedValue struct {
	entry        median.Entry[*boundedValue]
	current      float64
	lower, upper float64
	tracked      bool // whether entry is in the tracker
}

// trackerModel compares a tracker of random values, which are added, changed and removed, with a sort.
type trackerModel struct {
	random        *rand.Rand
	maxLower      float64 // nine in ten lower bounds are between 0 and maxLower
	tracker       median.Tracker[*boundedValue]
	values        []*boundedValue
	medianCalls   int // calls of Tracker.Median
	knownMedians  int // calls of Tracker.Median that returned a median
	computedCount int // values computed by Tracker.Median
}

const trackerNegligible = 1e-6

func newTrackerModel(seed uint64) *trackerModel {
	random := rand.New(rand.NewPCG(seed, 5))
	m := &trackerModel{random: random, tracker: median.Tracker[*boundedValue]{Negligible: trackerNegligible}}
	m.values = make([]*boundedValue, 1+random.IntN(200))
	m.maxLower = []float64{0, 1e-8, 0.3}[random.IntN(3)]
	for i := range m.values {
		m.values[i] = &boundedValue{}
		m.values[i].entry.Item = m.values[i]
		m.put(m.values[i])
	}
	return m
}

// put adds or updates a value with new random bounds.
func (m *trackerModel) put(v *boundedValue) {
	v.lower = m.maxLower * m.random.Float64()
	if m.random.IntN(10) == 0 {
		v.lower = m.random.Float64()
	}
	v.upper = v.lower * (1 + 0.2*m.random.Float64())
	v.current = v.lower
	m.tracker.Put(&v.entry, v.lower, v.upper)
	v.tracked = true
}

// step removes one value or updates its bounds, and changes all values within their bounds. It returns the tracked values.
func (m *trackerModel) step() (tracked []float64) {
	v := m.values[m.random.IntN(len(m.values))]
	if m.random.IntN(5) == 0 {
		m.tracker.Remove(&v.entry)
		v.tracked = false
	} else {
		m.put(v)
	}
	for _, v := range m.values {
		v.current = v.lower + (v.upper-v.lower)*m.random.Float64()
		if v.tracked {
			tracked = append(tracked, v.current)
		}
	}
	return tracked
}

// check compares the tracker's median with that of all tracked values, and resets the tracker if its median is not known.
func (m *trackerModel) check(t *testing.T, tracked []float64) {
	require.Equal(t, len(tracked), m.tracker.Len())
	m.medianCalls++
	got, ok := m.tracker.Median(func(v *boundedValue) float64 { m.computedCount++; return v.current })
	if len(tracked) == 0 {
		require.False(t, ok)
		return
	}
	want := median.Lower(tracked)
	if ok {
		m.knownMedians++
		if got == 0 {
			require.LessOrEqual(t, want, trackerNegligible)
		} else {
			require.Equal(t, want, got)
		}
		return
	}
	m.tracker.Reset(want)
	for _, v := range m.values {
		if v.tracked {
			m.tracker.Put(&v.entry, v.lower, v.upper)
		}
	}
}

func TestTrackerMedianMatchesSort(t *testing.T) {
	medianCalls, knownMedians, computedCount := 0, 0, 0
	for seed := range uint64(20) {
		m := newTrackerModel(seed)
		for range 500 {
			m.check(t, m.step())
		}
		medianCalls += m.medianCalls
		knownMedians += m.knownMedians
		computedCount += m.computedCount
	}
	require.Greater(t, knownMedians, medianCalls*8/10, "the median is known too rarely")
	require.Less(t, computedCount, medianCalls*100/2, "more than half of the values, 100 on average, are computed for a median")
}

// Guards against returning 0 as a negligible median although enough values are negative for the median to be negative.
func TestTrackerNegativeValuesAreNotNegligible(t *testing.T) {
	tracker := median.Tracker[float64]{}
	entries := make([]median.Entry[float64], 5)
	tracker.Reset(0)
	for i := range entries {
		if i < 3 {
			entries[i].Item = -1
			tracker.Put(&entries[i], math.Inf(-1), math.Inf(1))
		} else {
			tracker.Put(&entries[i], 0, 0)
		}
	}
	got, ok := tracker.Median(func(v float64) float64 { return v })
	require.False(t, ok && got == 0, "got a median of 0, but three of five values are -1")
}
