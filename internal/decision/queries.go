package decision

// Handling of query, part and attempt events, and the end of a query.

import (
	"cmp"
	"math"
)

const (
	// respondLeadTicks is in ticks. Answers are sent at least this long before the objective or deadline,
	// since a batch may be a tick late and the answer takes time to reach the client.
	respondLeadTicks = 3
	// minTick is in seconds. A shorter Settings.Tick does not reduce the lead below 3 * 5 ms.
	minTick = 0.005
	// fnvPrime is the multiplier of the 64-bit FNV hash.
	fnvPrime = 1099511628211
	// tailQuantile is the quantile that defines the tail latency of a class.
	tailQuantile = 0.95
)

func (p *Policy) onQuery(received Query) {
	p.retryBudget.RecordRequest(p.now)
	if received.Class < 0 || received.Class >= len(p.settings.Classes) {
		p.emit(Reject{ID: received.ID})
		return
	}
	class := &p.settings.Classes[received.Class]
	q := &query{
		Query:       received,
		class:       class,
		phase:       firstPhase,
		fingerprint: uint64(received.Class + 1),
		receivedAt:  cmp.Or(received.ReceivedAt, p.now),
	}
	p.setTimes(q)
	// A client that waits for less than others is assumed to be retrying: its remaining time is the rest of
	// the class's deadline.
	wait := min(received.Deadline-p.now, class.Deadline)
	isRetry := p.retryDetector.ObserveWait(received.Class, wait)
	q.objectiveMissed = isRetry && class.Deadline-wait > class.LatencyObjective
	p.queriesByNumber[received.Number] = q
	p.queriesByID[received.ID] = q
	p.openQueries = append(p.openQueries, q)
}

// setTimes sets a query's objectiveAt and expiresAt. They precede the objective and the client's deadline by
// a lead, the time in seconds that the answer is expected to take to reach the client: respondLeadTicks
// ticks, plus the time since the last byte of the request was received.
func (p *Policy) setTimes(q *query) {
	class := q.class
	lead := respondLeadTicks*max(p.settings.Tick, minTick) + p.now - q.receivedAt
	objective := q.receivedAt + class.LatencyObjective + class.ObjectivePerWork*q.Work
	q.objectiveAt = min(objective, q.Deadline) - lead
	q.expiresAt = q.objectiveAt
	if class.LateValue > 0 {
		q.expiresAt = q.Deadline - lead
	}
	// If many clients disconnect before their deadlines, the objective is at most the time for which most of
	// them wait, unless the tail latency of parts is longer.
	patience := p.patience.EarlyDisconnectAge()
	if patience > p.fleet.Latencies[q.Class].Quantile(tailQuantile) {
		q.objectiveAt = min(q.objectiveAt, q.receivedAt+patience-lead)
	}
}

func (p *Policy) onPart(received Part) {
	p.retryBudget.RecordRequest(p.now)
	q := p.queriesByNumber[received.QueryNumber]
	if q == nil || q.ended {
		return
	}
	pt := &part{Part: received, query: q}
	q.parts = append(q.parts, pt)
	mixed := (q.fingerprint ^ uint64(received.Shard+1)) * fnvPrime
	q.fingerprint = mixed ^ math.Float64bits(received.Weight)
	p.partsByID[received.ID] = pt
	p.checkStalestServer()
}

func (p *Policy) onClientDisconnected(disconnected ClientDisconnected) {
	q := p.queriesByID[disconnected.ID]
	if q == nil {
		return
	}
	p.patience.Disconnected(p.now - q.receivedAt)
	p.finish(q, nil)
}

func (p *Policy) onAttemptFinished(outcome AttemptFinished) {
	pt, a := p.attemptInFlight(outcome)
	if a == nil {
		return
	}
	a.inFlight = false
	a.mayRun = mayHaveRun(outcome.Status)
	pt.attemptsInFlight--
	a.server.RecordLoadReport(outcome.LoadReport, p.now)
	p.recordOutcome(a.server, outcome.Status)
	p.recordAttempt(a, pt.query, outcome)
	a.server.InFlight--
	p.queueHealthCheck(a.server)
	p.updatePart(pt, outcome)
}

// attemptInFlight returns the part and the attempt that an outcome belongs to. Both are nil if the attempt is
// not in flight.
func (p *Policy) attemptInFlight(outcome AttemptFinished) (*part, *attempt) {
	pt := p.partsByID[outcome.ID]
	if pt == nil || outcome.Attempt < 0 || outcome.Attempt >= len(pt.attempts) {
		return nil, nil
	}
	a := &pt.attempts[outcome.Attempt]
	if !a.inFlight {
		return nil, nil
	}
	return pt, a
}

// mayHaveRun reports whether a server may have executed an attempt that ended with the given status.
func mayHaveRun(status Status) bool {
	return status != Overloaded && status != Unreachable && status != NotSent
}

// updatePart updates the state of a part from the outcome of one of its attempts.
func (p *Policy) updatePart(pt *part, outcome AttemptFinished) {
	if pt.finished {
		if pt.attemptsInFlight == 0 {
			delete(p.partsByID, outcome.ID)
		}
		return
	}
	if outcome.Status == OK {
		pt.answered = true
		p.cancelAttempts(pt)
		return
	}
	pt.givenUp = outcome.PartConcluded
	if outcome.Status == Reset {
		pt.query.resets++
	}
}

// finish ends a query: it cancels the attempts in flight, emits the final answer unless it is nil, and
// removes the query from the table.
func (p *Policy) finish(q *query, final Action) {
	q.ended = true
	p.finishParts(q)
	if final != nil {
		p.emit(final)
		p.patience.Finished()
	}
	delete(p.queriesByNumber, q.Number)
	delete(p.queriesByID, q.ID)
}

// finishParts ends a phase: its parts get no more attempts, and later outcomes are not counted as answers.
func (p *Policy) finishParts(q *query) {
	for _, pt := range q.parts {
		pt.finished = true
		p.cancelAttempts(pt)
		if pt.attemptsInFlight == 0 {
			delete(p.partsByID, pt.ID)
		}
	}
}

// rejectOrFail ends a query without an answer: with Reject if the client may safely retry it, else with Fail.
func (p *Policy) rejectOrFail(q *query) {
	if q.mayHaveRun() && q.class.Idempotency != Idempotent {
		p.finish(q, Fail{ID: q.ID})
		return
	}
	p.finish(q, Reject{ID: q.ID, RetryAfter: p.settings.MaxRetryAfter})
}

// mayHaveRun reports whether a server may have executed any attempt of a query. In the second phase that is
// always so, since the first phase has been executed.
func (q *query) mayHaveRun() bool {
	if q.phase == secondPhase {
		return true
	}
	for _, pt := range q.parts {
		for i := range pt.attempts {
			if pt.attempts[i].mayRun {
				return true
			}
		}
	}
	return false
}
