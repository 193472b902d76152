package broker

import (
	"time"

	"mothrouter/internal/completeness"
	"mothrouter/internal/decision"
)

// deadlineMargin is how long before its deadline the core ends an unanswered query. It leaves time to write the response,
// even on a busy machine.
const deadlineMargin = 8 * time.Millisecond

// query is a query in flight.
type query struct {
	request    *Request
	client     Client
	id         decision.RequestID
	class      decision.Class // as configured when the query was accepted
	parts      []*part        // of the current phase
	firstPhase *FirstPhase    // result of the first phase; nil until that phase has ended
	deadline   time.Time      // the client's deadline, or the shutdown deadline if earlier
	stopTimer  func()         // stops the deadline timer
}

// part is a part of a query's current phase, or a finished part that still has an attempt in flight.
type part struct {
	Part
	id         decision.RequestID
	query      *query
	attempts   int       // so far, including those blocked by a rule
	call       *Call     // the attempt in flight; nil: none
	mayHaveRun bool      // a finished attempt may have run at its server
	retryUntil time.Time // end of the idempotency window for retries; zero: no window
	answered   bool
	finished   bool // the phase or the query has ended
	holdsID    bool // keeps the query's id from being used again until the attempt in flight has finished
	value      []byte
	score      int64       // of the answer
	firstPhase *FirstPhase // result of the first phase, for a part of the second; nil for a part of the first
}

// concluded reports whether the part gets no further attempt.
func (p *part) concluded() bool { return p.answered || p.finished }

// Submit posts a query to the core. The client gets exactly one final answer, unless it disconnects first.
func (b *Broker) Submit(r *Request, c Client) {
	if !b.post(func() { b.accept(r, c) }) {
		c.Finish(Result{Outcome: Failed})
	}
}

// Disconnect reports that the client of a query has disconnected. It does not block.
func (b *Broker) Disconnect(r *Request) {
	b.post(func() {
		q := b.byExternalID[r.ID]
		if q == nil || q.request != r {
			return // r has ended; the query found, if any, is a later one with the same id
		}
		b.removeQuery(q)
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

// accept admits a query. It ends the query at once if its client has disconnected, a query with the same id is in flight or must
// not run again, the process is about to exit or the concurrency limit is reached.
func (b *Broker) accept(r *Request, c Client) {
	if r.disconnected() {
		notifyDisconnected(c)
		return
	}
	// Part ids on the wire are derived from the query's id, so parts of two queries with the same id would be indistinguishable.
	if b.byExternalID[r.ID] != nil || b.options.EndedIDs.Contains(r.ID) {
		c.Finish(Result{Outcome: Duplicate})
		return
	}
	if b.shuttingDownSoon() || !b.acquireSlots(1+len(r.Parts)) {
		c.Finish(Result{Outcome: Rejected, RetryAfter: b.retryAfter()})
		return
	}
	q := b.newQuery(r, c)
	b.queries[q.id] = q
	b.byExternalID[r.ID] = q
	for _, p := range r.Parts {
		b.addPart(q, &part{Part: p})
	}
	b.armDeadline(q)
	b.enqueueQuery(q)
}

// newQuery returns a query without parts. It uses the class settings and the shutdown deadline in force.
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

// addPart assigns an id to a part and adds it to the current phase of a query.
func (b *Broker) addPart(q *query, pt *part) {
	pt.id = b.nextID()
	pt.query = q
	q.parts = append(q.parts, pt)
	b.parts[pt.id] = pt
}

// timeout returns how long the client of a query waits for the answer.
func (b *Broker) timeout(r *Request) time.Duration {
	if r.TimeoutUnset {
		return min(secondsToDuration(b.options.Settings.Classes[r.Class].Deadline), maxTimeout)
	}
	return r.Timeout
}

// nextID returns an id that is unique among the queries and parts of the broker.
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

// armDeadline starts the timer that ends a query shortly before its deadline if the Decider has not ended it by then.
func (b *Broker) armDeadline(q *query) {
	q.stopTimer = b.after(time.Until(q.deadline)-deadlineMargin, func() {
		b.removeQuery(q) // first, so that no call can start after a rejection
		final := Result{Outcome: DeadlineExceeded}
		if q.deadline.Equal(b.shutdownDeadline) { // the client is still waiting at that time
			final = q.bestEffortResult(b.retryAfter())
		}
		q.client.Finish(final)
		b.enqueueEvent(decision.ClientDisconnected{ID: q.id})
	})
}

// finish removes a query and gives its client the final answer.
func (b *Broker) finish(q *query, r Result) {
	b.removeQuery(q)
	q.client.Finish(r)
}

// reject ends a query with a rejection, or with a failure if a retry by the client would not be safe.
func (b *Broker) reject(q *query, retryAfter float64) {
	b.removeQuery(q) // first, so that no call can start after the rejection
	q.client.Finish(q.rejection(retryAfter))
}

// removeQuery removes a query and releases its slots. A part with an attempt in flight is kept until the attempt finishes.
func (b *Broker) removeQuery(q *query) {
	q.stopTimer()
	delete(b.queries, q.id)
	delete(b.byExternalID, q.request.ID)
	b.releaseSlots(1 + len(q.parts))
	b.finishPhase(q)
	b.keepID(q)
}

// keepID keeps the id of a query that has ended from being used again, where that could run a part twice or have two attempts of it
// in flight.
func (b *Broker) keepID(q *query) {
	if q.unsafeToRepeat() {
		b.options.EndedIDs.Add(q.request.ID)
	}
	for _, pt := range q.parts {
		if pt.call != nil {
			pt.holdsID = true
			b.options.EndedIDs.Hold(q.request.ID)
		}
	}
}

// finishPhase finishes the parts of the current phase.
func (b *Broker) finishPhase(q *query) {
	for _, pt := range q.parts {
		pt.finished = true
		if pt.call == nil {
			delete(b.parts, pt.id)
			continue
		}
		// An attempt that is still waiting for a connection must not start any more. None of it has been sent, so this is
		// allowed even where the settings forbid cancellation.
		if pt.call.state.CompareAndSwap(callQueued, callFinished) {
			b.link.Cancel(pt.call)
			b.onCallFinished(pt.call, ResultOf(decision.NotSent))
		}
	}
}

// thresholds returns the completeness thresholds of the current phase.
func (q *query) thresholds() completeness.Thresholds { return q.class.Thresholds(q.firstPhase != nil) }

// tally sums the weights of the parts of the current phase.
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
