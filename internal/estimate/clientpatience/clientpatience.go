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

// Estimator is about the clients of one broker. Its zero value has seen no query.
type Estimator struct {
	disconnectAges  recent.Ring // of the latest queries whose clients disconnected
	disconnectRatio float64     // moving average of the fraction of queries whose clients disconnected
}

// Disconnected records a query whose client disconnected at an age, in seconds since it was received.
func (e *Estimator) Disconnected(age float64) {
	e.disconnectAges.Add(age)
	e.disconnectRatio += outcomeWeight * (1 - e.disconnectRatio)
}

// Finished records a query whose client waited for its final answer.
func (e *Estimator) Finished() { e.disconnectRatio -= outcomeWeight * e.disconnectRatio }

// EarlyDisconnectAge returns how long most clients wait, if many of them disconnect before their deadline; 0: few do.
func (e *Estimator) EarlyDisconnectAge() float64 {
	if e.disconnectRatio > highDisconnects {
		return e.disconnectAges.Quantile(shortWaitsQuantile)
	}
	return 0
}

// RetryDetector detects client requests that are retries but are not marked as such: a client that divides its time among
// several attempts waits less long in a retry than in its first attempt of the same class. The zero value is ready to use.
type RetryDetector struct{ longest map[int]float64 } // by class

// IsRetry records how long a client waits for a request of a class, and reports whether the request is a retry.
func (d *RetryDetector) IsRetry(class int, wait float64) bool {
	if d.longest == nil {
		d.longest = map[int]float64{}
	}
	d.longest[class] = max(d.longest[class], wait)
	return wait < retryWaitRatio*d.longest[class]
}
