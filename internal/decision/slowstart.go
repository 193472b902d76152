package decision

// The admission of parts to servers in slow start.

import "slices"

// slowStart is what this broker does at a server that warms up.
type slowStart struct {
	warming         bool            // in endpoints.warmingUp
	warmingSince    float64         // start of its process; -Inf: long ago
	slowStartSends  []float64       // times of attempts within the overload window
	roundingVariate float64         // rounds the budget of the present window,
	roundedUntil    float64         // which ends then
	lease           *SlowStartLease // a share of a budget in common with others; nil: there is none
}

// capacityFraction is the fraction of its capacity that a server surely has.
func (p *Policy) capacityFraction(s *server) float64 {
	return p.settings.SlowStart.CapacityFraction(p.now - s.warmingSince)
}

// hasSlowStartBudget tells whether a server that warms up may get one more part. What warm ones answer bounds
// what it bears from below, and each broker keeps to its own share of that.
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
	// Chance rounds the budget, anew in each window: rounding up always would add up over the brokers.
	if p.now >= s.roundedUntil {
		s.roundingVariate, s.roundedUntil = p.rng.Float64(), p.now+window
		p.fleet.SlowStartWindows.Used()
	}
	budget := p.settings.SlowStart.Budget(capacity, p.fleet.PeakRate.Value, p.settings.Brokers)
	// A broker that rarely has a part for a server leaves most windows unused, and takes more of the others.
	budget /= p.fleet.SlowStartWindows.Fraction()
	return float64(max(len(s.slowStartSends), s.InFlight)+1) <= budget+s.roundingVariate
}
