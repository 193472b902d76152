// Package retrybudget accounts for retries within a budget: a minimum, and a ratio of the requests in a sliding window. It
// decides nothing, does no I/O and takes the time as an argument, in seconds.
package retrybudget

import "mothrouter/internal/collections/recent"

// edgeSlack, in seconds, keeps events at the edge of a window on the side that allows fewer retries: the platform counts
// windows in microseconds. As a number of retries it allows for the rounding of Settings.Ratio.
const edgeSlack = 1e-6

// Settings are the limits of a deployment.
type Settings struct {
	Enabled bool    // false: retries are not limited
	Min     int     // retries that are always allowed within a window
	Ratio   float64 // further retries, as a ratio of the window's requests
	Window  float64 // seconds
}

// Budget counts requests and retries. A Budget with its Settings filled in is ready for use; it is not safe for concurrent
// use.
type Budget struct {
	Settings
	requests recent.Window
	retries  recent.Window
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now float64) {
	b.requests.Forget(now - b.Window + edgeSlack)
	b.requests.Add(now)
}

// RecordRetry counts a retry.
func (b *Budget) RecordRetry(now float64) {
	if b.Enabled {
		b.retries.Add(now)
	}
}

// Allows reports whether one more retry is within the budget of the window that ends now.
func (b *Budget) Allows(now float64) bool {
	b.requests.Forget(now - b.Window + edgeSlack)
	b.retries.Forget(now - b.Window - edgeSlack)
	if !b.Enabled {
		return true
	}
	allowed := float64(b.Min) + b.Ratio*float64(b.requests.Len())
	return float64(b.retries.Len()+1) <= allowed+edgeSlack
}
