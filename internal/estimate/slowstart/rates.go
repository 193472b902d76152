package slowstart

import (
	"math"

	"mothrouter/internal/collections/recent"
)

const (
	rateWindow       = 5.0  // time constant of counts, in seconds: long enough for a steady rate, short enough to follow the load
	peakTimeConstant = 60.0 // time constant of the peak rate, in seconds: longer than a slow start, but old load peaks decay

	// priorWindows is added to the number of used windows, and 1 to that of offered windows, so that the fraction starts at 1.
	priorWindows = 2
)

// PeakRate estimates the peak rate at which one warm server answers this process, which is a lower bound of this process's
// share of the server's capacity. The zero value is ready to use.
type PeakRate struct {
	Value   float64 // answers per second
	answers float64 // answers of warm servers, decayed with the time constant rateWindow
	at      float64 // time of the latest Advance
}

// Answered counts an answer of a warm server. Answers of servers in slow start must not be counted, because they would be
// attributed to the warm servers.
func (r *PeakRate) Answered() { r.answers++ }

// Advance advances the estimate to the time now, at which warmServers servers are warm. Several event loops may call it with
// slightly different times; a time before that of the previous call does not decay the estimate.
func (r *PeakRate) Advance(now, warmServers float64) {
	elapsed := max(now-r.at, 0)
	r.at = now
	r.answers *= recent.Decay(elapsed, rateWindow)
	// One standard deviation is subtracted, because the peak of a small count is mostly random variation.
	lowerBound := max(r.answers-math.Sqrt(r.answers), 0)
	r.Value = max(r.Value*recent.Decay(elapsed, peakTimeConstant), lowerBound/rateWindow/warmServers)
}

// WindowUsage estimates the fraction of the overload windows in which a process sends requests, over all servers in slow start.
// A process that rarely has a request for a server leaves most windows unused and may send more in the others. The zero value
// is ready to use.
type WindowUsage struct {
	usedWindows    float64 // number of windows with a request, decayed with the time constant rateWindow
	offeredWindows float64 // number of all windows, decayed in the same way
}

// Advance advances the estimate by elapsed seconds, during which the given number of servers was in slow start. An overload
// window lasts window seconds.
func (u *WindowUsage) Advance(elapsed, servers, window float64) {
	decay := recent.Decay(elapsed, rateWindow)
	u.usedWindows *= decay
	u.offeredWindows = u.offeredWindows*decay + servers*elapsed/max(window, 1)
}

// Used counts a window in which the process had a request for the server.
func (u *WindowUsage) Used() { u.usedWindows++ }

// Fraction returns the estimated fraction of used windows, above 0 and at most 1. It is 1 until enough windows were unused.
func (u *WindowUsage) Fraction() float64 {
	return min(1, (u.usedWindows+priorWindows)/(u.offeredWindows+1))
}
