package decision

// Attempts of parts: when they are sent, cancelled, hedged and retried.

import "mothrouter/internal/completeness"

const (
	slowStartPoll      = 0.02 // seconds between looks at parts that no server may take yet
	hedgePatience      = 1.5  // times the 95th percentile, so that hedges stay rare
	cancelPatience     = 3.0  // a cancelled attempt may run on: its work is lost, so it must be surer
	overtakenPatience  = 2.0  // so much later a part was sent that was answered: cores overtake often
	minHealthAdvantage = 4.0  // times healthier the server of a hedge must be, beyond chance
)

type attempt struct {
	server      *server
	sentAt      float64
	live        bool // in flight
	mayRun      bool // it may have been executed
	cancelled   bool
	concurrency float64 // this broker's parts at the server when it was sent, itself included
}

// mayAttempt tells whether the rules allow one more attempt of a part, now.
func (p *Policy) mayAttempt(pt *part) bool {
	if pt.answered || pt.givenUp || p.settings.MaxAttempts > 0 && len(pt.attempts) >= p.settings.MaxAttempts {
		return false
	}
	c := pt.query.class
	for _, a := range pt.attempts {
		if a.live && !p.settings.HedgingAllowed {
			return false
		}
		expired := c.Idempotency == IdempotentWithKey && p.now > a.sentAt+c.IdempotencyWindow-edgeSlack
		if (a.live || a.mayRun) && (c.Idempotency == NonIdempotent || expired) {
			return false
		}
	}
	return true
}

// sendParts sends the parts that may go, until those in flight would make a complete answer.
func (p *Policy) sendParts(q *query, answered float64) {
	p.drawRound++
	stride := p.canaryStride(q, answered)
	if stride == 0 {
		p.rejectOrFail(q)
		return
	}
	expected, usual := answered, p.fleet.Latencies[q.Class].Quantile(0.95)
	for i := 0; i < len(q.parts); i += stride {
		pt := q.parts[i]
		if pt.answered || pt.givenUp {
			continue
		}
		if q.phase == firstPhase && expected >= q.class.CompletenessThreshold-completeness.Slack {
			return
		}
		if p.sendPart(pt, usual) {
			expected += pt.Weight
		}
	}
}

// sendPart sends an attempt of a part if one is due, and tells whether its answer is counted on. Nearly all
// parts of the class take at most the usual latency.
func (p *Policy) sendPart(pt *part, usual float64) (counted bool) {
	stalled := pt.live > 0 && p.isStalled(pt, usual)
	if stalled && !p.settings.HedgingAllowed {
		p.cancelAttempts(pt) // then another may go
	}
	if pt.live > 0 && (!stalled || !p.settings.HedgingAllowed) {
		needsAll := pt.query.class.CompletenessThreshold > 1-completeness.Slack
		return needsAll || pt.query.phase == secondPhase || !p.isSlow(pt, usual)
	}
	if !p.mayAttempt(pt) {
		return false
	}
	counted = pt.live == 0
	if p.settings.MaxPartsPerCall <= 1 || len(pt.attempts) > 0 {
		p.drawRound++ // there is no call to share: a draw of its own
	}
	if s := p.drawReplica(pt); s != nil {
		p.send(pt, s)
	} else {
		p.wakeAt(p.now + slowStartPoll)
	}
	return counted
}

func (p *Policy) send(pt *part, s *server) {
	if len(pt.attempts) > 0 {
		p.retryBudget.Retry(p.now)
	}
	concurrency := float64(1 + s.QueueDepth(p.now))
	a := attempt{server: s, sentAt: p.now, live: true, mayRun: true, concurrency: concurrency}
	pt.attempts = append(pt.attempts, a)
	pt.live++
	s.Sent(p.now)
	if p.capacityFraction(s) < 1 {
		s.slowStartSends = append(s.slowStartSends, p.now)
	}
	p.emit(Send{ID: pt.ID, Server: s.ID, Timeout: pt.query.expiresAt - p.now})
}

func (p *Policy) cancelAttempts(pt *part) {
	for i := range pt.attempts {
		if a := &pt.attempts[i]; a.live && !a.cancelled && p.settings.CancelAllowed {
			a.cancelled = true
			p.emit(Cancel{ID: pt.ID, Attempt: i})
		}
	}
}

// isSlow tells that the latest attempt takes longer than usual: a spare part, if any, goes instead.
func (p *Policy) isSlow(pt *part, usual float64) bool {
	due := pt.attempts[len(pt.attempts)-1].sentAt + usual
	if p.now < due {
		p.wakeAt(due)
	}
	return usual > 0 && p.now >= due
}

// isStalled tells whether a live attempt should make way for another, or be hedged where that is allowed:
// its server has long answered nothing since, or only what was sent later, so that this answer is lost. A
// slow server that answers is left alone: its work would go on.
func (p *Policy) isStalled(pt *part, usual float64) bool {
	a := &pt.attempts[len(pt.attempts)-1]
	if usual == 0 || pt.live != 1 || !a.live || a.cancelled || p.now >= pt.query.objectiveAt {
		return false
	}
	patience := hedgePatience * usual
	if !p.settings.HedgingAllowed {
		if pt.query.class.Idempotency != Idempotent || !p.settings.CancelAllowed ||
			len(pt.attempts) >= p.settings.MaxAttempts {
			return false
		}
		patience = cancelPatience * usual
	}
	due := a.sentAt + patience
	overtaken := a.server.NewestAnsweredAt > a.sentAt+overtakenPatience*usual
	if !overtaken {
		due = max(due, a.server.AnsweredAt+patience)
	}
	if p.now < due {
		p.wakeAt(due)
		return false
	}
	inTime := p.now+p.fleet.Latencies[pt.query.Class].Quantile(0.5) < pt.query.objectiveAt
	return inTime && (overtaken || p.hasHealthierReplica(pt, a.server))
}

// hasHealthierReplica tells whether another replica is in much better health: where all of them are silent,
// more attempts would only feed the jam.
func (p *Policy) hasHealthierReplica(pt *part, than *server) (found bool) {
	p.replicaSets.Replicas(pt.Shard, func(s *server) {
		found = found || s != than && s.IsReady() &&
			p.usableFraction(s) > minHealthAdvantage*p.usableFraction(than)
	})
	return found
}
