// Package slowstart estimates how many requests a record server can take while it is in slow start. A server in slow start has
// only a fraction of its capacity, and the requests of all brokers together can overload it. Each process therefore keeps to
// its own budget, derived from the rate at which warm servers answer it. The package makes no decisions, does no I/O and takes
// the time as an argument; times and durations are in seconds.
package slowstart

// overloadUtilization is the fraction of the overload limit that a budget uses. The rest is a reserve for random variation and
// uneven work.
const overloadUtilization = 0.8

// Settings are the slow-start parameters of a deployment.
type Settings struct {
	InitialFraction float64 // fraction of its capacity that a server has when it starts
	Duration        float64 // time from the start of a server until it has its full capacity; 0: there is no slow start

	// A server is overloaded if it receives more than OverloadFactor times its capacity over OverloadWindow. If the window is 0,
	// a server cannot be overloaded.
	OverloadFactor float64
	OverloadWindow float64
}

// CapacityFraction returns the fraction of its capacity that a server has at the given age, from InitialFraction to 1. The age
// may be negative because clocks differ; it then counts as 0.
func (s *Settings) CapacityFraction(age float64) float64 {
	if s.Duration <= 0 || age >= s.Duration {
		return 1
	}
	return s.InitialFraction + (1-s.InitialFraction)*max(age, 0)/s.Duration
}

// Budget returns how many requests this broker may send within one overload window to a server in slow start, given the
// server's capacity fraction, the peak rate of a warm server and the number of brokers that share the server. It is at least
// this broker's share of one request, so that a broker that has not received any answers yet can still send requests.
func (s *Settings) Budget(capacityFraction, peakRate float64, brokers int) float64 {
	budget := overloadUtilization * s.OverloadFactor * capacityFraction * s.OverloadWindow * peakRate
	return max(budget, 1/float64(max(brokers, 1)))
}
