package decision

// Slow start: the limit on the parts sent to a server that is warming up.

import "slices"

// slowStart is the slow-start state of a server.
type slowStart struct {
	warming         bool            // the server is in endpoints.warmingServers
	warmingSince    float64         // start of the server's process; -Inf: long ago
	slowStartSends  []float64       // send times since the lease, or in the overload window; ascending
	roundingVariate float64         // in [0, 1), added to a budget so that it is rounded at random
	roundedUntil    float64         // end of the overload window for which roundingVariate was drawn
	lease           *SlowStartLease // share of a common budget; nil: none
}

// capacityFraction returns the fraction of its full capacity that a server is guaranteed to have: 1 once it
// is warm.
func (p *Policy) capacityFraction(s *server) float64 {
	return p.settings.SlowStart.CapacityFraction(p.now - s.warmingSince)
}

// hasSlowStartBudget reports whether a server may get one more part. A warm server always may. A server that
// is warming up is limited to the parts of its lease if there is one, else to this broker's share of the
// server's capacity, estimated from the throughput of warm servers.
func (p *Policy) hasSlowStartBudget(s *server) bool {
	capacity := p.capacityFraction(s)
	window := p.settings.SlowStart.OverloadWindow
	if capacity >= 1 || window <= 0 {
		return true
	}
	if s.lease != nil {
		return len(s.slowStartSends) < s.lease.Parts && p.now <= s.lease.ExpiresAt
	}
	s.slowStartSends = slices.DeleteFunc(s.slowStartSends, func(t float64) bool { return t < p.now-window })
	p.renewRounding(s, window)
	budget := p.settings.SlowStart.Budget(capacity, p.fleet.PeakRate.Value, p.settings.Brokers)
	// A broker that rarely has a part for such a server leaves most windows unused, and may send more in the
	// others.
	budget /= p.fleet.SlowStartWindows.Fraction()
	parts := max(len(s.slowStartSends), s.InFlight) + 1
	return float64(parts) <= budget+s.roundingVariate
}

// renewRounding draws a new variate at the start of each overload window. Budgets are rounded at random: if
// each of hundreds of brokers rounded a budget of less than one part up, the sum would overload the server.
func (p *Policy) renewRounding(s *server, window float64) {
	if p.now < s.roundedUntil {
		return
	}
	s.roundingVariate = p.rng.Float64()
	s.roundedUntil = p.now + window
	p.fleet.SlowStartWindows.Used()
}

// updateWarmingServers removes the servers whose slow start has ended from warmingServers, and returns the
// number of ready servers with less than their full capacity.
func (p *Policy) updateWarmingServers() int {
	duration := p.settings.SlowStart.Duration
	warming := 0
	p.warmingServers = slices.DeleteFunc(p.warmingServers, func(s *server) bool {
		s.warming = duration > 0 && p.now-s.warmingSince < duration
		if s.warming && s.IsReady() {
			// InitialFraction may be 1 or more: such a server has its full capacity from the start.
			warming += 1 - int(p.capacityFraction(s))
		}
		return !s.warming
	})
	return warming
}
