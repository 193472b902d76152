package decision

// Slow and stalled attempts: when another part, a hedge or a retry takes their place.

// The patiences are in usual latencies: the 95th percentile of the class.
const (
	// hedgePatience is the time after which an attempt without an answer may be hedged. Fewer than one part
	// in twenty takes even the usual latency, so that hedges stay rare.
	hedgePatience = 1.5
	// cancelPatience is the time after which an attempt may be cancelled for a retry. It is longer than
	// hedgePatience since the server may go on with the cancelled attempt, whose work is then lost.
	cancelPatience = 3.0
	// overtakenPatience is the distance between the sends of an attempt and of a later one which the same
	// server answered, from which the first one's answer counts as lost. Requests often overtake each other
	// by less on servers with several cores.
	overtakenPatience = 2.0
	// minHealthAdvantage is the ratio of the usable fraction of another replica to the present server's from
	// which a hedge or retry pays: smaller differences occur by chance.
	minHealthAdvantage = 4.0
	// medianQuantile is the quantile of a class's latencies within which a hedge or retry must fit.
	medianQuantile = 0.5
)

// isSlow reports whether the latest attempt of a part takes longer than usual, so that a spare part, if there
// is one, is sent in its place. Until then it requests a batch for that time.
func (p *Policy) isSlow(pt *part, usual float64) bool {
	due := pt.latestAttempt().sentAt + usual
	if p.now < due {
		p.wakeAt(due)
	}
	return usual > 0 && p.now >= due
}

// isStalled reports whether the one attempt in flight of a part should be cancelled for a retry or, where
// hedging is allowed, be hedged: its server has for long answered nothing, or only what was sent later, so
// that this answer is lost. A slow server that answers in order is left alone, since its work would go on.
func (p *Policy) isStalled(pt *part, usual float64) bool {
	a := pt.latestAttempt()
	if usual == 0 || pt.live != 1 || !a.live || a.cancelled {
		return false
	}
	if p.now >= pt.query.objectiveAt {
		return false
	}
	if !p.settings.HedgingAllowed && !p.mayCancelForRetry(pt) {
		return false
	}
	patience := p.stallTimeout(usual)
	due := a.sentAt + patience
	overtaken := a.server.NewestAnsweredAt > a.sentAt+overtakenPatience*usual
	if !overtaken {
		due = max(due, a.server.AnsweredAt+patience)
	}
	if p.now < due {
		p.wakeAt(due)
		return false
	}
	expectedAt := p.now + p.fleet.Latencies[pt.query.Class].Quantile(medianQuantile)
	if expectedAt >= pt.query.objectiveAt {
		return false
	}
	return overtaken || p.hasHealthierReplica(pt, a.server)
}

// stallTimeout returns the time in seconds after which an attempt counts as stalled.
func (p *Policy) stallTimeout(usual float64) float64 {
	if p.settings.HedgingAllowed {
		return hedgePatience * usual
	}
	return cancelPatience * usual
}

// mayCancelForRetry reports whether an attempt of a part may be cancelled and the part sent again.
func (p *Policy) mayCancelForRetry(pt *part) bool {
	return pt.query.class.Idempotency == Idempotent && p.settings.CancelAllowed &&
		len(pt.attempts) < p.settings.MaxAttempts
}

// hasHealthierReplica reports whether another replica of a part's shard is much healthier than a server.
// Where all of them are silent, more attempts would only add to the overload.
func (p *Policy) hasHealthierReplica(pt *part, than *server) bool {
	found := false
	p.replicaSets.Replicas(pt.Shard, func(s *server) {
		if found || s == than || !s.IsReady() {
			return
		}
		found = p.usableFraction(s) > minHealthAdvantage*p.usableFraction(than)
	})
	return found
}

// latestAttempt returns the attempt of a part that was sent last. The part has one.
func (pt *part) latestAttempt() *attempt { return &pt.attempts[len(pt.attempts)-1] }
