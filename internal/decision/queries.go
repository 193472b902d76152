package decision

// The course of a query from its arrival to its final answer.

import (
	"cmp"
	"math"
	"slices"

	"mothrouter/internal/completeness"
)

const (
	respondLeadTicks = 3 // ticks before the objective or deadline at which the last answer leaves
	minTick          = 0.005
	fingerprintPrime = 1099511628211 // of the FNV hash
)

const (
	firstPhase = iota + 1
	secondPhase
)

// queryTable holds the queries without a final answer, and the parts that may still be in flight.
type queryTable struct {
	openQueries []*query
	queries     map[int64]*query     // looked up, never iterated
	byQuery     map[RequestID]*query // looked up, never iterated
	parts       map[RequestID]*part  // looked up, never iterated
}

type query struct {
	Query
	class           *Class
	parts           []*part // of the present phase
	phase           int
	firstComplete   bool // the first phase was complete
	receivedAt      float64
	objectiveAt     float64 // until then an answer earns its full value
	expiresAt       float64 // until then it earns anything, or the client waits
	objectiveMissed bool    // it has passed since the client's first try
	admitted, ended bool
	fannedOut       bool   // its canary parts have come back soon enough
	resets          int    // attempts whose server broke off
	fingerprint     uint64 // hash of class, shards and weights: a client's retry has the same
}

type part struct {
	Part
	query    *query
	attempts []attempt
	live     int  // attempts in flight
	answered bool // a value is in
	finished bool // its phase or query has ended
	givenUp  bool // it gets no further attempt
}

func (p *Policy) onQuery(e Query) {
	p.retryBudget.Request(p.now)
	if e.Class < 0 || e.Class >= len(p.settings.Classes) {
		p.emit(Reject{ID: e.ID})
		return
	}
	c := &p.settings.Classes[e.Class]
	q := &query{Query: e, class: c, phase: firstPhase, fingerprint: uint64(e.Class + 1)}
	q.receivedAt = cmp.Or(e.ReceivedAt, p.now)
	p.setTimes(q)
	wait := min(e.Deadline-p.now, c.Deadline)
	q.objectiveMissed = p.waits.IsRetry(e.Class, wait) && c.Deadline-wait > c.LatencyObjective
	p.queries[e.Number], p.byQuery[e.ID] = q, q
	p.openQueries = append(p.openQueries, q)
}

// setTimes sets until when a query is worth an answer. The way out takes as long as the way in has taken:
// both are this broker's own work.
func (p *Policy) setTimes(q *query) {
	c := q.class
	lead := respondLeadTicks*max(p.settings.Tick, minTick) + p.now - q.receivedAt
	objective := q.receivedAt + c.LatencyObjective + c.ObjectivePerWork*q.Work
	q.objectiveAt = min(objective, q.Deadline) - lead
	q.expiresAt = q.objectiveAt
	if c.LateValue > 0 {
		q.expiresAt = q.Deadline - lead
	}
	if patience := p.patience.Short(); patience > p.fleet.Latencies[q.Class].Quantile(0.95) {
		q.objectiveAt = min(q.objectiveAt, q.receivedAt+patience-lead)
	}
}

func (p *Policy) onPart(e Part) {
	p.retryBudget.Request(p.now)
	if q := p.queries[e.QueryNumber]; q != nil && !q.ended {
		pt := &part{Part: e, query: q}
		q.parts = append(q.parts, pt)
		q.fingerprint = (q.fingerprint^uint64(e.Shard+1))*fingerprintPrime ^ math.Float64bits(e.Weight)
		p.parts[e.ID] = pt
		p.checkStalestHealth()
	}
}

func (p *Policy) onClientDisconnected(e ClientDisconnected) {
	if q := p.byQuery[e.ID]; q != nil {
		p.patience.Disconnected(p.now - q.receivedAt)
		p.finish(q, nil)
	}
}

func (p *Policy) onAttemptFinished(e AttemptFinished) {
	pt := p.parts[e.ID]
	if pt == nil || e.Attempt < 0 || e.Attempt >= len(pt.attempts) || !pt.attempts[e.Attempt].live {
		return
	}
	a := &pt.attempts[e.Attempt]
	a.live = false
	a.mayRun = e.Status != Overloaded && e.Status != Unreachable && e.Status != NotSent
	pt.live--
	a.server.RecordLoadReport(e.LoadReport, p.now)
	p.learnFromAttempt(a, pt.query, e)
	a.server.InFlight--
	p.queueHealthCheck(a.server)
	switch {
	case pt.finished && pt.live == 0:
		delete(p.parts, e.ID)
	case pt.finished:
	case e.Status == OK:
		pt.answered = true
		p.cancelAttempts(pt)
	default:
		pt.givenUp = e.PartConcluded
		if e.Status == Reset {
			pt.query.resets++
		}
	}
}

// finish ends a query: cancels what is in flight, gives the final answer if there is one, forgets it.
func (p *Policy) finish(q *query, final Action) {
	q.ended = true
	p.finishParts(q)
	if final != nil {
		p.emit(final)
		p.patience.Finished()
	}
	delete(p.queries, q.Number)
	delete(p.byQuery, q.ID)
}

func (p *Policy) finishParts(q *query) {
	for _, pt := range q.parts {
		pt.finished = true
		p.cancelAttempts(pt)
		if pt.live == 0 {
			delete(p.parts, pt.ID)
		}
	}
}

// rejectOrFail ends a query without an answer, at once. It rejects only where a retry does no harm.
func (p *Policy) rejectOrFail(q *query) {
	mayRun := q.phase == secondPhase // its first phase has run
	for _, pt := range q.parts {
		mayRun = mayRun || slices.ContainsFunc(pt.attempts, func(a attempt) bool { return a.mayRun })
	}
	if mayRun && q.class.Idempotency != Idempotent {
		p.finish(q, Fail{ID: q.ID})
	} else {
		p.finish(q, Reject{ID: q.ID, RetryAfter: p.settings.MaxRetryAfter})
	}
}

// progress is how far the present phase of a query has come.
type progress struct {
	completeness.Tally
	completeness.Thresholds
	live int // attempts in flight
}

func (p *Policy) progressOf(q *query) progress {
	var tally completeness.Tally
	live := 0
	for _, pt := range q.parts {
		live += pt.live
		switch {
		case pt.answered:
			tally.AddAnswered(pt.Weight)
		case !pt.givenUp && (pt.live > 0 || p.mayAttempt(pt)):
			tally.AddPending(pt.Weight)
		default:
			tally.AddLost()
		}
	}
	return progress{tally, q.class.Thresholds(q.phase == secondPhase), live}
}

// advance does what a query needs now: respond, give up, send, send again.
func (p *Policy) advance(q *query) {
	if q.ended || len(q.parts) == 0 && q.phase == secondPhase && p.now < q.expiresAt {
		p.wakeAt(q.expiresAt)
		return
	}
	g := p.progressOf(q)
	complete, enough := g.Tally.Complete(g.Thresholds), g.Enough(g.Thresholds)
	late := p.now >= q.expiresAt || p.now >= q.objectiveAt && enough
	switch {
	case complete || enough && (late || g.CannotComplete(g.Thresholds)):
		p.respond(q, complete, g.Answered)
	case late || g.CannotAnswer(g.Thresholds):
		p.rejectOrFail(q)
	case p.crashesServers(q, g):
		p.quarantineUntil[q.Class] = p.now + quarantineDuration
		p.poisonQueries[q.fingerprint] = q.receivedAt + q.class.Deadline
		p.rejectOrFail(q)
	case !q.admitted && (p.isPoison(q) || p.admissionRejects(q)):
		p.rejectOrFail(q)
	default:
		q.admitted = true
		p.sendParts(q, g.Answered)
		p.wakeAt(q.expiresAt)
		if p.now < q.objectiveAt {
			p.wakeAt(q.objectiveAt)
		}
	}
}

// respond answers a query from the parts that are in, or ends its first phase with them.
func (p *Policy) respond(q *query, complete bool, answered float64) {
	if q.phase == secondPhase || q.class.SecondPhaseFanout == 0 || answered == 0 {
		p.finish(q, Respond{ID: q.ID, Complete: complete && (q.phase == firstPhase || q.firstComplete)})
		return
	}
	p.finishParts(q)
	p.emit(Respond{ID: q.ID, Complete: complete})
	q.firstComplete, q.phase, q.parts = complete, secondPhase, nil
	p.wakeAt(q.expiresAt)
}
