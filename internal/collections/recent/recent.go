// Package recent keeps the latest of some values and tells their quantiles.
package recent

import "slices"

const (
	capacity        = 64 // values; enough for a steady 95th percentile
	minQuantileSize = 8  // fewer have no quantile
)

// Ring keeps the latest values of a kind. Its zero value is empty. They are sorted once a change, since quantiles are asked
// for far more often.
type Ring struct{ latest, sorted []float64 }

// Add adds a value and forgets the oldest of too many.
func (r *Ring) Add(v float64) {
	if r.latest, r.sorted = append(r.latest, v), r.sorted[:0]; len(r.latest) > capacity {
		r.latest = r.latest[1:]
	}
}

// Quantile is a quantile, 0 to 1, of the values; 0 where there are too few.
func (r *Ring) Quantile(f float64) float64 {
	if len(r.latest) < minQuantileSize {
		return 0
	}
	if len(r.sorted) == 0 {
		r.sorted = append(r.sorted, r.latest...)
		slices.Sort(r.sorted)
	}
	return r.sorted[int(f*float64(len(r.sorted)-1))]
}
