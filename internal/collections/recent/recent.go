// Package recent provides statistics of recent values and events: a ring buffer with quantiles, an event count over a sliding
// window, and factors of exponential decay. It takes the time as an argument.
package recent

import "slices"

const (
	capacity        = 64 // number of values in a ring, enough for a stable 95th percentile
	minQuantileSize = 8  // minimum number of values for a quantile; a quantile of fewer is mostly random
)

// Ring keeps the latest 64 values. The zero value is empty. It is not safe for concurrent use.
type Ring struct {
	latest []float64 // oldest first
	sorted []float64 // the values of latest in ascending order; empty from an Add until the next Quantile
}

// Add adds a value and, if the ring is full, removes the oldest.
func (r *Ring) Add(v float64) {
	r.latest = append(r.latest, v)
	r.sorted = r.sorted[:0]
	if len(r.latest) > capacity {
		r.latest = r.latest[1:]
	}
}

// Quantile returns the q-quantile of the values, with q from 0 to 1. It returns 0 if there are fewer than 8 values.
func (r *Ring) Quantile(q float64) float64 {
	if len(r.latest) < minQuantileSize {
		return 0
	}
	if len(r.sorted) == 0 {
		r.sorted = append(r.sorted, r.latest...)
		slices.Sort(r.sorted)
	}
	return r.sorted[int(q*float64(len(r.sorted)-1))]
}
