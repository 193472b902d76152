package slowstart

import (
	"math"

	"mothrouter/internal/collections/recent"
)

const (
	rateWindow   = 5.0  // time constant of counts, in seconds: long enough for a steady rate, short enough to follow the load
	peakLifetime = 60.0 // time constant of the peak rate, in seconds: outlasts a slow start, forgets yesterday's load

	// priorWindows are added to the used windows, and one to those offered, so that the fraction starts at 1.
	priorWindows = 2
)

// PeakRate estimates the peak rate at which one warm server answers this process: a lower bound of the process's share of the
// server's capacity. Its zero value has seen no answer.
type PeakRate struct {
	Value   float64 // answers a second
	answers float64 // of warm servers, decayed over rateWindow
	at      float64 // time of the latest Advance
}

// Answered records an answer of a warm server. Answers of servers in slow start must not be recorded: they would count as the
// work of the warm ones.
func (r *PeakRate) Answered() { r.answers++ }

// Advance advances the estimate to a time, at which warmServers servers are warm. A time before the latest, as several loops
// may give it, decays nothing.
func (r *PeakRate) Advance(now, warmServers float64) {
	elapsed := max(now-r.at, 0)
	r.at = now
	r.answers *= recent.Decay(elapsed, rateWindow)
	// Less a standard deviation: the peak of a small count would be chance.
	likely := max(r.answers-math.Sqrt(r.answers), 0)
	r.Value = max(r.Value*recent.Decay(elapsed, peakLifetime), likely/rateWindow/warmServers)
}

// WindowUsage estimates the fraction of its overload windows that a process uses, over all servers in slow start. A process
// that rarely has a request for a server leaves most windows unused and may send more in the others. Its zero value has seen
// no window.
type WindowUsage struct {
	used    float64 // windows, decayed over rateWindow
	offered float64 // windows, decayed likewise
}

// Advance advances the estimate by elapsed seconds in which servers were in slow start, with windows of window seconds.
func (u *WindowUsage) Advance(elapsed, servers, window float64) {
	decay := recent.Decay(elapsed, rateWindow)
	u.used *= decay
	u.offered = u.offered*decay + servers*elapsed/max(window, 1)
}

// Used records a window in which the process had a request for its server.
func (u *WindowUsage) Used() { u.used++ }

// Fraction returns the estimate, above 0 and at most 1. It is 1 until enough windows have passed unused.
func (u *WindowUsage) Fraction() float64 { return min(1, (u.used+priorWindows)/(u.offered+1)) }
