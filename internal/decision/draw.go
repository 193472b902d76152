package decision

// The draw of one replica for a part, and the room of cold servers.

import (
	"cmp"
	"math"
	"slices"
)

const (
	ownLoadExponent = 3.0 // steeper than proportional: the table does not see a queue build
	speedExponent   = 2.5 // how steeply slower servers are avoided
	speedLeast      = 0.3 // quick ones do not draw more than their weight in one lucky part
	farShare        = 0.1 // one more part in flight near by about outweighs it
)

func (p *Policy) weight(s *server) float64 {
	fitness := cmp.Or(s.fitness, p.meanFitness) // an unreported server counts as average
	return fitness * p.nearness(s) * p.warmth(s) * s.ownLoadFactor(p.now) *
		p.trust(s, 0) * p.silenceFactor(s) * p.speed(s)
}

// ownLoadFactor falls with this broker's own parts in flight. What others pile up there is for speed to see.
func (s *server) ownLoadFactor(now float64) float64 {
	return math.Pow(1+float64(s.depth(now)), -ownLoadExponent)
}

// speed falls with how much longer than the fleet's a server's latest parts took, while that is remembered.
func (p *Policy) speed(s *server) float64 {
	return math.Pow(math.Max(p.serviceTime.Relative(&s.serviceTime, p.now), speedLeast), -speedExponent)
}

// nearness is less than 1 for servers of other zones where crossing has a price.
func (p *Policy) nearness(s *server) float64 {
	if s.Zone == p.set.Zone || p.set.CrossZoneCost <= 0 {
		return 1
	}
	return farShare
}

// warmth is the share of its capacity that a server surely has: less than 1 while it warms up.
func (p *Policy) warmth(s *server) float64 {
	return p.set.SlowStart.CapacityFraction(p.now - s.coldSince)
}

// admitsCold tells whether a cold server may get one more part. What warm ones answer bounds what they bear
// from below, and each broker keeps to its own share of that.
func (p *Policy) admitsCold(s *server) bool {
	w := p.warmth(s)
	window := p.set.SlowStart.OverloadWindow
	if w >= 1 || window <= 0 {
		return true
	} else if s.allowance != nil {
		return len(s.sends) < s.allowance.Parts && p.now <= s.allowance.ExpiresAt
	}
	s.sends = slices.DeleteFunc(s.sends, func(t float64) bool { return t < p.now-window })
	// Chance rounds this broker's share, anew in each window: up always would add up over the brokers.
	if p.now >= s.roundedUntil {
		s.rounding, s.roundedUntil = p.rng.Float64(), p.now+window
		p.windows.Used()
	}
	room := p.set.SlowStart.Budget(w, p.peak.Value, p.set.Brokers)
	// A broker that rarely has a part for a server leaves most windows unused, and takes more of the others.
	room /= p.windows.Fraction()
	return float64(max(len(s.sends), s.own)+1) <= room+s.rounding
}

// draw picks a replica for a part, or nil. All draws of one turn share one variate a server, and so meet.
func (p *Policy) draw(pt *part) *server {
	var best *server
	for _, again := range []bool{false, true} {
		p.cells.Holders(pt.Shard, func(s *server) {
			tried, just := pt.tried(s, p.now)
			if !s.ready() || just || tried && !again || !p.admitsCold(s) {
				return
			}
			if s.turn != p.turn {
				s.turn, s.key = p.turn, p.rng.ExpFloat64()/p.weight(s)
			}
			if best == nil || s.key < best.key {
				best = s
			}
		})
		if best != nil || len(pt.attempts) == 0 {
			break
		}
	}
	return best
}

// tried tells of a part's attempts at a server, and whether one is out or just was: it may refuse at once.
func (pt *part) tried(s *server, now float64) (tried, just bool) {
	for _, a := range pt.attempts {
		tried = tried || a.srv == s
		just = just || a.srv == s && (a.live || now < a.sentAt+holdPoll)
	}
	return
}

// depth counts this broker's parts at a server: those in flight, and those given up that it may still work
// through. Queues go in order, so an answer clears all that was sent before it.
func (s *server) depth(now float64) int {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(g abandonedPart) bool { return now > g.until })
	return s.own + len(s.abandoned)
}

type abandonedPart struct{ sentAt, until float64 }
