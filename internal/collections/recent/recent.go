// Package recent keeps the latest values, events and averages of a kind: a ring with quantiles, a sliding window's count,
// and exponential decay. It takes the time as an argument.
package recent

import "slices"

const (
	capacity        = 64 // values; enough for a steady 95th percentile
	minQuantileSize = 8  // values; a quantile of fewer is chance
)

// Ring keeps the latest 64 values of a kind. Its zero value is empty. It is not safe for concurrent use.
type Ring struct {
	latest []float64 // oldest first
	sorted []float64 // the same, sorted at the first Quantile after an Add; empty until then
}

// Add adds a value, in place of the oldest if the ring is full.
func (r *Ring) Add(v float64) {
	r.latest = append(r.latest, v)
	r.sorted = r.sorted[:0]
	if len(r.latest) > capacity {
		r.latest = r.latest[1:]
	}
}

// Quantile returns the quantile f, from 0 to 1, of the values; 0 if there are fewer than 8.
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
