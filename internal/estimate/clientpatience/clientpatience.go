// Package clientpatience estimates how long clients really wait, from those that disconnect before their answer. It decides
// nothing and does no I/O; times are seconds.
package clientpatience

import "mothrouter/internal/collections/recent"

const (
	outcomeWeight   = 0.05 // of one query in the disconnect ratio
	highDisconnects = 0.1  // a disconnect ratio beyond a few impatient clients
	retryWaitRatio  = 0.95 // clients count the time that is left themselves
)

// Estimate is what was seen of the clients of one broker. Its zero value has seen none.
type Estimate struct {
	disconnectAges  recent.Ring // of the latest queries whose clients disconnected
	disconnectRatio float64     // decayed
}

// Disconnected counts a query whose client left at this age.
func (e *Estimate) Disconnected(age float64) {
	e.disconnectAges.Add(age)
	e.disconnectRatio += outcomeWeight * (1 - e.disconnectRatio)
}

// Finished counts a query whose client stayed to its final answer.
func (e *Estimate) Finished() { e.disconnectRatio -= outcomeWeight * e.disconnectRatio }

// Short is the time that most clients wait, while many leave long before their deadline; else 0.
func (e *Estimate) Short() float64 {
	if e.disconnectRatio > highDisconnects {
		return e.disconnectAges.Quantile(0.25)
	}
	return 0
}

// Waits finds out which tries of clients are retries: one that waits for less than others of its class has asked before,
// and what is left is of its time for all tries. Its zero value has seen none.
type Waits struct{ longest map[int]float64 }

// IsRetry counts a try whose client waits for so long, and tells whether it is a retry.
func (w *Waits) IsRetry(class int, wait float64) bool {
	if w.longest == nil {
		w.longest = map[int]float64{}
	}
	w.longest[class] = max(w.longest[class], wait)
	return wait < retryWaitRatio*w.longest[class]
}
