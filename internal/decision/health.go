package decision

// Health of servers, from the outcomes of their attempts.

import (
	"math"

	"mothrouter/internal/estimate/serverstats"
)

const (
	// failureExponent gives a server that fails a third of its parts (2/3)^4, a fifth of its weight.
	failureExponent = 4.0
	// minHealthWeight is below the weight of a healthy server with up to 20 parts in flight (21^-3), and
	// above 0 so that a failing server still gets the few parts that show its recovery.
	minHealthWeight = 1e-4
	// stallPatience is in mean service times: a server without an answer for longer is penalized.
	stallPatience = 2.0
	// minStall is in seconds: shorter silences occur by chance.
	minStall = 0.01
)

// recordOutcome counts the outcome of an attempt or a health check for or against a server. Outcomes that do
// not depend on its health count for neither.
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

// learnFromAttempt updates the service times and answer rates of the server and the fleet from the outcome of
// an attempt, which recordOutcome has counted.
func (p *Policy) learnFromAttempt(a *attempt, q *query, outcome AttemptFinished) {
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

// healthWeight returns a factor that falls with a server's recent failure ratio above a baseline: a server
// that fails fast has a short queue and would attract parts. Draws pass 0, since the fleet's median is itself
// high where half of the servers fail. Estimates of capacity pass the median, so that failures of one class
// at all servers do not count as a loss of capacity.
func (p *Policy) healthWeight(s *server, baseline float64) float64 {
	excess := p.fleet.Failures.Of(&s.Failures) - baseline
	return max(math.Pow(1-max(excess, 0), failureExponent), minHealthWeight)
}

// stallPenalty returns a factor that falls while a server has attempts in flight and answers none for longer
// than stallPatience.
func (p *Policy) stallPenalty(s *server) float64 {
	if p.fleet.ServiceTime.Mean == 0 {
		return 1
	}
	patience := max(stallPatience*p.fleet.ServiceTime.Mean, minStall)
	silence := s.Silence(p.now) / patience
	return min(1, math.Pow(max(silence, 1), -concurrencyExponent))
}

// usableFraction returns the fraction of a server's work that succeeds, estimated from its health.
func (p *Policy) usableFraction(s *server) float64 {
	return p.healthWeight(s, p.fleet.MedianFailureRatio) * p.stallPenalty(s)
}
