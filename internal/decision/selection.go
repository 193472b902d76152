package decision

// Replica selection: a weighted random draw among the replicas of a part's shard.

import (
	"cmp"
	"math"
)

const (
	// concurrencyExponent reduces the weight to 1/8 with one part in flight and to 1/27 with two. This is
	// steeper than proportional, since fitness is up to 10 s old and does not show a growing queue.
	concurrencyExponent = 3.0
	// speedExponent reduces the weight of a server with twice the fleet's service time to 0.18.
	speedExponent = 2.5
	// minSpeedRatio limits the factor of a fast server to 0.3^-2.5, about 20. Otherwise a single fast answer
	// would attract all other parts.
	minSpeedRatio = 0.3
	// remoteFactor reduces the weight of servers in other zones if crossing zones has a cost. It is about
	// offset by one part in flight at a server in the local zone (1/8).
	remoteFactor = 0.1
)

// weight returns the weight of a server, to which its probability of being drawn is proportional.
func (p *Policy) weight(s *server) float64 {
	fitness := cmp.Or(s.Fitness, p.meanFitness) // a server without a load report is assumed average
	return fitness * p.localityFactor(s) * p.capacityFraction(s) * s.concurrencyFactor(p.now) *
		p.healthWeight(s, 0) * p.stallPenalty(s) * p.speedFactor(s)
}

// concurrencyFactor returns a factor that decreases with the number of this broker's attempts at the server.
// The load from other brokers is reflected in speedFactor.
func (s *server) concurrencyFactor(now float64) float64 {
	return math.Pow(1+float64(s.QueueDepth(now)), -concurrencyExponent)
}

// speedFactor returns a factor that decreases with a server's service time relative to the fleet's. It
// approaches 1 as observations age.
func (p *Policy) speedFactor(s *server) float64 {
	ratio := p.fleet.ServiceTime.Relative(&s.ServiceTime, p.now)
	return math.Pow(max(ratio, minSpeedRatio), -speedExponent)
}

// localityFactor returns remoteFactor for a server in another zone if crossing zones has a cost, else 1.
func (p *Policy) localityFactor(s *server) float64 {
	if s.Zone == p.settings.Zone || p.settings.CrossZoneCost <= 0 {
		return 1
	}
	return remoteFactor
}

// drawReplica returns a replica for the next attempt of a part, or nil if no replica may be used now. It
// prefers replicas that have not been tried for the part.
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

// drawAmong draws one replica with a probability proportional to its weight. Each server's key is an
// exponential variate divided by the server's weight, and the smallest key wins, which gives exactly these
// probabilities. All draws of a round share one variate per server, so that parts which may share a call are
// sent to the same server.
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
		if s.drawKeyRound != p.drawRound {
			s.drawKeyRound = p.drawRound
			s.drawKey = p.rng.ExpFloat64() / p.weight(s)
		}
		if best == nil || s.drawKey < best.drawKey {
			best = s
		}
	})
	return best
}

// triedAt reports whether a part was sent to a server before, and whether it is too soon to send it there
// again: an attempt is in flight, or was sent less than slowStartPoll ago and may have been rejected
// immediately.
func (pt *part) triedAt(s *server, now float64) (tried, tooSoon bool) {
	for i := range pt.attempts {
		a := &pt.attempts[i]
		if a.server != s {
			continue
		}
		tried = true
		if a.inFlight || now < a.sentAt+slowStartPoll {
			tooSoon = true
		}
	}
	return tried, tooSoon
}
