// Package retrybudget accounts for retries within a budget: a minimum and a ratio of the requests in a sliding window. It
// decides nothing, does no I/O and takes the time as an argument, in seconds.
package retrybudget

import "mothrouter/internal/collections/recent"

// edgeSlack keeps what lies on the edge of a window on the side where it costs budget: windows are counted by the
// microsecond elsewhere.
const edgeSlack = 1e-6

// Settings are what a deployment allows.
type Settings struct {
	Enabled bool    // otherwise retries are not limited
	Min     int     // retries that are always allowed within a window
	Ratio   float64 // further retries, as a ratio of the window's requests
	Window  float64 // seconds
}

// Budget counts requests and retries. Its zero value with Settings filled in is ready for use.
type Budget struct {
	Settings
	requests, retries recent.Window
}

// Request counts a request.
func (b *Budget) Request(now float64) {
	b.requests.Forget(now - b.Window + edgeSlack)
	b.requests.Add(now)
}

// Retry counts a retry.
func (b *Budget) Retry(now float64) {
	if b.Enabled {
		b.retries.Add(now)
	}
}

// Allows reports whether one more retry fits the budget in the window that ends now.
func (b *Budget) Allows(now float64) bool {
	b.requests.Forget(now - b.Window + edgeSlack)
	b.retries.Forget(now - b.Window - edgeSlack)
	allowed := float64(b.Min) + b.Ratio*float64(b.requests.Len())
	return !b.Enabled || float64(b.retries.Len()+1) <= allowed+edgeSlack
}
