package broker

import (
	"time"

	"mothrouter/internal/completeness"
	"mothrouter/internal/decision"
)

// answerLead is how long before its deadline a query without an answer is ended by the core: enough to write an answer,
// also on a busy machine.
const answerLead = 8 * time.Millisecond

// query is a query in flight.
type query struct {
	request    *Request
	client     Client
	id         decision.RequestID
	class      decision.Class // as it was when the query was accepted
	parts      []*part        // of the present phase
	firstPhase *FirstPhase    // the first phase's result; nil: the first is the present phase
	deadline   time.Time      // of the client, or of the shutdown if earlier
	stopTimer  func()         // stops the deadline's timer
}

// part is a part of a query in its present phase, or one that has finished with an attempt in flight.
type part struct {
	Part
	id         decision.RequestID
	query      *query
	attempts   int       // so far, also those that a rule stopped
	call       *Call     // the attempt in flight; nil: none
	mayHaveRun bool      // an attempt that ended may have run
	retryUntil time.Time // end of the idempotency window; zero: retries are not limited by one
	answered   bool
	finished   bool // its phase or its query has ended
	value      []byte
	score      int64       // of the answer
	firstPhase *FirstPhase // for a part of a second phase; nil: a part of the first
}

// concluded reports whether the part gets no further attempt.
func (p *part) concluded() bool { return p.answered || p.finished }

// Submit posts a query to the core. The client gets its final answer once, unless it disconnects first.
func (b *Broker) Submit(r *Request, c Client) {
	if !b.post(func() { b.accept(r, c) }) {
		c.Finish(Result{Outcome: Failed})
	}
}

// Disconnect reports that the client of a query has disconnected. It does not wait.
func (b *Broker) Disconnect(r *Request) {
	b.post(func() {
		q := b.byName[r.ID]
		if q == nil || q.request != r {
			return // it has ended; a query of the same name may have followed
		}
		b.forget(q)
		notifyDisconnected(q.client)
		b.enqueueEvent(decision.ClientDisconnected{ID: q.id})
	})
}

// notifyDisconnected notifies a client that implements DisconnectObserver.
func notifyDisconnected(c Client) {
	if observer, ok := c.(DisconnectObserver); ok {
		observer.Disconnected()
	}
}

// accept admits a query, or answers it at once: its client has disconnected, its name is in flight, the process ends or the
// concurrency limit is reached.
func (b *Broker) accept(r *Request, c Client) {
	if r.disconnected() {
		notifyDisconnected(c)
		return
	}
	// Part ids on the wire are derived from the query's name: two queries of one name could not be distinguished.
	if b.byName[r.ID] != nil {
		c.Finish(Result{Outcome: Duplicate})
		return
	}
	if b.shuttingDownSoon() || !b.acquireSlots(1+len(r.Parts)) {
		c.Finish(Result{Outcome: Rejected, RetryAfter: b.retryAfter()})
		return
	}
	q := b.newQuery(r, c)
	b.queries[q.id] = q
	b.byName[r.ID] = q
	for _, p := range r.Parts {
		b.addPart(q, &part{Part: p})
	}
	b.armDeadline(q)
	b.enqueueQuery(q)
}

// newQuery returns a query without parts, under the classes and the shutdown deadline in force.
func (b *Broker) newQuery(r *Request, c Client) *query {
	deadline := r.ReceivedAt.Add(b.timeout(r))
	if !b.shutdownDeadline.IsZero() && deadline.After(b.shutdownDeadline) {
		deadline = b.shutdownDeadline
	}
	return &query{
		request:  r,
		client:   c,
		id:       b.nextID(),
		class:    b.options.Settings.Classes[r.Class],
		deadline: deadline,
	}
}

// addPart gives a part its id and adds it to the present phase of a query.
func (b *Broker) addPart(q *query, pt *part) {
	pt.id = b.nextID()
	pt.query = q
	q.parts = append(q.parts, pt)
	b.parts[pt.id] = pt
}

// timeout returns how long a query's client waits.
func (b *Broker) timeout(r *Request) time.Duration {
	if r.TimeoutUnset {
		return min(secondsToDuration(b.options.Settings.Classes[r.Class].Deadline), maxTimeout)
	}
	return r.Timeout
}

// nextID returns an id that no other query or part of the broker has.
func (b *Broker) nextID() decision.RequestID {
	b.lastID++
	return b.lastID
}

// enqueueQuery passes a query and its parts to the Decider.
func (b *Broker) enqueueQuery(q *query) {
	r := q.request
	work := 0.0
	for _, p := range r.Parts {
		work += p.Work
	}
	b.enqueueEvent(decision.Query{
		ID:         q.id,
		Number:     int64(q.id),
		Class:      r.Class,
		Key:        r.Key,
		Parts:      len(r.Parts),
		Deadline:   b.clock.at(q.deadline),
		Retry:      r.Retry,
		Work:       work,
		ReceivedAt: b.clock.at(r.ReceivedAt),
	})
	for _, pt := range q.parts {
		b.enqueuePart(pt)
	}
}

// enqueuePart passes a part to the Decider.
func (b *Broker) enqueuePart(pt *part) {
	b.enqueueEvent(decision.Part{
		ID:          pt.id,
		QueryNumber: int64(pt.query.id),
		Shard:       pt.Shard,
		Weight:      pt.Weight,
		Key:         pt.RouteKey,
		Work:        pt.Work,
	})
}

// armDeadline sets the timer that ends a query before its deadline, if the Decider has not ended it by then.
func (b *Broker) armDeadline(q *query) {
	q.stopTimer = b.after(time.Until(q.deadline)-answerLead, func() {
		b.forget(q) // first, so that no call can start after a rejection
		last := Result{Outcome: DeadlineExceeded}
		if q.deadline.Equal(b.shutdownDeadline) { // the client still waits
			last = q.bestEffortResult(b.retryAfter())
		}
		q.client.Finish(last)
		b.enqueueEvent(decision.ClientDisconnected{ID: q.id})
	})
}

// finish gives a query its final answer and forgets it.
func (b *Broker) finish(q *query, r Result) {
	b.forget(q)
	q.client.Finish(r)
}

// reject ends a query with a rejection, or a failure if a rejection is not allowed.
func (b *Broker) reject(q *query, retryAfter float64) {
	b.forget(q) // first, so that no call can start after the rejection
	q.client.Finish(q.rejection(retryAfter))
}

// forget removes a query and releases its slots. A part with an attempt in flight is kept until that has finished.
func (b *Broker) forget(q *query) {
	q.stopTimer()
	delete(b.queries, q.id)
	delete(b.byName, q.request.ID)
	b.releaseSlots(1 + len(q.parts))
	b.finishPhase(q)
}

// finishPhase finishes the parts of the present phase.
func (b *Broker) finishPhase(q *query) {
	for _, pt := range q.parts {
		pt.finished = true
		if pt.call == nil {
			delete(b.parts, pt.id)
			continue
		}
		// An attempt that still waits for a connection must not start any more. Nothing of it was sent, so this is no
		// cancellation that the settings could forbid.
		if pt.call.state.CompareAndSwap(callQueued, callFinished) {
			b.link.Cancel(pt.call)
			b.onCallFinished(pt.call, ResultOf(decision.NotSent))
		}
	}
}

// thresholds returns the completeness thresholds of the present phase.
func (q *query) thresholds() completeness.Thresholds { return q.class.Thresholds(q.firstPhase != nil) }

// tally sums the parts of the present phase.
func (q *query) tally() completeness.Tally {
	var tally completeness.Tally
	for _, pt := range q.parts {
		if pt.answered {
			tally.AddAnswered(pt.Weight)
		} else {
			tally.AddPending(pt.Weight)
		}
	}
	return tally
}
