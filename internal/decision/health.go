package decision

// What the outcomes of attempts tell of servers, links and the fleet.

import (
	"math"
	"slices"

	"mothrouter/internal/estimate/serverstats"
)

const (
	failureExponent = 4.0  // a server that fails a third of its parts gets a fifth of its share
	minHealthWeight = 1e-4 // below a healthy server's weight however deep its queue; fading does the rest
	stallPatience   = 2.0  // service times without an answer before a server is doubted
	minStall        = 0.01 // seconds: shorter silences are chance
)

// recordOutcome counts an outcome for or against a server.
func (p *Policy) recordOutcome(s *server, status Status) {
	switch status {
	case OK:
		p.fleet.RecordSuccess(&s.Stats)
	case Error, Overloaded:
		p.fleet.RecordFailure(&s.Stats, false)
	case Reset, Unreachable:
		p.fleet.RecordFailure(&s.Stats, true)
	}
}

// learnFromAttempt brings an outcome into what is known of its server and the fleet.
func (p *Policy) learnFromAttempt(a *attempt, q *query, e AttemptFinished) {
	s := a.server
	p.recordOutcome(s, e.Status)
	ended := serverstats.Attempt{
		Class: q.Class, SentAt: a.sentAt, Latency: e.Latency, Concurrency: a.concurrency,
	}
	switch e.Status {
	case OK:
		p.fleet.RecordAnswer(&s.Stats, ended, p.usableFraction(s), p.capacityFraction(s) >= 1)
	case TimedOut:
		p.fleet.RecordTimeout(&s.Stats, ended, p.usableFraction(s))
	case Cancelled:
		p.fleet.RecordCancel(&s.Stats, ended)
	case Overloaded:
		p.fleet.RecordOverload(q.class.LatencyObjective, p.usableFraction(s))
	}
}

// healthWeight falls with the fraction of attempts that lately failed: a server that fails fast shows a
// short queue. Draws compare plain ratios, since a median is itself high where half of the servers fail.
// Elsewhere what exceeds the median counts: it could harm if a single class fails.
func (p *Policy) healthWeight(s *server, median float64) float64 {
	excess := p.fleet.Failures.Of(&s.Failures) - median
	return max(math.Pow(1-max(excess, 0), failureExponent), minHealthWeight)
}

// stallPenalty falls while a server with attempts in flight answers none for longer than usual.
func (p *Policy) stallPenalty(s *server) float64 {
	if p.fleet.ServiceTime.Mean == 0 {
		return 1
	}
	silence := s.Silence(p.now) / max(stallPatience*p.fleet.ServiceTime.Mean, minStall)
	return min(1, math.Pow(max(silence, 1), -concurrencyExponent))
}

// usableFraction is how much of its work a server does, by what this broker sees.
func (p *Policy) usableFraction(s *server) float64 {
	return p.healthWeight(s, p.fleet.MedianFailureRatio) * p.stallPenalty(s)
}

// warmingServers is how many ready servers have less than their whole capacity.
func (p *Policy) warmingServers() (warming int) {
	duration := p.settings.SlowStart.Duration
	p.warmingUp = slices.DeleteFunc(p.warmingUp, func(s *server) bool {
		s.warming = duration > 0 && p.now-s.warmingSince < duration
		if s.warming && s.IsReady() {
			warming += 1 - int(p.capacityFraction(s))
		}
		return !s.warming
	})
	return warming
}
