package decision

// Selection of the replica for a part: a random draw in proportion to weight.

import (
	"cmp"
	"math"
)

const (
	// concurrencyExponent makes the weight fall to 1/8 with one part in flight and 1/27 with two. Steeper
	// than in proportion, since the fitness table, up to 10 s old, does not show a queue that builds up.
	concurrencyExponent = 3.0
	// speedExponent gives a server that takes twice the fleet's service time 0.18 of the weight.
	speedExponent = 2.5
	// minSpeedRatio bounds the gain of a fast server at 0.3^-2.5, about 20: a single lucky part would
	// otherwise draw all others.
	minSpeedRatio = 0.3
	// remoteFactor is the weight of a server in another zone where crossing has a cost. One part in flight in
	// the own zone (1/8) about outweighs it.
	remoteFactor = 0.1
)

// weight returns what a server's probability to be drawn is in proportion to.
func (p *Policy) weight(s *server) float64 {
	fitness := cmp.Or(s.Fitness, p.meanFitness) // an unreported server counts as average
	return fitness * p.localityFactor(s) * p.capacityFraction(s) * s.concurrencyFactor(p.now) *
		p.healthWeight(s, 0) * p.stallPenalty(s) * p.speedFactor(s)
}

// concurrencyFactor returns a factor that falls with this broker's own parts at the server. The load of other
// brokers shows in speedFactor.
func (s *server) concurrencyFactor(now float64) float64 {
	return math.Pow(1+float64(s.QueueDepth(now)), -concurrencyExponent)
}

// speedFactor returns a factor that falls with a server's service time relative to the fleet's. It returns to
// 1 as observations age.
func (p *Policy) speedFactor(s *server) float64 {
	ratio := p.fleet.ServiceTime.Relative(&s.ServiceTime, p.now)
	return math.Pow(max(ratio, minSpeedRatio), -speedExponent)
}

// localityFactor returns remoteFactor for a server in another zone if crossing has a cost, else 1.
func (p *Policy) localityFactor(s *server) float64 {
	if s.Zone == p.settings.Zone || p.settings.CrossZoneCost <= 0 {
		return 1
	}
	return remoteFactor
}

// drawReplica returns a replica for the next attempt of a part, or nil if none may take it. Replicas that
// were not tried before come first.
func (p *Policy) drawReplica(pt *part) *server {
	isRetry := len(pt.attempts) > 0
	if isRetry && !p.retryBudget.Allows(p.now) {
		return nil
	}
	best := p.drawAmong(pt, false)
	if best == nil && isRetry {
		best = p.drawAmong(pt, true)
	}
	return best
}

// drawAmong draws one replica in proportion to weight: of independent exponential variates, each divided by
// its server's weight, the least is a server's with just that probability. All draws of a round share one
// variate for each server, so that parts which may share a call meet at one server.
func (p *Policy) drawAmong(pt *part, includeTried bool) *server {
	var best *server
	p.replicaSets.Replicas(pt.Shard, func(s *server) {
		tried, tooSoon := pt.triedAt(s, p.now)
		if !s.IsReady() || tooSoon {
			return
		}
		if tried && !includeTried {
			return
		}
		if !p.hasSlowStartBudget(s) {
			return
		}
		if s.keyRound != p.drawRound {
			s.keyRound = p.drawRound
			s.drawKey = p.rng.ExpFloat64() / p.weight(s)
		}
		if best == nil || s.drawKey < best.drawKey {
			best = s
		}
	})
	return best
}

// triedAt reports whether a part was sent to a server, and whether it is too soon to send it there again: an
// attempt is in flight there, or was sent within slowStartPoll and may have been rejected at once.
func (pt *part) triedAt(s *server, now float64) (tried, tooSoon bool) {
	for i := range pt.attempts {
		a := &pt.attempts[i]
		if a.server != s {
			continue
		}
		tried = true
		if a.live || now < a.sentAt+slowStartPoll {
			tooSoon = true
		}
	}
	return tried, tooSoon
}
