package recent_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/collections/recent"
)

func TestRingQuantilesMatchSortOfLatestValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r recent.Ring
		var values []float64
		for _, v := range rapid.SliceOfN(rapid.Float64Range(0, 9), 1, 200).Draw(t, "values") {
			r.Add(v)
			values = append(values, v)
			kept := slices.Sorted(slices.Values(values[max(len(values)-64, 0):]))
			q := rapid.Float64Range(0, 1).Draw(t, "quantile")
			if len(values) < 8 {
				require.Zero(t, r.Quantile(q))
				continue
			}
			require.Equal(t, kept[int(q*float64(len(kept)-1))], r.Quantile(q))
		}
	})
}
