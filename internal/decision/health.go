package decision

// What outcomes tell of the health of servers, links and the fleet.

import (
	"math"
	"slices"

	"mothrouter/internal/servicetime"
)

const (
	zoneStep        = 0.05  // weight of one outcome in a zone's failed share and in the share cut off
	badStep         = 0.25  // weight of one outcome in a server's failed share
	negligible      = 1e-33 // below 2^-108: 1 less a share and such a median rounds as 1 less the share does
	failureHalfLife = 5.0   // seconds in which a bad mark halves; about a trouble's shortest span
	failureExponent = 4.0   // a server that fails a third of its parts gets a fifth of its share
	trustFloor      = 1e-4  // below a sound server's weight however crowded; forgiving brings the trickle
	silentAfter     = 2.0   // paces without a word before a server is doubted
	silentLeast     = 0.01  // seconds: shorter ones are chance
)

// countOutcome counts an outcome for or against a server, its zone and the links of this broker.
func (p *Policy) countOutcome(s *server, status Status) {
	failed, cut := 1.0, 0.0
	switch status {
	case TimedOut, Cancelled, NotSent:
		return
	case OK:
		failed = 0
	case Reset, Unreachable:
		cut = 1
	}
	step := math.Max(badStep, servicetime.ObservationWeight(p.now-s.failed.At))
	p.failed.Count(&s.failed, failed, step, cut > 0)
	p.cut += zoneStep * (cut - p.cut)
	s.newsAt = p.now
}

// trust falls with the share of attempts that lately failed there: a server that fails fast shows a short
// queue. The draw compares plain shares: a median is itself bad where half of the servers fail. Elsewhere
// what exceeds the usual counts. It could harm if one class alone fails.
func (p *Policy) trust(s *server, usual float64) float64 {
	excess := p.failed.Of(&s.failed) - usual
	return math.Max(math.Pow(1-math.Max(excess, 0), failureExponent), trustFloor)
}

// silenceFactor falls while a server that owes answers is silent for longer than usual: it may hang.
func (p *Policy) silenceFactor(s *server) float64 {
	if s.own == 0 || p.serviceTime.Mean == 0 || s.busySince < s.answeredAt {
		return 1
	}
	silence := (p.now - s.busySince) / math.Max(silentAfter*p.serviceTime.Mean, silentLeast)
	return math.Min(1, math.Pow(math.Max(silence, 1), -ownLoadExponent))
}

// sound is how far a server does its work, by what this broker sees.
func (p *Policy) sound(s *server) float64 { return p.trust(s, p.fleetBad) * p.silenceFactor(s) }

// updateFleet takes what all servers are compared with, once a batch.
func (p *Policy) updateFleet() {
	ready := p.failed.Len()
	if ready > 0 {
		p.fleetBad = p.failed.Median()
	}
	warm := ready
	p.cold = slices.DeleteFunc(p.cold, func(s *server) bool {
		s.cold = p.set.SlowStart.Duration > 0 && p.now-s.coldSince < p.set.SlowStart.Duration
		if s.cold && s.ready() {
			warm += int(p.warmth(s)) - 1 // which is 1 from then on
		}
		return !s.cold
	})
	elapsed := p.now - p.updatedAt
	p.updatedAt = p.now
	p.warm = float64(max(warm, len(p.servers)/3, 1))
	p.windows.Advance(elapsed, float64(ready-warm), p.set.SlowStart.OverloadWindow)
	p.peak.Advance(p.now, p.warm)
	p.serviceTime.Advance(elapsed, p.warm)
	p.failed.SlowHalfLife = p.serviceTime.HalfLife // cut-off links fade as slowly as service times
}
