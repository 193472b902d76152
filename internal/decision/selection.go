package decision

// The draw of one replica for a part.

import (
	"cmp"
	"math"
)

const (
	concurrencyExponent = 3.0 // steeper than proportional: the fitness table does not see a queue build
	speedExponent       = 2.5 // how steeply slower servers are avoided
	minSpeedRatio       = 0.3 // fast ones do not draw more than their weight in one lucky part
	remoteFactor        = 0.1 // one more part in flight near by about outweighs it
)

// weight is what a server's chance to be drawn is in proportion to.
func (p *Policy) weight(s *server) float64 {
	fitness := cmp.Or(s.Fitness, p.meanFitness) // an unreported server counts as average
	return fitness * p.localityFactor(s) * p.capacityFraction(s) * s.concurrencyFactor(p.now) *
		p.healthWeight(s, 0) * p.stallPenalty(s) * p.speedFactor(s)
}

// concurrencyFactor falls with this broker's own parts. What others queue there is for speedFactor to see.
func (s *server) concurrencyFactor(now float64) float64 {
	return math.Pow(1+float64(s.QueueDepth(now)), -concurrencyExponent)
}

// speedFactor falls with a server's service time relative to the fleet's, while that is remembered.
func (p *Policy) speedFactor(s *server) float64 {
	ratio := p.fleet.ServiceTime.Relative(&s.ServiceTime, p.now)
	return math.Pow(max(ratio, minSpeedRatio), -speedExponent)
}

// localityFactor is less than 1 for servers of other zones where crossing has a cost.
func (p *Policy) localityFactor(s *server) float64 {
	if s.Zone == p.settings.Zone || p.settings.CrossZoneCost <= 0 {
		return 1
	}
	return remoteFactor
}

// drawReplica picks a replica for a part, or nil: one that was not tried before, if there is one. All draws
// of a round share one variate for each server, so that parts which can share a call meet.
func (p *Policy) drawReplica(pt *part) *server {
	retry := len(pt.attempts) > 0
	if retry && !p.retryBudget.Allows(p.now) {
		return nil
	}
	best := p.drawAmong(pt, false)
	if best == nil && retry {
		best = p.drawAmong(pt, true)
	}
	return best
}

func (p *Policy) drawAmong(pt *part, triedToo bool) (best *server) {
	p.replicaSets.Replicas(pt.Shard, func(s *server) {
		tried, justTried := pt.triedAt(s, p.now)
		if !s.IsReady() || justTried || tried && !triedToo || !p.hasSlowStartBudget(s) {
			return
		}
		if s.keyRound != p.drawRound {
			s.keyRound, s.drawKey = p.drawRound, p.rng.ExpFloat64()/p.weight(s)
		}
		if best == nil || s.drawKey < best.drawKey {
			best = s
		}
	})
	return best
}

// triedAt tells whether a part was sent to a server, and whether an attempt is in flight there or was just
// sent: it may have been rejected at once.
func (pt *part) triedAt(s *server, now float64) (tried, justTried bool) {
	for _, a := range pt.attempts {
		if a.server == s {
			tried = true
			justTried = justTried || a.live || now < a.sentAt+slowStartPoll
		}
	}
	return tried, justTried
}
