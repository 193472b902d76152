// Package clientpatience estimates how long clients really wait, from those that disconnect before their answer. It decides
// nothing and does no I/O; times are seconds.
package clientpatience

import "mothrouter/internal/collections/recent"

const (
	outcomeWeight      = 0.05 // of one query in the disconnect ratio: about the latest 20 queries count
	highDisconnects    = 0.1  // a disconnect ratio above a few impatient clients
	shortWaitsQuantile = 0.25 // of the ages at which clients disconnected: three in four waited longer
	retryWaitRatio     = 0.95 // clients measure their remaining time themselves, so that equal waits differ a little
)

// Estimate is about the clients of one broker. Its zero value has seen no query.
type Estimate struct {
	disconnectAges  recent.Ring // of the latest queries whose clients disconnected
	disconnectRatio float64     // moving average of the fraction of queries whose clients disconnected
}

// Disconnected records a query whose client disconnected at an age, in seconds since it was received.
func (e *Estimate) Disconnected(age float64) {
	e.disconnectAges.Add(age)
	e.disconnectRatio += outcomeWeight * (1 - e.disconnectRatio)
}

// Finished records a query whose client waited for its final answer.
func (e *Estimate) Finished() { e.disconnectRatio -= outcomeWeight * e.disconnectRatio }

// Short returns how long most clients wait, if many of them disconnect before their deadline; 0: few do.
func (e *Estimate) Short() float64 {
	if e.disconnectRatio > highDisconnects {
		return e.disconnectAges.Quantile(shortWaitsQuantile)
	}
	return 0
}

// Waits detects which requests of clients are retries that do not say so: a client that divides its time among several tries
// waits shorter in a retry than in the first try of the same class. Its zero value has seen no request.
type Waits struct{ longest map[int]float64 } // by class

// IsRetry records how long a client waits for a request of a class, and reports whether the request is a retry.
func (w *Waits) IsRetry(class int, wait float64) bool {
	if w.longest == nil {
		w.longest = map[int]float64{}
	}
	w.longest[class] = max(w.longest[class], wait)
	return wait < retryWaitRatio*w.longest[class]
}
