// Package slowstart estimates how much work a record server bears while it warms up. A server in slow start has only a
// fraction of its capacity and is overloaded by the sum of what all brokers send, so each process keeps to a budget of its
// own that it derives from what warm servers have answered it. The package decides nothing, does no I/O and takes the time
// as an argument; times and durations are seconds.
package slowstart

import "math"

const (
	// safetyMargin is the fraction of the overload limit that is used; the rest is for chance and uneven work.
	safetyMargin = 0.8

	rateWindow   = 5.0  // time constant of the answer rate
	peakLifetime = 60.0 // time constant with which the peak rate is forgotten
)

// Settings are what a deployment tells of servers that start.
type Settings struct {
	InitialFraction float64 // fraction of its capacity that a server has at its start
	Duration        float64 // time until it has all of its capacity; 0: there is no slow start
	OverloadFactor  float64 // a server that is sent more than this multiple of its capacity
	OverloadWindow  float64 // for this long is overloaded; 0: it never is
}

// CapacityFraction is the fraction of its capacity that a server surely has at an age: 1 once it is warm, and the initial
// fraction for a negative age, since clocks may differ.
func (s *Settings) CapacityFraction(age float64) float64 {
	if s.Duration <= 0 || age >= s.Duration {
		return 1
	}
	return s.InitialFraction + (1-s.InitialFraction)*max(age, 0)/s.Duration
}

// Budget is how many requests one of brokers may send within one overload window to a server that has a fraction of its
// capacity, where a warm server's peak rate is known. A broker that has seen no answer yet may try its part of one.
func (s *Settings) Budget(capacityFraction, peakRate float64, brokers int) float64 {
	budget := safetyMargin * s.OverloadFactor * capacityFraction * s.OverloadWindow * peakRate
	return max(budget, 1/float64(max(brokers, 1)))
}

// PeakRate estimates the peak rate at which one warm server answers this process: a lower bound of the server's capacity
// and of the process's share of it. Its zero value knows nothing.
type PeakRate struct {
	Value   float64 // answers a second
	answers float64 // of warm servers, decayed over rateWindow
	at      float64
}

// Answered counts an answer of a warm server. What servers in slow start answer does not count: it would pass for what
// fewer warm ones bear.
func (r *PeakRate) Answered() { r.answers++ }

// Advance brings the estimate to a time at which so many servers are warm. Between the last time and an earlier one, as
// workers that decide side by side may give it, nothing fades.
func (r *PeakRate) Advance(now, warmServers float64) {
	elapsed := max(now-r.at, 0)
	r.at = now
	r.answers *= math.Exp(-elapsed / rateWindow)
	certain := max(r.answers-math.Sqrt(r.answers), 0) // less its deviation: the highest of few answers is chance
	r.Value = max(r.Value*math.Exp(-elapsed/peakLifetime), certain/rateWindow/warmServers)
}

// WindowUsage estimates which fraction of its windows a process uses, over all servers in slow start. A process that rarely
// has a request for a server leaves most windows unused and may take more in the others. Its zero value has seen none.
type WindowUsage struct{ used, offered float64 }

// Advance lets elapsed seconds pass in which so many servers were in slow start.
func (u *WindowUsage) Advance(elapsed, servers, window float64) {
	decay := math.Exp(-elapsed / rateWindow)
	u.used *= decay
	u.offered = u.offered*decay + servers*elapsed/max(window, 1)
}

// Used counts a window in which the process had a request for its server.
func (u *WindowUsage) Used() { u.used++ }

// Fraction is the estimate, above 0 and at most 1; it errs towards 1 where little was seen.
func (u *WindowUsage) Fraction() float64 { return min(1, (u.used+2)/(u.offered+1)) }
