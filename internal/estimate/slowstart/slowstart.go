// Package slowstart estimates how many requests a record server can take while it is in slow start. A server in slow start
// has only a fraction of its capacity and is overloaded by the sum of what all brokers send, so each process keeps to a budget
// of its own, derived from the rate at which warm servers answer it. The package decides nothing, does no I/O and takes the
// time as an argument; times and durations are seconds.
package slowstart

// safetyMargin is the fraction of the overload limit that is used; the rest is for chance and uneven work.
const safetyMargin = 0.8

// Settings are a deployment's parameters of slow start.
type Settings struct {
	InitialFraction float64 // fraction of its capacity that a server has when it starts
	Duration        float64 // from its start until it has all of its capacity; 0: there is no slow start
	OverloadFactor  float64 // a server is overloaded by more than this multiple of its capacity
	OverloadWindow  float64 // over this time; 0: it cannot be overloaded
}

// CapacityFraction returns the fraction of its capacity that a server has at an age, from the initial fraction to 1. A
// negative age counts as 0, since clocks differ.
func (s *Settings) CapacityFraction(age float64) float64 {
	if s.Duration <= 0 || age >= s.Duration {
		return 1
	}
	return s.InitialFraction + (1-s.InitialFraction)*max(age, 0)/s.Duration
}

// Budget returns how many requests each of several brokers may send within one overload window to a server that has a
// fraction of its capacity, given a warm server's peak rate. It is at least a broker's fair fraction of one request, so that a
// broker that has seen no answer yet can try.
func (s *Settings) Budget(capacityFraction, peakRate float64, brokers int) float64 {
	budget := safetyMargin * s.OverloadFactor * capacityFraction * s.OverloadWindow * peakRate
	return max(budget, 1/float64(max(brokers, 1)))
}
