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

type figure struct {
	entry       median.Entry[*figure]
	now         float64
	least, most float64
	in          bool
}

// Figures drift, come and go: what the tracker tells is the median of a sort, but for what is negligible.
func TestTrackerMedianMatchesSort(t *testing.T) {
	const negligible = 1e-6
	told, asked, computed := 0, 0, 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 5))
		tracker := median.Tracker[*figure]{Negligible: negligible}
		figures := make([]*figure, 1+r.IntN(200))
		base := []float64{0, 1e-8, 0.3}[r.IntN(3)]
		renew := func(f *figure) {
			f.least = base * r.Float64()
			if r.IntN(10) == 0 {
				f.least = r.Float64()
			}
			f.most = f.least * (1 + 0.2*r.Float64())
			f.now = f.least
			tracker.Put(&f.entry, f.least, f.most)
			f.in = true
		}
		for i := range figures {
			figures[i] = &figure{}
			figures[i].entry.Item = figures[i]
			renew(figures[i])
		}
		for range 500 {
			f := figures[r.IntN(len(figures))]
			if r.IntN(5) == 0 {
				tracker.Remove(&f.entry)
				f.in = false
			} else {
				renew(f)
			}
			var values []float64
			for _, f := range figures {
				f.now = f.least + (f.most-f.least)*r.Float64()
				if f.in {
					values = append(values, f.now)
				}
			}
			require.Equal(t, len(values), tracker.Len())
			asked++
			got, ok := tracker.Median(func(f *figure) float64 { computed++; return f.now })
			if len(values) == 0 {
				require.False(t, ok)
				continue
			}
			want := median.Lower(values)
			if ok {
				told++
				if got == 0 {
					require.LessOrEqual(t, want, negligible)
				} else {
					require.Equal(t, want, got)
				}
				continue
			}
			tracker.Reset(want)
			for _, f := range figures {
				if f.in {
					tracker.Put(&f.entry, f.least, f.most)
				}
			}
		}
	}
	require.Greater(t, told, asked*8/10, "it tells nearly always")
	require.Less(t, computed, asked*100/2, "it computes few of 100 on average")
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
