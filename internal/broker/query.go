package broker

import (
	"slices"
	"time"

	"mothrouter/internal/decision"
)

// idempotencyMargin is for a retry's way to its server: the idempotency window counts up to its last byte.
const idempotencyMargin = 0.005 // seconds

// Outcome is how a query ended.
type Outcome int

// How queries end.
const (
	Answered         Outcome = iota
	Rejected                 // no non-idempotent part of it can have run: a retry does no harm
	Failed                   // nothing is promised
	DeadlineExceeded         // failed because its time was up
	Duplicate                // a query of the same name is still in flight; this one was not accepted
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
	request    *Request
	client     Client
	id         decision.RequestID
	class      decision.Class
	parts      []*part     // of the present phase
	firstPhase *FirstPhase // what the first phase brought; nil: it is the present one
	deadline   time.Time
	stopTimer  func() // the deadline's
}

type part struct {
	Part
	id         decision.RequestID
	query      *query
	attempts   int
	call       *Call     // in flight; nil: none is
	mayHaveRun bool      // an attempt that ended may have run
	retryUntil time.Time // the end of the idempotency window; zero: nothing limits retries
	answered   bool
	finished   bool // its phase or its query has ended
	value      []byte
	score      int64
	firstPhase *FirstPhase // of a part of a second phase; nil: of the first
}

// Submit hands a query to the core. The client gets its final answer once, unless it disconnects before.
func (b *Broker) Submit(r *Request, c Client) {
	if !b.post(func() { b.accept(r, c) }) {
		c.Finish(Result{Outcome: Failed})
	}
}

// Disconnect tells that the client of a query has gone away.
func (b *Broker) Disconnect(r *Request) {
	b.post(func() {
		if q := b.byName[r.ID]; q != nil && q.request == r {
			b.forget(q)
			notifyDisconnected(q.client)
			b.enqueueEvent(decision.ClientDisconnected{ID: q.id})
		}
	})
}

func notifyDisconnected(c Client) {
	if o, ok := c.(DisconnectObserver); ok {
		o.Disconnected()
	}
}

// accept takes a query in, unless it cannot be served.
func (b *Broker) accept(r *Request, c Client) {
	if r.disconnected() { // before the loop came to it
		notifyDisconnected(c)
		return
	}
	// Part ids on the wire are made of the query's name: two of one name could not be told apart.
	if b.byName[r.ID] != nil {
		c.Finish(Result{Outcome: Duplicate})
		return
	}
	if b.shuttingDownSoon() || !b.acquireSlots(1+len(r.Parts)) {
		c.Finish(Result{Outcome: Rejected, RetryAfter: b.retryAfter()})
		return
	}
	q := &query{request: r, client: c, id: b.nextID(), class: b.options.Settings.Classes[r.Class]}
	q.deadline = r.ReceivedAt.Add(b.timeout(r))
	if !b.shutdownDeadline.IsZero() && q.deadline.After(b.shutdownDeadline) {
		q.deadline = b.shutdownDeadline
	}
	b.queries[q.id], b.byName[r.ID] = q, q
	work := 0.0
	for _, p := range r.Parts {
		pt := &part{Part: p, id: b.nextID(), query: q}
		q.parts = append(q.parts, pt)
		b.parts[pt.id] = pt
		work += p.Work
	}
	b.armDeadline(q)
	b.enqueueQuery(q, work)
}

// enqueueQuery tells the Decider of a query and its parts.
func (b *Broker) enqueueQuery(q *query, work float64) {
	r := q.request
	b.enqueueEvent(decision.Query{
		ID: q.id, Number: int64(q.id), Class: r.Class, Key: r.Key, Parts: len(r.Parts),
		Deadline: b.clock.at(q.deadline), Retry: r.Retry, Work: work, ReceivedAt: b.clock.at(r.ReceivedAt),
	})
	for _, pt := range q.parts {
		b.enqueueEvent(decision.Part{
			ID: pt.id, QueryNumber: int64(q.id), Shard: pt.Shard, Weight: pt.Weight, Key: pt.RouteKey, Work: pt.Work,
		})
	}
}

// shuttingDownSoon tells that the process ends too soon for a further query.
func (b *Broker) shuttingDownSoon() bool {
	return !b.shutdownDeadline.IsZero() && time.Until(b.shutdownDeadline) <= answerLead
}

// acquireSlots takes n of the concurrency limit's slots, all or none.
func (b *Broker) acquireSlots(n int) bool {
	if limit := b.options.ConcurrencyLimit; limit > 0 && b.usedSlots+n > limit {
		return false
	}
	if b.options.SharedLimiter != nil && !b.options.SharedLimiter.TryAcquire(n) {
		return false
	}
	b.usedSlots += n
	return true
}

func (b *Broker) releaseSlots(n int) {
	b.usedSlots -= n
	if b.options.SharedLimiter != nil {
		b.options.SharedLimiter.Release(n)
	}
}

// armDeadline sees to it that a query has its final answer before the client's deadline or the process's, even if the
// Decider forgets it or ends it too late.
func (b *Broker) armDeadline(q *query) {
	q.stopTimer = b.after(time.Until(q.deadline)-answerLead, func() {
		b.forget(q) // first: what has not started by now never will, so that a rejection holds
		last := Result{Outcome: DeadlineExceeded}
		if q.deadline.Equal(b.shutdownDeadline) { // the client would wait on
			last = q.bestEffortResult(b.retryAfter())
		}
		q.client.Finish(last)
		b.enqueueEvent(decision.ClientDisconnected{ID: q.id})
	})
}

// SetShutdownDeadline has every query in flight, and every later one, answered by then: the process will be killed. One
// that its client would wait for longer is answered from the parts that are in, rejected or failed.
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

// retryAfter is when, in seconds, a client that is rejected for want of capacity should retry; 0: no advice.
func (b *Broker) retryAfter() float64 {
	if b.options.Settings.RetryAfterSupported {
		return b.options.Settings.MaxRetryAfter
	}
	return 0
}

// finish gives a query its final answer and forgets it.
func (b *Broker) finish(q *query, r Result) {
	b.forget(q)
	q.client.Finish(r)
}

// forget drops a query. Its attempts may still be in flight; each part is kept until its attempt has ended.
func (b *Broker) forget(q *query) {
	q.stopTimer()
	delete(b.queries, q.id)
	delete(b.byName, q.request.ID)
	b.releaseSlots(1 + len(q.parts))
	b.finishPhase(q)
}

// finishPhase drops the parts of the present phase.
func (b *Broker) finishPhase(q *query) {
	for _, pt := range q.parts {
		pt.finished = true
		if pt.call == nil {
			delete(b.parts, pt.id)
		} else if pt.call.state.CompareAndSwap(callQueued, callFinished) {
			// Guards against an attempt that still waits for a connection and would start for nothing: whether or not
			// cancels are allowed, nothing of it has gone out.
			b.link.Cancel(pt.call)
			b.onCallFinished(pt.call, ResultOf(decision.NotSent))
		}
	}
}

// bestEffortResult ends a query early: with the parts that are in, if they are enough.
func (q *query) bestEffortResult(retryAfter float64) Result {
	if r := q.result(true); r.Outcome == Answered && len(r.Values) > 0 {
		return r
	}
	return q.rejection(retryAfter)
}

// result makes the answer from the parts that are in. Under the class's least completeness there is none, and it is marked
// complete only if it is, whatever the Decider says.
func (q *query) result(complete bool) Result {
	tally, at := q.tally(), q.thresholds()
	if q.awaitsSecondPhase() || !tally.Enough(at) {
		return Result{Outcome: Failed}
	}
	complete = complete && tally.Complete(at) && (q.firstPhase == nil || q.firstPhase.Complete)
	r := Result{Outcome: Answered, Complete: complete}
	for _, pt := range q.parts {
		if pt.answered {
			r.Values = append(r.Values, Value{pt.Shard, pt.value})
		}
	}
	return r
}

// rejection rejects a query, unless a non-idempotent part of it may have run: then it has failed. The query has been
// forgotten, so that none of its calls can start any more.
func (q *query) rejection(retryAfter float64) Result {
	mayRun := q.firstPhase != nil || slices.ContainsFunc(q.parts, func(pt *part) bool {
		return pt.mayHaveRun || pt.answered || pt.call != nil && pt.call.started()
	})
	if mayRun && q.class.Idempotency != decision.Idempotent {
		return Result{Outcome: Failed}
	}
	return Result{Outcome: Rejected, RetryAfter: retryAfter}
}
