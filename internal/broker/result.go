package broker

import (
	"slices"

	"mothrouter/internal/decision"
)

// Outcome is the way in which a query ended.
type Outcome int

// The outcomes of a query.
const (
	Answered         Outcome = iota
	Rejected                 // no non-idempotent part can have run, so the client may retry
	Failed                   // parts may have run
	DeadlineExceeded         // the client's deadline was reached without an answer
	Duplicate                // not accepted because a query with the same id is in flight
)

// Result is a query's final answer.
type Result struct {
	Outcome    Outcome
	Complete   bool    // Answered: the values reach the class's completeness threshold
	Values     []Value // Answered: the values of the answered parts
	RetryAfter float64 // Rejected: advised delay before a retry, in seconds; 0: none
}

// Value is a record server's answer to a part.
type Value struct {
	Shard int
	Data  []byte
}

// result returns an answer with the values of the answered parts, or a failure if these parts do not reach the class's minimum
// completeness. The answer is marked complete only if each phase has reached the completeness threshold, even if the Decider
// requests a complete answer.
func (q *query) result(complete bool) Result {
	tally := q.tally()
	thresholds := q.thresholds()
	if q.awaitsSecondPhase() || !tally.Enough(thresholds) {
		return Result{Outcome: Failed}
	}
	firstComplete := q.firstPhase == nil || q.firstPhase.Complete
	r := Result{Outcome: Answered, Complete: complete && tally.Complete(thresholds) && firstComplete}
	for _, pt := range q.parts {
		if pt.answered {
			r.Values = append(r.Values, Value{pt.Shard, pt.value})
		}
	}
	return r
}

// bestEffortResult returns the final answer of a query that ends early: an answer from the answered parts if they suffice, or
// else a rejection or failure.
func (q *query) bestEffortResult(retryAfter float64) Result {
	r := q.result(true)
	if r.Outcome == Answered && len(r.Values) > 0 {
		return r
	}
	return q.rejection(retryAfter)
}

// rejection returns a rejection, or a failure if an attempt may have run and the query's class is not decision.Idempotent.
// removeQuery must have been called before, so that no further call can start.
func (q *query) rejection(retryAfter float64) Result {
	if q.unsafeToRepeat() {
		return Result{Outcome: Failed}
	}
	return Result{Outcome: Rejected, RetryAfter: retryAfter}
}

// unsafeToRepeat reports whether an attempt may have run and the query's class is not decision.Idempotent.
func (q *query) unsafeToRepeat() bool {
	return q.class.Idempotency != decision.Idempotent && q.mayHaveRun()
}

// mayHaveRun reports whether any attempt of the query may have run.
func (q *query) mayHaveRun() bool {
	if q.firstPhase != nil {
		return true
	}
	return slices.ContainsFunc(q.parts, func(pt *part) bool {
		return pt.mayHaveRun || pt.answered || pt.call != nil && pt.call.started()
	})
}
