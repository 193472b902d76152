// Package retrybudget limits retries to a budget: a fixed minimum plus a ratio of the requests in a sliding window. It does no
// I/O and takes the time as an argument, in seconds.
package retrybudget

import "mothrouter/internal/collections/recent"

const (
	// edgeSlack is in seconds. Requests leave the window this much earlier and retries this much later, so that fewer retries are
	// allowed at the edge of the window, because the platform measures windows in microseconds.
	edgeSlack = 1e-6
	// roundingSlack is a number of retries that tolerates the rounding error of Settings.Ratio.
	roundingSlack = 1e-6
)

// Settings configure the retry budget of a deployment.
type Settings struct {
	Enabled bool    // false: retries are not limited
	Min     int     // retries that are always allowed within a window
	Ratio   float64 // additional retries, as a ratio of the requests in the window
	Window  float64 // length of the sliding window, in seconds
}

// Budget counts requests and retries. A Budget whose Settings are set is ready to use. It is not safe for concurrent use.
type Budget struct {
	Settings
	requests recent.Window
	retries  recent.Window
}

// RecordRequest counts a request at the time now.
func (b *Budget) RecordRequest(now float64) {
	b.requests.RemoveBefore(now - b.Window + edgeSlack)
	b.requests.Add(now)
}

// RecordRetry counts a retry at the time now.
func (b *Budget) RecordRetry(now float64) {
	if b.Enabled {
		b.retries.Add(now)
	}
}

// Allows reports whether the budget of the window that ends now allows one more retry.
func (b *Budget) Allows(now float64) bool {
	b.requests.RemoveBefore(now - b.Window + edgeSlack)
	b.retries.RemoveBefore(now - b.Window - edgeSlack)
	if !b.Enabled {
		return true
	}
	allowed := float64(b.Min) + b.Ratio*float64(b.requests.Len())
	return float64(b.retries.Len()+1) <= allowed+roundingSlack
}
