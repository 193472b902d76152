// Package clientpatience estimates how long clients actually wait for an answer, from the clients that disconnect before they
// get it. It makes no decisions and does no I/O; times are in seconds.
package clientpatience

import "mothrouter/internal/collections/recent"

const (
	outcomeWeight         = 0.05 // weight of one query in the disconnect ratio, which averages about the latest 20 queries
	highDisconnectRatio   = 0.1  // disconnect ratio above which early disconnects are not just those of a few impatient clients
	disconnectAgeQuantile = 0.25 // quantile of the ages at which clients disconnect: three in four waited longer

	// retryWaitRatio is the fraction of the longest wait below which a wait indicates a retry. It is below 1 because clients
	// measure their remaining time themselves, so equal waits differ slightly.
	retryWaitRatio = 0.95
)

// Estimator estimates the patience of the clients of one broker. The zero value is ready to use.
type Estimator struct {
	disconnectAges  recent.Ring // ages of the latest queries whose clients disconnected, in seconds
	disconnectRatio float64     // moving average of the fraction of queries whose clients disconnected
}

// Disconnected records a query whose client disconnected when the query had the given age in seconds since it was received.
func (e *Estimator) Disconnected(age float64) {
	e.disconnectAges.Add(age)
	e.disconnectRatio += outcomeWeight * (1 - e.disconnectRatio)
}

// Finished records a query whose client waited for its final answer.
func (e *Estimator) Finished() { e.disconnectRatio -= outcomeWeight * e.disconnectRatio }

// EarlyDisconnectAge returns the age of a query in seconds until which most of the disconnecting clients wait, or 0 if few
// clients disconnect before their deadline.
func (e *Estimator) EarlyDisconnectAge() float64 {
	if e.disconnectRatio > highDisconnectRatio {
		return e.disconnectAges.Quantile(disconnectAgeQuantile)
	}
	return 0
}

// RetryDetector detects client requests that are retries but are not marked as such: a client that divides its time among
// several attempts waits less in a retry than in a first attempt of the same class. The zero value is ready to use.
type RetryDetector struct {
	longestWait map[int]float64 // seconds, by class
}

// ObserveWait records the time in seconds that a client will wait for a request of a class, and reports whether the request is
// probably a retry.
func (d *RetryDetector) ObserveWait(class int, wait float64) (isRetry bool) {
	if d.longestWait == nil {
		d.longestWait = map[int]float64{}
	}
	d.longestWait[class] = max(d.longestWait[class], wait)
	return wait < retryWaitRatio*d.longestWait[class]
}
