package decision

// Attempts of parts: when they are sent, given up, copied and repeated.

import "math"

const (
	holdPoll     = 0.02 // seconds between looks at parts that no server may take yet
	aheadTime    = 0.25 // of the time to the aim that others wait for the parts ahead
	aheadLeast   = 8    // parts that go ahead of a wide query,
	aheadMiss    = 0.3  // of which this share may be missing then
	wideParts    = 20   // one of so many goes ahead where that is more
	wideFrom     = 32   // parts of a wide query
	wideBlind    = 3.0  // seconds in which a pace is half forgotten, from which a broker sees too little
	copyTimes    = 1.5  // beyond what nineteen of twenty parts take, so that copies stay rare
	giveUpTimes  = 3.0  // an attempt given up may run on: its work is lost, so it must be surer
	passedTimes  = 2.0  // so much later a part was sent that was answered: cores side by side pass often
	sounderTimes = 4.0  // how much sounder the copy's server must be, beyond chance
)

type attempt struct {
	srv          *server
	sentAt       float64
	live, mayRun bool
	dropped      bool    // its Cancel is on the way
	crowd        float64 // this broker's parts at the server then, this one included
}

// maySend tells whether the rules allow one more attempt of a part, now.
func (p *Policy) maySend(pt *part) bool {
	if pt.in || pt.dropped || p.set.MaxAttempts > 0 && len(pt.attempts) >= p.set.MaxAttempts {
		return false
	}
	for _, a := range pt.attempts {
		c := pt.q.class
		expired := c.Idempotency == IdempotentWithKey && p.now > a.sentAt+c.IdempotencyWindow-edgeSlack
		if a.live && !p.set.HedgingAllowed ||
			(a.live || a.mayRun) && (c.Idempotency == NonIdempotent || expired) {
			return false
		}
	}
	return true
}

func (p *Policy) sendParts(q *query, in float64) {
	p.turn++
	want, stride := in, p.stride(q, in)
	if stride == 0 {
		p.giveUp(q)
		return
	}
	for i, pt := range q.parts {
		if pt.in || pt.dropped || i%stride > 0 {
			continue
		}
		if want >= q.class.CompletenessThreshold-sumSlack && q.step == 1 {
			return // the parts that are out will make a whole answer
		}
		overdue := pt.live > 0 && p.overdue(pt)
		if overdue && !p.set.HedgingAllowed {
			p.cancelLive(pt) // then another may go
		}
		if pt.live > 0 && !(p.set.HedgingAllowed && overdue) {
			if q.class.CompletenessThreshold > 1-sumSlack || q.step == 2 || !p.late(pt) {
				want += pt.Weight
			}
			continue
		}
		if !p.maySend(pt) {
			continue
		}
		if pt.live == 0 {
			want += pt.Weight
		}
		if p.set.MaxPartsPerCall <= 1 || len(pt.attempts) > 0 {
			p.turn++ // nothing to share: a draw of its own
		}
		var s *server
		if len(pt.attempts) == 0 || p.budget.Allows(p.now) {
			s = p.draw(pt)
		}
		if s == nil {
			p.wakeAt(p.now + holdPoll)
			continue
		}
		p.send(pt, s)
	}
}

// wide tells of a query that loads much of a fleet of which this broker sees too little to know its state.
func (p *Policy) wide(q *query) bool {
	return len(q.parts) >= wideFrom && p.serviceTime.HalfLife > wideBlind && q.step == 1
}

// stride tells which parts of a query may go: all (1), each so many-th, or none any more (0). Of a wide query
// a few go ahead, since what was seen of the fleet is old: if they come back late, the rest would not be done
// in time and make others late. Where queries bring down the servers that begin them, one goes ahead a while.
func (p *Policy) stride(q *query, in float64) int {
	cautious := in == 0 && (q.resets > 0 || p.now < p.cautiousUntil[q.Class])
	if q.spread || !cautious && !p.wide(q) {
		return 1
	}
	until, ahead := q.arrived+aheadTime*(q.aim-q.arrived), max(len(q.parts)/wideParts, aheadLeast)
	stride, missing := max(len(q.parts)/ahead, 1), 0
	for i := 0; i < len(q.parts); i += stride {
		if !q.parts[i].in && !q.parts[i].dropped {
			missing++
		}
	}
	switch q.spread = p.wide(q) && p.now < until && float64(missing) <= aheadMiss*float64(ahead); {
	case p.now >= until && p.wide(q):
		return 0
	case p.now >= until || q.spread:
		return 1
	case cautious:
		stride = len(q.parts)
	}
	p.wakeAt(until)
	return stride
}

// late tells that a running attempt takes longer than nearly all do: a spare part, if any, goes instead.
func (p *Policy) late(pt *part) bool {
	high := p.latency[pt.q.Class].Quantile(0.95)
	due := pt.attempts[len(pt.attempts)-1].sentAt + high
	if p.now < due {
		p.wakeAt(due)
	}
	return high > 0 && p.now >= due
}

// overdue tells whether a running attempt should make way for another, or have one beside it where copies may
// be: for longer than patience its server has answered nothing since, or only what was sent later, so that
// this answer is lost. A slow but living server is left alone: its work would go on.
func (p *Policy) overdue(pt *part) bool {
	a, high := &pt.attempts[len(pt.attempts)-1], p.latency[pt.q.Class].Quantile(0.95)
	stays := pt.q.class.Idempotency != Idempotent || !p.set.CancelAllowed ||
		len(pt.attempts) >= p.set.MaxAttempts
	if high == 0 || pt.live != 1 || !a.live || a.dropped || p.now >= pt.q.aim ||
		!p.set.HedgingAllowed && stays {
		return false
	}
	patience, passed := giveUpTimes*high, a.srv.passed > a.sentAt+passedTimes*high
	if p.set.HedgingAllowed {
		patience = copyTimes * high
	}
	due := a.sentAt + patience
	if !passed {
		due = math.Max(due, a.srv.answeredAt+patience)
	}
	if p.now < due {
		p.wakeAt(due)
		return false
	}
	better := passed // in a group that is silent as a whole, more sends would only feed the jam
	p.cells.Holders(pt.Shard, func(s *server) {
		better = better || s != a.srv && s.ready() && p.sound(s) > sounderTimes*p.sound(a.srv)
	})
	return better && p.now+p.latency[pt.q.Class].Quantile(0.5) < pt.q.aim
}

func (p *Policy) send(pt *part, s *server) {
	if len(pt.attempts) > 0 {
		p.budget.Retry(p.now)
	}
	a := attempt{srv: s, sentAt: p.now, live: true, mayRun: true, crowd: float64(1 + s.depth(p.now))}
	pt.attempts = append(pt.attempts, a)
	pt.live++
	if s.own++; s.own == 1 || s.busySince <= s.answeredAt { // one that answers owes nothing older
		s.busySince = p.now
	}
	if p.warmth(s) < 1 {
		s.sends = append(s.sends, p.now)
	}
	p.do(Send{ID: pt.ID, Server: s.ID, Timeout: pt.q.end - p.now})
}
