package broker

import (
	"slices"
	"time"

	"mothrouter/internal/decision"
)

// sumSlack is the rounding of shares; the rules allow 0.0001.
const sumSlack = 1e-6

// Outcome is how a query ended.
type Outcome int

const (
	Answered         Outcome = iota
	Rejected                 // no unsafe part of it can have run: trying again is harmless
	Failed                   // nothing is promised
	DeadlineExceeded         // failed because its time was up
	Duplicate                // a query of the same name is still held; this one was not taken
)

// Result is a query's final answer.
type Result struct {
	Outcome    Outcome
	Complete   bool
	Values     []Value // of the parts that are in
	RetryAfter float64 // seconds; 0: no advice
}

// Value is what a record server gave for a part.
type Value struct {
	Shard int
	Data  []byte
}

type query struct {
	req        *Request
	client     Client
	id         decision.RequestID
	class      decision.Class
	parts      []*part     // of the present step
	firstPhase *FirstPhase // what the first step brought; nil: it is the present one
	deadline   time.Time
	stopTimer  func() // the deadline's timer
}

type part struct {
	Part
	id         decision.RequestID
	q          *query
	attempts   int
	call       *Call
	mayRun     bool      // an attempt that ended may have run
	retryUntil time.Time // then no repeat begins any more, since servers do not drop it; zero: nothing forbids it
	answered   bool
	finished   bool // its step or its query has ended
	value      []byte
	score      int64
	firstPhase *FirstPhase // of a part of a second step; nil: of the first
}

// idempotencyMargin is for a repeat's way to its server: the window counts up to its last byte.
const idempotencyMargin = 0.005 // seconds

// Submit hands a query to the core. The client hears of its end once, unless it leaves before.
func (b *Broker) Submit(r *Request, c Client) {
	if !b.post(func() { b.accept(r, c) }) {
		c.Finish(Result{Outcome: Failed})
	}
}

// Disconnect tells that the client of a query has gone away.
func (b *Broker) Disconnect(r *Request) {
	b.post(func() {
		if q := b.byName[r.ID]; q != nil && q.req == r {
			b.forget(q)
			if c, ok := q.client.(DisconnectObserver); ok {
				c.Disconnected()
			}
			b.enqueueEvent(decision.ClientDisconnected{ID: q.id})
		}
	})
}

func (b *Broker) accept(r *Request, c Client) {
	if r.disconnected() { // before the loop came to it
		if c, ok := c.(DisconnectObserver); ok {
			c.Disconnected()
		}
		return
	}
	// Part ids on the wire are made of the query's name: two of one name could not be told apart.
	if b.byName[r.ID] != nil {
		c.Finish(Result{Outcome: Duplicate})
		return
	}
	deadline := r.ReceivedAt.Add(b.timeout(r))
	if !b.shutdownDeadline.IsZero() && deadline.After(b.shutdownDeadline) {
		deadline = b.shutdownDeadline
	}
	if over := !b.shutdownDeadline.IsZero() && time.Until(b.shutdownDeadline) <= answerLead; over ||
		b.opt.ConcurrencyLimit > 0 && b.inFlight+1+len(r.Parts) > b.opt.ConcurrencyLimit ||
		b.opt.SharedLimiter != nil && !b.opt.SharedLimiter.TryAcquire(1+len(r.Parts)) {
		c.Finish(Result{Outcome: Rejected, RetryAfter: b.retryAfter()})
		return
	}
	q := &query{req: r, client: c, id: b.nextID(), class: b.opt.Settings.Classes[r.Class]}
	q.deadline = deadline
	b.queries[q.id], b.byName[r.ID] = q, q
	b.inFlight += 1 + len(r.Parts)
	work := 0.0
	for _, p := range r.Parts {
		pt := &part{Part: p, id: b.nextID(), q: q}
		q.parts = append(q.parts, pt)
		b.parts[pt.id] = pt
		work += p.Work
	}
	b.armDeadline(q)
	b.enqueueEvent(decision.Query{
		ID: q.id, Number: int64(q.id), Class: r.Class, Key: r.Key, Parts: len(r.Parts),
		Deadline: b.clock.at(q.deadline), Retry: r.Retry, Work: work,
		ReceivedAt: b.clock.at(r.ReceivedAt),
	})
	for _, pt := range q.parts {
		b.enqueueEvent(decision.Part{
			ID: pt.id, QueryNumber: int64(q.id), Shard: pt.Shard, Weight: pt.Weight, Key: pt.RouteKey, Work: pt.Work,
		})
	}
}

// armDeadline sees to it that a query has its final answer before the client's time or the process's is up, even if the
// Decider forgets it or ends it too late.
func (b *Broker) armDeadline(q *query) {
	q.stopTimer = b.after(time.Until(q.deadline)-answerLead, func() {
		b.forget(q) // first: what has not begun by now never will, so that a refusal holds
		last := Result{Outcome: DeadlineExceeded}
		if q.deadline.Equal(b.shutdownDeadline) { // the client would wait on
			last = q.bestEffortResult(b.retryAfter())
		}
		q.client.Finish(last)
		b.enqueueEvent(decision.ClientDisconnected{ID: q.id})
	})
}

// SetShutdownDeadline has every query that is held, and every later one, answered by then: the process will be killed. One that
// its client would wait for longer is answered from the parts that are in, refused or failed.
func (b *Broker) SetShutdownDeadline(t time.Time) {
	b.post(func() {
		b.shutdownDeadline = t
		for _, q := range b.queries {
			if q.deadline.After(t) {
				q.stopTimer()
				q.deadline = t
				b.armDeadline(q)
			}
		}
	})
}

func (b *Broker) nextID() decision.RequestID {
	b.lastID++
	return b.lastID
}

// retryAfter is when a client that is refused for want of room should come back.
func (b *Broker) retryAfter() float64 {
	if b.opt.Settings.RetryAfterSupported {
		return b.opt.Settings.MaxRetryAfter
	}
	return 0
}

// finish gives a query its final answer and forgets it.
func (b *Broker) finish(q *query, r Result) {
	b.forget(q)
	q.client.Finish(r)
}

// forget drops a query. Its attempts may still be out; each part is kept until its attempt has ended.
func (b *Broker) forget(q *query) {
	q.stopTimer()
	delete(b.queries, q.id)
	delete(b.byName, q.req.ID)
	b.releaseSlots(1 + len(q.parts))
	b.finishPhase(q)
}

// releaseSlots gives room for so many queries and parts back.
func (b *Broker) releaseSlots(n int) {
	b.inFlight -= n
	if b.opt.SharedLimiter != nil {
		b.opt.SharedLimiter.Release(n)
	}
}

// finishPhase drops the parts of the present step.
func (b *Broker) finishPhase(q *query) {
	for _, pt := range q.parts {
		pt.finished = true
		if pt.call == nil {
			delete(b.parts, pt.id)
		} else if pt.call.state.CompareAndSwap(callQueued, callFinished) {
			// Guards against an attempt that still waits for a connection and would begin for nobody: whether or not
			// cancels are allowed, nothing of it has gone out.
			b.link.Cancel(pt.call)
			b.onCallFinished(pt.call, CallResult{Status: decision.NotSent, LoadReport: decision.NoLoadReport})
		}
	}
}

// bestEffortResult is the answer to a query that is cut short: from the parts that are in, if they are enough.
func (q *query) bestEffortResult(retryAfter float64) Result {
	if r := q.result(true); r.Outcome == Answered && len(r.Values) > 0 {
		return r
	}
	return q.rejection(retryAfter)
}

// result makes the answer from the parts that are in. Under the class's floor there is none, and it is
// marked whole only if it is, whatever the Decider says.
func (q *query) result(whole bool) Result {
	if q.awaitsSecondPhase() || !q.enough() {
		return Result{Outcome: Failed}
	}
	r := Result{Outcome: Answered, Complete: whole && q.isComplete()}
	for _, pt := range q.parts {
		if pt.answered {
			r.Values = append(r.Values, Value{pt.Shard, pt.value})
		}
	}
	return r
}

// answeredWeight is that of the present step's parts that are in.
func (q *query) answeredWeight() (in float64) {
	for _, pt := range q.parts {
		if pt.answered {
			in += pt.Weight
		}
	}
	return in
}

// threshold is the weight of the present step's parts that makes it whole: a second step needs all of them.
func (q *query) threshold() float64 {
	if q.firstPhase != nil {
		return 1
	}
	return q.class.CompletenessThreshold
}

// enough tells whether the present step may be closed with the parts that are in. The class's floor holds for each step.
func (q *query) enough() bool {
	least := q.threshold()
	if q.class.MinCompleteness < q.class.CompletenessThreshold {
		least = min(q.class.MinCompleteness, least)
	}
	return q.answeredWeight() >= least-sumSlack
}

// isComplete tells whether the present step is whole, and the one before it was.
func (q *query) isComplete() bool {
	return q.answeredWeight() >= q.threshold()-sumSlack && (q.firstPhase == nil || q.firstPhase.Complete)
}

// rejection refuses a query, unless an unsafe part of it may have run: then it has failed. The query has been forgotten,
// so that none of its calls can begin any more.
func (q *query) rejection(retryAfter float64) Result {
	ran := q.firstPhase != nil || slices.ContainsFunc(q.parts, func(pt *part) bool {
		return pt.mayRun || pt.answered || pt.call != nil && pt.call.started()
	})
	if ran && q.class.Idempotency != decision.Idempotent {
		return Result{Outcome: Failed}
	}
	return Result{Outcome: Rejected, RetryAfter: retryAfter}
}
