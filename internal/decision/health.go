package decision

// Server health, estimated from the outcomes of attempts.

import (
	"math"

	"mothrouter/internal/estimate/serverstats"
)

const (
	// failureExponent reduces the weight of a server that fails a third of its parts to (2/3)^4, a fifth.
	failureExponent = 4.0
	// minHealthWeight is below the weight of a healthy server with up to 20 parts in flight (21^-3). It is
	// above 0 so that a failing server still gets a few parts, which detect its recovery.
	minHealthWeight = 1e-4
	// stallFactor is in mean service times. A server that has not answered for longer is penalized.
	stallFactor = 2.0
	// minStallTimeout is in seconds. Healthy servers may occasionally take that long to answer.
	minStallTimeout = 0.01
)

// recordOutcome records the outcome of an attempt or a health check as a success or failure of a server. It
// ignores outcomes that do not depend on the server's health.
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

// recordAttempt updates the service times and answer rates of the server and the fleet from the outcome of
// an attempt. It must be called after recordOutcome.
func (p *Policy) recordAttempt(a *attempt, q *query, outcome AttemptFinished) {
	s := a.server
	finished := serverstats.Attempt{
		Class:       q.Class,
		SentAt:      a.sentAt,
		Latency:     outcome.Latency,
		Concurrency: a.concurrency,
	}
	switch outcome.Status {
	case OK:
		isWarm := p.capacityFraction(s) >= 1
		p.fleet.RecordAnswer(&s.Stats, finished, p.usableFraction(s), isWarm)
	case TimedOut:
		p.fleet.RecordTimeout(&s.Stats, finished, p.usableFraction(s))
	case Cancelled:
		p.fleet.RecordCancel(&s.Stats, finished)
	case Overloaded:
		p.fleet.RecordOverload(q.class.LatencyObjective, p.usableFraction(s))
	}
}

// healthWeight returns a factor that decreases as a server's recent failure ratio exceeds a baseline. Without
// it, a server that fails fast would attract parts, since its queue is short. Replica selection passes 0,
// since the fleet's median is itself high if half of the servers fail. Capacity estimates pass the median, so
// that failures of one class at all servers do not count as a loss of capacity.
func (p *Policy) healthWeight(s *server, baseline float64) float64 {
	excess := p.fleet.Failures.Of(&s.Failures) - baseline
	return max(math.Pow(1-max(excess, 0), failureExponent), minHealthWeight)
}

// stallPenalty returns a factor that decreases once a server with attempts in flight has answered none for
// longer than the stall timeout.
func (p *Policy) stallPenalty(s *server) float64 {
	if p.fleet.ServiceTime.Mean == 0 {
		return 1
	}
	timeout := max(stallFactor*p.fleet.ServiceTime.Mean, minStallTimeout)
	ratio := s.Silence(p.now) / timeout
	return min(1, math.Pow(max(ratio, 1), -concurrencyExponent))
}

// usableFraction returns the estimated fraction of a server's work that succeeds, given its health.
func (p *Policy) usableFraction(s *server) float64 {
	return p.healthWeight(s, p.fleet.MedianFailureRatio) * p.stallPenalty(s)
}
