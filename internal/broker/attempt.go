package broker

import (
	"errors"
	"time"

	"mothrouter/internal/decision"
)

// idempotencyMargin, in seconds, is subtracted from the idempotency window of retries. It allows for transmission, since the
// last byte of a retry must arrive within the window. Within a data center 5 ms is ample.
const idempotencyMargin = 0.005

// send starts an attempt, if the rules allow it.
func (b *Broker) send(a decision.Send) {
	pt := b.parts[a.ID]
	if pt == nil {
		return // the query has ended and the part has no attempt in flight
	}
	attempt := pt.attempts
	pt.attempts++
	server := b.endpoints.get(a.Server)
	if err := b.checkRules(pt, a.Server, server); err != nil {
		b.blockAttempt(pt, attempt, a.Server, err)
		return
	}
	c := b.newCall(pt, attempt, server, a.Timeout)
	pt.call = c
	c.stopTimer = b.after(time.Until(c.Deadline), func() { b.abandonCall(c, decision.TimedOut) })
	b.dispatch(c, time.Now().Add(maxConfirmWait))
}

// blockAttempt finishes an attempt that a rule forbids. If the client has disconnected, its query ends too, although the front may
// not have read so far.
func (b *Broker) blockAttempt(pt *part, attempt int, server string, violation error) {
	if errors.Is(violation, errDisconnected) {
		b.Disconnect(pt.query.request)
	} else {
		b.log.Warn("attempt blocked by a safety rule", "error", violation, "server", server, "query", pt.query.request.ID)
	}
	b.enqueueEvent(decision.AttemptFinished{
		ID:            pt.id,
		Attempt:       attempt,
		Server:        server,
		Status:        decision.NotSent,
		PartConcluded: pt.concluded(),
		LoadReport:    decision.NoLoadReport,
	})
}

// dispatch passes a call to the link, once its client is known to be connected or to have disconnected. Until then it neither
// starts nor counts as sent. After waitUntil it finishes as NotSent, so that a client that sends more than is read holds its slots
// for a short time only.
func (b *Broker) dispatch(c *Call, waitUntil time.Time) {
	if c.Finished() {
		return
	}
	if c.part.query.request.clientState() == ClientUnconfirmed {
		if !time.Now().Before(waitUntil) {
			c.Finish(ResultOf(decision.NotSent))
			return
		}
		b.after(confirmInterval, func() { b.dispatch(c, waitUntil) })
		return
	}
	c.sentAt = b.clock.now()
	b.link.Send(c)
}

// newCall returns the call of an attempt. It times out after timeout seconds, or at the query's deadline if that is earlier or
// timeout is 0.
func (b *Broker) newCall(pt *part, attempt int, server *Server, timeout float64) *Call {
	q := pt.query
	deadline := q.deadline
	if t := time.Now().Add(secondsToDuration(timeout)); timeout > 0 && t.Before(deadline) {
		deadline = t
	}
	startBy := deadline
	if !pt.retryUntil.IsZero() && pt.retryUntil.Before(startBy) {
		startBy = pt.retryUntil
	}
	return &Call{
		Query:         q.request.ID,
		Shard:         pt.Shard,
		Class:         q.request.Class,
		NonIdempotent: q.class.Idempotency == decision.NonIdempotent,
		Payload:       q.request.Payload,
		FirstPhase:    pt.firstPhase,
		Server:        server,
		Addr:          server.Addr,
		Deadline:      deadline,
		broker:        b,
		part:          pt,
		attempt:       attempt,
		sentAt:        b.clock.now(),
		startBy:       startBy,
	}
}

// cancel ends the attempt that the Decider cancels, if it is in flight.
func (b *Broker) cancel(a decision.Cancel) {
	pt := b.parts[a.ID]
	if pt == nil || pt.call == nil || pt.call.attempt != a.Attempt {
		return
	}
	b.abandonCall(pt.call, decision.Cancelled)
}

// abandonCall finishes a call with a status, without waiting for a result of the link. A call that has not started cannot
// have run and finishes as NotSent.
func (b *Broker) abandonCall(c *Call, status decision.Status) {
	before := c.state.Or(callFinished)
	if before&callFinished != 0 {
		return // the result is already in the inbox
	}
	if before == callQueued {
		status = decision.NotSent
	}
	b.link.Cancel(c)
	b.onCallFinished(c, ResultOf(status))
}

// onCallFinished records the result of a call and passes it to the Decider.
func (b *Broker) onCallFinished(c *Call, r CallResult) {
	pt := c.part
	c.stopTimer()
	if r.Status == decision.OK && !r.Scored && pt.selectsSecondPhase() {
		r.Status = decision.Error // without a score the second phase cannot be selected
	}
	c.Server.recordOutcome(r.Status)
	pt.call = nil
	if mayHaveRun(r.Status) {
		b.recordMayHaveRun(pt, c)
	}
	if r.Status == decision.OK && !pt.finished {
		pt.answered = true
		pt.value = r.Value
		pt.score = r.Score
	}
	if pt.finished {
		delete(b.parts, pt.id)
	}
	if pt.holdsID {
		pt.holdsID = false
		b.options.EndedIDs.Release(pt.query.request.ID)
	}
	b.enqueueEvent(decision.AttemptFinished{
		ID:            pt.id,
		Attempt:       c.attempt,
		Server:        c.Server.ID,
		Status:        r.Status,
		Latency:       b.clock.now() - c.sentAt,
		PartConcluded: pt.concluded(),
		LoadReport:    r.LoadReport,
	})
}

// recordMayHaveRun records that an attempt of a part may have run. Servers that support idempotency keys drop duplicates within
// a window that begins with the first such attempt. A retry after the window could execute the part a second time.
func (b *Broker) recordMayHaveRun(pt *part, c *Call) {
	class := &pt.query.class
	if !pt.mayHaveRun && class.Idempotency == decision.IdempotentWithKey {
		windowEnd := c.sentAt + class.IdempotencyWindow - idempotencyMargin
		pt.retryUntil = time.Now().Add(b.clock.until(windowEnd))
	}
	pt.mayHaveRun = true
}
