package decision

// The events of queries, parts and attempts, and the end of a query.

import (
	"cmp"
	"math"
)

const (
	// respondLeadTicks is in ticks: the last answer leaves that long before the objective or deadline, since
	// a batch may be a tick late and the answer takes time to reach the client.
	respondLeadTicks = 3
	// minTick is in seconds: a shorter Settings.Tick gives no shorter lead than 3 * 5 ms.
	minTick = 0.005
	// fingerprintPrime is the prime of the 64-bit FNV hash.
	fingerprintPrime = 1099511628211
	// usualQuantile is the quantile of a class's latencies that counts as its usual latency.
	usualQuantile = 0.95
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
	// A client that waits for less than others do has tried before: what it has left is the rest of its
	// patience.
	wait := min(received.Deadline-p.now, class.Deadline)
	isRetry := p.waits.IsRetry(received.Class, wait)
	q.objectiveMissed = isRetry && class.Deadline-wait > class.LatencyObjective
	p.queries[received.Number] = q
	p.byQuery[received.ID] = q
	p.openQueries = append(p.openQueries, q)
}

// setTimes sets a query's objectiveAt and expiresAt. Both are earlier by the time that the answer takes to
// the client: respondLeadTicks, and as long as the request took from its last byte to this module.
func (p *Policy) setTimes(q *query) {
	class := q.class
	lead := respondLeadTicks*max(p.settings.Tick, minTick) + p.now - q.receivedAt
	objective := q.receivedAt + class.LatencyObjective + class.ObjectivePerWork*q.Work
	q.objectiveAt = min(objective, q.Deadline) - lead
	q.expiresAt = q.objectiveAt
	if class.LateValue > 0 {
		q.expiresAt = q.Deadline - lead
	}
	// While many clients disconnect before their deadlines, the objective is the time that most of them wait,
	// unless parts usually take longer.
	patience := p.patience.EarlyDisconnectAge()
	if patience > p.fleet.Latencies[q.Class].Quantile(usualQuantile) {
		q.objectiveAt = min(q.objectiveAt, q.receivedAt+patience-lead)
	}
}

func (p *Policy) onPart(received Part) {
	p.retryBudget.RecordRequest(p.now)
	q := p.queries[received.QueryNumber]
	if q == nil || q.ended {
		return
	}
	pt := &part{Part: received, query: q}
	q.parts = append(q.parts, pt)
	shardMixed := (q.fingerprint ^ uint64(received.Shard+1)) * fingerprintPrime
	q.fingerprint = shardMixed ^ math.Float64bits(received.Weight)
	p.parts[received.ID] = pt
	p.checkStalestHealth()
}

func (p *Policy) onClientDisconnected(disconnected ClientDisconnected) {
	q := p.byQuery[disconnected.ID]
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
	a.live = false
	a.mayRun = mayHaveRun(outcome.Status)
	pt.live--
	a.server.RecordLoadReport(outcome.LoadReport, p.now)
	p.recordOutcome(a.server, outcome.Status)
	p.learnFromAttempt(a, pt.query, outcome)
	a.server.InFlight--
	p.queueHealthCheck(a.server)
	p.updatePart(pt, outcome)
}

// attemptInFlight returns the attempt that an outcome belongs to, and its part, or nil if it is not in
// flight.
func (p *Policy) attemptInFlight(outcome AttemptFinished) (*part, *attempt) {
	pt := p.parts[outcome.ID]
	if pt == nil || outcome.Attempt < 0 || outcome.Attempt >= len(pt.attempts) {
		return nil, nil
	}
	a := &pt.attempts[outcome.Attempt]
	if !a.live {
		return nil, nil
	}
	return pt, a
}

// mayHaveRun reports whether a server may have executed an attempt that ended with a status.
func mayHaveRun(status Status) bool {
	return status != Overloaded && status != Unreachable && status != NotSent
}

// updatePart brings the outcome of an attempt into the state of its part.
func (p *Policy) updatePart(pt *part, outcome AttemptFinished) {
	if pt.finished {
		if pt.live == 0 {
			delete(p.parts, outcome.ID)
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

// finish ends a query: it cancels the attempts in flight, emits the final answer unless that is nil, and
// removes the query from the table.
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

// finishParts ends a phase: its parts get no further attempt and no further answer.
func (p *Policy) finishParts(q *query) {
	for _, pt := range q.parts {
		pt.finished = true
		p.cancelAttempts(pt)
		if pt.live == 0 {
			delete(p.parts, pt.ID)
		}
	}
}

// rejectOrFail ends a query without an answer: with a Reject where the client may safely retry, else with a
// Fail.
func (p *Policy) rejectOrFail(q *query) {
	if q.mayHaveRun() && q.class.Idempotency != Idempotent {
		p.finish(q, Fail{ID: q.ID})
		return
	}
	p.finish(q, Reject{ID: q.ID, RetryAfter: p.settings.MaxRetryAfter})
}

// mayHaveRun reports whether a server may have executed any attempt of a query. The first phase has run once
// the second is in progress.
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
