package decision

// Attempts of parts: whether one is allowed, and how attempts are sent and cancelled.

import "mothrouter/internal/completeness"

// slowStartPoll is in seconds. If no replica may take a part, selection is repeated after this time, which is
// four ticks. It is also the minimum time between two attempts of a part at the same server, which may have
// rejected the first one.
const slowStartPoll = 0.02

// mayAttempt reports whether the settings and the class allow another attempt of a part now.
func (p *Policy) mayAttempt(pt *part) bool {
	if pt.answered || pt.givenUp {
		return false
	}
	if p.settings.MaxAttempts > 0 && len(pt.attempts) >= p.settings.MaxAttempts {
		return false
	}
	for i := range pt.attempts {
		a := &pt.attempts[i]
		if a.inFlight && !p.settings.HedgingAllowed {
			return false
		}
		if (a.inFlight || a.mayRun) && !p.mayExecuteAgain(pt.query.class, a) {
			return false
		}
	}
	return true
}

// mayExecuteAgain reports whether a part may be executed again after an attempt that may have been executed.
func (p *Policy) mayExecuteAgain(class *Class, a *attempt) bool {
	switch class.Idempotency {
	case NonIdempotent:
		return false
	case IdempotentWithKey:
		return p.now <= a.sentAt+class.IdempotencyWindow-windowMargin
	default:
		return true
	}
}

// sendParts sends the parts that are due, until answered parts and parts in flight suffice for a complete
// answer.
func (p *Policy) sendParts(q *query, answeredWeight float64) {
	p.drawRound++
	stride := p.canaryStride(q, answeredWeight)
	if stride == rejectStride {
		p.rejectOrFail(q)
		return
	}
	expectedWeight := answeredWeight
	tailLatency := p.fleet.Latencies[q.Class].Quantile(tailQuantile)
	neededWeight := q.class.CompletenessThreshold - completeness.Epsilon
	for i := 0; i < len(q.parts); i += stride {
		pt := q.parts[i]
		if pt.answered || pt.givenUp {
			continue
		}
		if q.phase == firstPhase && expectedWeight >= neededWeight {
			return
		}
		if p.sendPart(pt, tailLatency) {
			expectedWeight += pt.Weight
		}
	}
}

// sendPart sends an attempt of a part if one is due, and reports whether the part is expected to be answered
// without a further attempt. tailLatency is that of the class, in seconds.
func (p *Policy) sendPart(pt *part, tailLatency float64) bool {
	stalled := pt.attemptsInFlight > 0 && p.isStalled(pt, tailLatency)
	if stalled && !p.settings.HedgingAllowed {
		p.cancelAttempts(pt) // the retry is sent once the outcome of this attempt is known
	}
	shouldHedge := stalled && p.settings.HedgingAllowed
	if pt.attemptsInFlight > 0 && !shouldHedge {
		return p.isAwaited(pt, tailLatency)
	}
	if !p.mayAttempt(pt) {
		return false
	}
	isFirstInFlight := pt.attemptsInFlight == 0
	if p.settings.MaxPartsPerCall <= 1 || len(pt.attempts) > 0 {
		p.drawRound++ // this part shares no call, so its draw is independent
	}
	s := p.drawReplica(pt)
	if s == nil {
		p.wakeAt(p.now + slowStartPoll)
	} else {
		p.send(pt, s)
	}
	return isFirstInFlight
}

// isAwaited reports whether a part in flight is expected to be answered in time, so that no other part needs
// to be sent as a substitute. If every part is needed, there are no substitutes.
func (p *Policy) isAwaited(pt *part, tailLatency float64) bool {
	needsAll := pt.query.class.CompletenessThreshold > 1-completeness.Epsilon
	if needsAll || pt.query.phase == secondPhase {
		return true
	}
	return !p.isSlow(pt, tailLatency)
}

// send starts an attempt of a part at a server.
func (p *Policy) send(pt *part, s *server) {
	if len(pt.attempts) > 0 {
		p.retryBudget.RecordRetry(p.now)
	}
	pt.attempts = append(pt.attempts, attempt{
		server:      s,
		sentAt:      p.now,
		inFlight:    true,
		mayRun:      true,
		concurrency: float64(1 + s.QueueDepth(p.now)),
	})
	pt.attemptsInFlight++
	s.Sent(p.now)
	if p.capacityFraction(s) < 1 {
		s.slowStartSends = append(s.slowStartSends, p.now)
	}
	p.emit(Send{ID: pt.ID, Server: s.ID, Timeout: pt.query.expiresAt - p.now})
}

// cancelAttempts cancels the attempts of a part in flight, if the settings allow cancellation.
func (p *Policy) cancelAttempts(pt *part) {
	if !p.settings.CancelAllowed {
		return
	}
	for i := range pt.attempts {
		a := &pt.attempts[i]
		if a.inFlight && !a.cancelled {
			a.cancelled = true
			p.emit(Cancel{ID: pt.ID, Attempt: i})
		}
	}
}
