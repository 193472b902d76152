package decision

// Detection of slow and stalled attempts, and their replacement by another part, a hedge or a retry.

// hedgeFactor, cancelFactor and overtakenFactor are multiples of the class's tail latency (tailQuantile).
const (
	// hedgeFactor is the time after which an attempt without an answer may be hedged. Hedges stay rare, since
	// fewer than one part in twenty exceeds even the tail latency itself.
	hedgeFactor = 1.5
	// cancelFactor is the time after which an attempt may be cancelled and retried. It is longer than
	// hedgeFactor, since the server may continue to execute the cancelled attempt, which wastes its work.
	cancelFactor = 3.0
	// overtakenFactor is the minimum time between the sends of two attempts to a server for which the answer
	// to the earlier one is assumed lost once the later one is answered. Attempts sent in shorter succession
	// are often answered out of order by servers with several cores.
	overtakenFactor = 2.0
	// minHealthAdvantage is the minimum ratio between the usable fractions of another replica and the current
	// server for a hedge or retry. Smaller differences occur by chance.
	minHealthAdvantage = 4.0
	// medianQuantile is the quantile of a class's latencies that a hedge or retry is expected to take. It
	// must fit into the time left until the objective.
	medianQuantile = 0.5
)

// isSlow reports whether the latest attempt of a part has taken longer than the tail latency, so that another
// part, if there is one, should be sent as a substitute. Before that time, isSlow requests a batch for it.
func (p *Policy) isSlow(pt *part, tailLatency float64) bool {
	dueAt := pt.latestAttempt().sentAt + tailLatency
	if p.now < dueAt {
		p.wakeAt(dueAt)
	}
	return tailLatency > 0 && p.now >= dueAt
}

// isStalled reports whether the only attempt in flight of a part should be hedged or, if hedging is not
// allowed, cancelled and retried. This is so if its server has answered nothing for long, or only attempts
// sent later, so that the answer is assumed lost. Attempts at a slow server that answers in order are kept,
// since the server would continue to execute them. Before the attempt can count as stalled, isStalled
// requests a batch for the time from which it can.
func (p *Policy) isStalled(pt *part, tailLatency float64) bool {
	a := pt.latestAttempt()
	if tailLatency == 0 || pt.attemptsInFlight != 1 || !a.inFlight || a.cancelled {
		return false
	}
	if p.now >= pt.query.objectiveAt {
		return false
	}
	if !p.settings.HedgingAllowed && !p.mayCancelForRetry(pt) {
		return false
	}
	timeout := p.stallTimeout(tailLatency)
	dueAt := a.sentAt + timeout
	overtaken := a.server.NewestAnsweredAt > a.sentAt+overtakenFactor*tailLatency
	if !overtaken {
		dueAt = max(dueAt, a.server.AnsweredAt+timeout)
	}
	if p.now < dueAt {
		p.wakeAt(dueAt)
		return false
	}
	expectedAt := p.now + p.fleet.Latencies[pt.query.Class].Quantile(medianQuantile)
	if expectedAt >= pt.query.objectiveAt {
		return false
	}
	return overtaken || p.hasHealthierReplica(pt, a.server)
}

// stallTimeout returns the time in seconds after which an attempt is considered stalled.
func (p *Policy) stallTimeout(tailLatency float64) float64 {
	if p.settings.HedgingAllowed {
		return hedgeFactor * tailLatency
	}
	return cancelFactor * tailLatency
}

// mayCancelForRetry reports whether an attempt of a part may be cancelled and retried.
func (p *Policy) mayCancelForRetry(pt *part) bool {
	return pt.query.class.Idempotency == Idempotent && p.settings.CancelAllowed &&
		len(pt.attempts) < p.settings.MaxAttempts
}

// hasHealthierReplica reports whether another replica of a part's shard is much healthier than the current
// server. If all replicas are stalled, more attempts would only add to the overload.
func (p *Policy) hasHealthierReplica(pt *part, current *server) bool {
	found := false
	p.replicaSets.Replicas(pt.Shard, func(s *server) {
		if found || s == current || !s.IsReady() {
			return
		}
		found = p.usableFraction(s) > minHealthAdvantage*p.usableFraction(current)
	})
	return found
}

// latestAttempt returns the most recently sent attempt of a part, which must have at least one.
func (pt *part) latestAttempt() *attempt { return &pt.attempts[len(pt.attempts)-1] }
