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

// drifting is a value that drifts within its bounds.
type drifting struct {
	entry        median.Entry[*drifting]
	now          float64
	lower, upper float64
	in           bool
}

// trackerModel has a tracker of drifting values, which come and go, and counts what the tracker does.
type trackerModel struct {
	random                    *rand.Rand
	base                      float64 // lower bounds are mostly from 0 to this
	tracker                   median.Tracker[*drifting]
	values                    []*drifting
	asked, answered, computed int
}

const trackerNegligible = 1e-6

func newTrackerModel(seed uint64) *trackerModel {
	random := rand.New(rand.NewPCG(seed, 5))
	m := &trackerModel{random: random, tracker: median.Tracker[*drifting]{Negligible: trackerNegligible}}
	m.values = make([]*drifting, 1+random.IntN(200))
	m.base = []float64{0, 1e-8, 0.3}[random.IntN(3)]
	for i := range m.values {
		m.values[i] = &drifting{}
		m.values[i].entry.Item = m.values[i]
		m.renew(m.values[i])
	}
	return m
}

// renew puts a value in with new bounds.
func (m *trackerModel) renew(v *drifting) {
	v.lower = m.base * m.random.Float64()
	if m.random.IntN(10) == 0 {
		v.lower = m.random.Float64()
	}
	v.upper = v.lower * (1 + 0.2*m.random.Float64())
	v.now = v.lower
	m.tracker.Put(&v.entry, v.lower, v.upper)
	v.in = true
}

// step removes or renews one value, and lets all drift. It returns the present values.
func (m *trackerModel) step() (present []float64) {
	v := m.values[m.random.IntN(len(m.values))]
	if m.random.IntN(5) == 0 {
		m.tracker.Remove(&v.entry)
		v.in = false
	} else {
		m.renew(v)
	}
	for _, v := range m.values {
		v.now = v.lower + (v.upper-v.lower)*m.random.Float64()
		if v.in {
			present = append(present, v.now)
		}
	}
	return present
}

// check compares the tracker's median with that of a sort, and resets the tracker if it does not know it.
func (m *trackerModel) check(t *testing.T, present []float64) {
	require.Equal(t, len(present), m.tracker.Len())
	m.asked++
	got, ok := m.tracker.Median(func(v *drifting) float64 { m.computed++; return v.now })
	if len(present) == 0 {
		require.False(t, ok)
		return
	}
	want := median.Lower(present)
	if ok {
		m.answered++
		if got == 0 {
			require.LessOrEqual(t, want, trackerNegligible)
		} else {
			require.Equal(t, want, got)
		}
		return
	}
	m.tracker.Reset(want)
	for _, v := range m.values {
		if v.in {
			m.tracker.Put(&v.entry, v.lower, v.upper)
		}
	}
}

func TestTrackerMedianMatchesSort(t *testing.T) {
	asked, answered, computed := 0, 0, 0
	for seed := range uint64(20) {
		m := newTrackerModel(seed)
		for range 500 {
			m.check(t, m.step())
		}
		asked += m.asked
		answered += m.answered
		computed += m.computed
	}
	require.Greater(t, answered, asked*8/10, "the median is nearly always known")
	require.Less(t, computed, asked*100/2, "few of 100 values on average are computed")
}

// Negative figures in an unknown number must not pass for a negligible median.
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
	require.False(t, ok && got == 0, "three of five are -1")
}
