package decision

// The course of a query from its arrival to its final answer.

import (
	"cmp"
	"math"
	"slices"
)

const (
	sumSlack      = 1e-6 // rounding of weight sums; the rules allow more
	answerLead    = 3    // ticks before the aim or deadline at which the last answer leaves
	breakChance   = 0.05 // so unlikely must it be that so many attempts were broken off by chance
	cautiousFor   = 30.0 // seconds: at size a broker meets such a query only once in so long
	abandonedSpan = 3.0  // seconds that a part given up counts without news: about a full queue's length
	leaveStep     = 0.05 // weight of one query in the share of clients that leave
	leaveMany     = 0.1  // a share beyond single impatient clients
)

type query struct {
	Query
	class       *Class
	parts       []*part // of the present step
	step        int
	whole       bool // the first step's answer was whole
	arrived     float64
	aim, end    float64 // when its full worth ends, and when all its worth, or the client's patience
	ended, sent bool
	spread      bool   // the parts that went ahead have come back soon enough
	late        bool   // its aim has passed since its client's first try
	resets      int    // attempts whose server broke off
	fingerprint uint64 // hash of its class, shards and weights: a client's repeat has the same
}

type part struct {
	Part
	q        *query
	attempts []attempt
	live     int
	in       bool // its answer has come
	over     bool // its step or query has ended
	dropped  bool // cannot be sent again
}

func (p *Policy) lead() float64 { return answerLead * math.Max(p.set.Tick, 0.005) }

func (p *Policy) onQuery(e Query) {
	p.budget.Request(p.now)
	if e.Class < 0 || e.Class >= len(p.set.Classes) {
		p.do(Reject{ID: e.ID})
		return
	}
	c := &p.set.Classes[e.Class]
	q := &query{Query: e, class: c, step: 1, fingerprint: uint64(e.Class + 1)}
	q.arrived = cmp.Or(e.ReceivedAt, p.now)
	lead := p.lead() + p.now - q.arrived // the way out takes as long as the way in: this broker's own work
	q.aim = math.Min(q.arrived+c.LatencyObjective+c.ObjectivePerWork*e.Work, e.Deadline) - lead
	if q.end = q.aim; c.LateValue > 0 {
		q.end = e.Deadline - lead
	}
	// While many clients leave long before their stated deadline, aim at the time that most of them wait.
	patience, usual := p.leftAges.Quantile(0.25), p.latency[e.Class].Quantile(0.95)
	if p.leaving > leaveMany && patience > usual {
		q.aim = math.Min(q.aim, q.arrived+patience-lead)
	}
	// A client that waits for less than others has asked before: what is left is of the time for all tries.
	wait := math.Min(e.Deadline-p.now, c.Deadline)
	p.waits[e.Class] = math.Max(p.waits[e.Class], wait)
	q.late = wait < waitsLess*p.waits[e.Class] && c.Deadline-wait > c.LatencyObjective
	p.queries[e.Number], p.byQuery[e.ID] = q, q
	p.open = append(p.open, q)
}

func (p *Policy) onPart(e Part) {
	p.budget.Request(p.now)
	if q := p.queries[e.QueryNumber]; q != nil && !q.ended {
		pt := &part{Part: e, q: q}
		q.parts = append(q.parts, pt)
		q.fingerprint = (q.fingerprint^uint64(e.Shard+1))*fingerprintPrime ^ math.Float64bits(e.Weight)
		p.parts[e.ID] = pt
		p.probeOldest()
	}
}

func (p *Policy) onEnded(e AttemptFinished) {
	pt := p.parts[e.ID]
	if pt == nil || e.Attempt < 0 || e.Attempt >= len(pt.attempts) || !pt.attempts[e.Attempt].live {
		return
	}
	a := &pt.attempts[e.Attempt]
	a.live, a.mayRun = false, e.Status != Overloaded && e.Status != Unreachable && e.Status != NotSent
	pt.live--
	p.takeLoad(a.srv, e.LoadReport, p.now)
	p.learn(a, pt, e)
	a.srv.own--
	p.await(a.srv)
	switch {
	case pt.over && pt.live == 0:
		delete(p.parts, e.ID)
	case pt.over:
	case e.Status == OK:
		pt.in = true
		p.cancelLive(pt)
	default:
		pt.dropped = e.PartConcluded
		if e.Status == Reset {
			pt.q.resets++
		}
	}
}

func (p *Policy) learn(a *attempt, pt *part, e AttemptFinished) {
	s := a.srv
	p.countOutcome(s, e.Status)
	if e.Status == TimedOut || e.Status == Cancelled {
		s.abandoned = append(s.abandoned, abandonedPart{a.sentAt, p.now + abandonedSpan})
	}
	// A full queue counts as a whole aim. Only sound servers tell how fast the fleet is, not a few that hang.
	took := e.Latency / a.crowd
	longer := took > p.serviceTime.Of(&s.serviceTime, p.now)
	if e.Status == OK || e.Status == TimedOut || e.Status == Cancelled && longer {
		p.serviceTime.ObserveServer(&s.serviceTime, took, p.now)
	}
	if e.Status == Overloaded {
		took = pt.q.class.LatencyObjective
	}
	if e.Status == OK || e.Status == TimedOut || e.Status == Overloaded {
		p.serviceTime.Observe(took, p.sound(s))
	}
	if e.Status != OK {
		return
	}
	s.answeredAt, s.passed = p.now, math.Max(s.passed, a.sentAt)
	s.abandoned = slices.DeleteFunc(s.abandoned, func(g abandonedPart) bool { return g.sentAt <= a.sentAt })
	p.latency[pt.q.Class].Add(e.Latency)
	p.serviceTime.Answered()
	if p.warmth(s) >= 1 {
		p.peak.Answered()
	}
}

func (p *Policy) cancelLive(pt *part) {
	for i := range pt.attempts {
		if a := &pt.attempts[i]; a.live && !a.dropped && p.set.CancelAllowed {
			a.dropped = true
			p.do(Cancel{ID: pt.ID, Attempt: i})
		}
	}
}

// finish ends a query: cancels what is out, gives the final answer if there is one to give, forgets.
func (p *Policy) finish(q *query, final Action) {
	q.ended = true
	p.release(q)
	if final != nil {
		p.do(final)
		p.leaving -= leaveStep * p.leaving
	}
	delete(p.queries, q.Number)
	delete(p.byQuery, q.ID)
}

func (p *Policy) release(q *query) {
	for _, pt := range q.parts {
		pt.over = true
		p.cancelLive(pt)
		if pt.live == 0 {
			delete(p.parts, pt.ID)
		}
	}
}

// giveUp ends a query that will not be answered, at once. It refuses only where a repeat is harmless.
func (p *Policy) giveUp(q *query) {
	mayRun := q.step == 2 // its first step has run
	for _, pt := range q.parts {
		mayRun = mayRun || slices.ContainsFunc(pt.attempts, func(a attempt) bool { return a.mayRun })
	}
	if mayRun && q.class.Idempotency != Idempotent {
		p.finish(q, Fail{ID: q.ID})
	} else {
		p.finish(q, Reject{ID: q.ID, RetryAfter: p.set.MaxRetryAfter})
	}
}

// advance does what a query needs now: answer, give up, send, send again.
func (p *Policy) advance(q *query) {
	if q.ended || len(q.parts) == 0 && q.step == 2 && p.now < q.end {
		p.wakeAt(q.end)
		return
	}
	c := q.class
	in, out, missing, live := 0.0, 0.0, 0, 0
	for _, pt := range q.parts {
		live += pt.live
		if pt.in {
			in += pt.Weight
			continue
		}
		missing++
		if !pt.dropped && (pt.live > 0 || p.maySend(pt)) {
			out += pt.Weight
		}
	}
	whole := in >= c.CompletenessThreshold-sumSlack && q.step == 1 || missing == 0 && q.step == 2
	enough := in >= c.MinCompleteness-sumSlack && c.MinCompleteness < c.CompletenessThreshold || whole
	hopeless := in+out < c.CompletenessThreshold-sumSlack && q.step == 1 ||
		missing > 0 && in+out < 1-sumSlack && q.step == 2
	switch late := p.now >= q.end || p.now >= q.aim && enough; {
	case whole || enough && (hopeless || late):
		if q.step == 1 && c.SecondPhaseFanout > 0 && in > 0 {
			p.release(q)
			p.do(Respond{ID: q.ID, Complete: whole})
			q.whole, q.step, q.parts = whole, 2, nil
			p.wakeAt(q.end)
			return
		}
		p.finish(q, Respond{ID: q.ID, Complete: whole && (q.step == 1 || q.whole)})
	case late || hopeless && in+out < c.MinCompleteness-sumSlack ||
		hopeless && c.MinCompleteness >= c.CompletenessThreshold:
		p.giveUp(q)
	// All its attempts ended, more of them broken off than by chance: it brings down its servers.
	case q.resets > 1 && in+float64(live) == 0 && q.step == 1 &&
		math.Pow(p.cut, float64(q.resets)) < breakChance:
		p.cautiousUntil[q.Class] = p.now + cautiousFor
		p.breakers[q.fingerprint] = q.arrived + c.Deadline
		p.giveUp(q)
	case !q.sent && (p.known(q) || p.wouldBeLate(q)):
		p.giveUp(q)
	default:
		q.sent = true
		p.sendParts(q, in)
		p.wakeAt(q.end)
		if p.now < q.aim {
			p.wakeAt(q.aim)
		}
	}
}

const fingerprintPrime = 1099511628211 // of the FNV hash
