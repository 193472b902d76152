package decision

// Attempts of parts: when one is allowed, sent and cancelled.

import "mothrouter/internal/completeness"

// slowStartPoll is in seconds: a part that no replica may take yet is drawn again after that time, four
// ticks. A server that rejected an attempt is not drawn again for the same part sooner either.
const slowStartPoll = 0.02

// mayAttempt reports whether the settings and the class allow one more attempt of a part now.
func (p *Policy) mayAttempt(pt *part) bool {
	if pt.answered || pt.givenUp {
		return false
	}
	if p.settings.MaxAttempts > 0 && len(pt.attempts) >= p.settings.MaxAttempts {
		return false
	}
	for i := range pt.attempts {
		a := &pt.attempts[i]
		if a.live && !p.settings.HedgingAllowed {
			return false
		}
		if (a.live || a.mayRun) && !p.mayExecuteAgain(pt.query.class, a) {
			return false
		}
	}
	return true
}

// mayExecuteAgain reports whether a part may be executed again after an attempt that may have run.
func (p *Policy) mayExecuteAgain(class *Class, a *attempt) bool {
	switch class.Idempotency {
	case NonIdempotent:
		return false
	case IdempotentWithKey:
		return p.now <= a.sentAt+class.IdempotencyWindow-edgeSlack
	default:
		return true
	}
}

// sendParts sends the parts that are due, until those answered and in flight would make a complete answer.
func (p *Policy) sendParts(q *query, answered float64) {
	p.drawRound++
	stride := p.canaryStride(q, answered)
	if stride == sendNoPart {
		p.rejectOrFail(q)
		return
	}
	expected := answered
	usual := p.fleet.Latencies[q.Class].Quantile(usualQuantile)
	needed := q.class.CompletenessThreshold - completeness.Slack
	for i := 0; i < len(q.parts); i += stride {
		pt := q.parts[i]
		if pt.answered || pt.givenUp {
			continue
		}
		if q.phase == firstPhase && expected >= needed {
			return
		}
		if p.sendPart(pt, usual) {
			expected += pt.Weight
		}
	}
}

// sendPart sends an attempt of a part if one is due, and reports whether the part is expected to be answered
// without a further one. The usual latency of the class is in seconds.
func (p *Policy) sendPart(pt *part, usual float64) bool {
	stalled := pt.live > 0 && p.isStalled(pt, usual)
	if stalled && !p.settings.HedgingAllowed {
		p.cancelAttempts(pt) // the next attempt is sent when this one has ended
	}
	hedges := stalled && p.settings.HedgingAllowed
	if pt.live > 0 && !hedges {
		return p.isAwaited(pt, usual)
	}
	if !p.mayAttempt(pt) {
		return false
	}
	isFirstInFlight := pt.live == 0
	if p.settings.MaxPartsPerCall <= 1 || len(pt.attempts) > 0 {
		p.drawRound++ // the part shares no call: its draw is independent of the others
	}
	s := p.drawReplica(pt)
	if s == nil {
		p.wakeAt(p.now + slowStartPoll)
	} else {
		p.send(pt, s)
	}
	return isFirstInFlight
}

// isAwaited reports whether a part in flight is expected to be answered without another part in its place.
// Where every part is needed, there is none.
func (p *Policy) isAwaited(pt *part, usual float64) bool {
	needsAll := pt.query.class.CompletenessThreshold > 1-completeness.Slack
	if needsAll || pt.query.phase == secondPhase {
		return true
	}
	return !p.isSlow(pt, usual)
}

// send starts an attempt of a part and adds it to those in flight at the server.
func (p *Policy) send(pt *part, s *server) {
	if len(pt.attempts) > 0 {
		p.retryBudget.RecordRetry(p.now)
	}
	pt.attempts = append(pt.attempts, attempt{
		server:      s,
		sentAt:      p.now,
		live:        true,
		mayRun:      true,
		concurrency: float64(1 + s.QueueDepth(p.now)),
	})
	pt.live++
	s.Sent(p.now)
	if p.capacityFraction(s) < 1 {
		s.slowStartSends = append(s.slowStartSends, p.now)
	}
	p.emit(Send{ID: pt.ID, Server: s.ID, Timeout: pt.query.expiresAt - p.now})
}

// cancelAttempts cancels the attempts of a part that are in flight, if the settings allow it.
func (p *Policy) cancelAttempts(pt *part) {
	if !p.settings.CancelAllowed {
		return
	}
	for i := range pt.attempts {
		a := &pt.attempts[i]
		if a.live && !a.cancelled {
			a.cancelled = true
			p.emit(Cancel{ID: pt.ID, Attempt: i})
		}
	}
}
