package decision

// Slow start: how many parts a server that warms up may get.

import "slices"

// slowStart is the state of a server's slow start as this broker sees it.
type slowStart struct {
	warming         bool            // the server is in endpoints.warmingUp
	warmingSince    float64         // start of its process; -Inf: long ago
	slowStartSends  []float64       // times of attempts within the overload window, in order
	roundingVariate float64         // in [0, 1): rounds the budget of the current window at random
	roundedUntil    float64         // end of the window that roundingVariate belongs to
	lease           *SlowStartLease // share of a budget in common with other brokers; nil: there is none
}

// capacityFraction returns the fraction of its capacity that a server certainly has, 1 once it is warm.
func (p *Policy) capacityFraction(s *server) float64 {
	return p.settings.SlowStart.CapacityFraction(p.now - s.warmingSince)
}

// hasSlowStartBudget reports whether a server may get one more part, which is always so once it is warm.
// A server that warms up takes at most the parts of its lease, if there is one, else of this broker's share
// of the capacity estimated from the throughput of warm servers.
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
	// A broker that rarely has a part for such a server leaves most windows unused, and may use more of the
	// others.
	budget /= p.fleet.SlowStartWindows.Fraction()
	parts := max(len(s.slowStartSends), s.InFlight) + 1
	return float64(parts) <= budget+s.roundingVariate
}

// renewRounding draws a new variate at the start of each overload window. A budget of less than one part is
// rounded at random: rounded up by each of hundreds of brokers, it would add up to an overload.
func (p *Policy) renewRounding(s *server, window float64) {
	if p.now < s.roundedUntil {
		return
	}
	s.roundingVariate = p.rng.Float64()
	s.roundedUntil = p.now + window
	p.fleet.SlowStartWindows.Used()
}

// warmingServers returns the number of ready servers with less than their full capacity, and removes from
// warmingUp those whose slow start has ended.
func (p *Policy) warmingServers() int {
	duration := p.settings.SlowStart.Duration
	warming := 0
	p.warmingUp = slices.DeleteFunc(p.warmingUp, func(s *server) bool {
		s.warming = duration > 0 && p.now-s.warmingSince < duration
		if s.warming && s.IsReady() {
			// Settings may give a server its full capacity, or more, from its start.
			warming += 1 - int(p.capacityFraction(s))
		}
		return !s.warming
	})
	return warming
}
