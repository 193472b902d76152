package broker

import (
	"slices"

	"mothrouter/internal/decision"
)

// Outcome is how a query ended.
type Outcome int

// The outcomes.
const (
	Answered         Outcome = iota
	Rejected                 // no non-idempotent part of it can have run: the client may retry
	Failed                   // parts of it may have run
	DeadlineExceeded         // the client's deadline was reached without an answer
	Duplicate                // a query of the same name is in flight; this one was not accepted
)

// Result is a query's final answer.
type Result struct {
	Outcome    Outcome
	Complete   bool    // Answered: the values reach the class's completeness threshold
	Values     []Value // Answered: of the answered parts
	RetryAfter float64 // Rejected: seconds; 0: none is advised
}

// Value is a record server's answer to a part.
type Value struct {
	Shard int
	Data  []byte
}

// result returns the answer from the parts that are answered. Below the class's minimum completeness it is a failure, and it
// is complete only if the parts are, whatever the Decider says.
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

// bestEffortResult returns the answer of a query that ends early: from the parts that are answered if they are enough, else
// a rejection.
func (q *query) bestEffortResult(retryAfter float64) Result {
	r := q.result(true)
	if r.Outcome == Answered && len(r.Values) > 0 {
		return r
	}
	return q.rejection(retryAfter)
}

// rejection returns a rejection, or a failure if a non-idempotent part may have run. The query must have been forgotten, so
// that none of its calls can start any more.
func (q *query) rejection(retryAfter float64) Result {
	if q.class.Idempotency != decision.Idempotent && q.mayHaveRun() {
		return Result{Outcome: Failed}
	}
	return Result{Outcome: Rejected, RetryAfter: retryAfter}
}

// mayHaveRun reports whether an attempt of the query may have run.
func (q *query) mayHaveRun() bool {
	if q.firstPhase != nil {
		return true
	}
	return slices.ContainsFunc(q.parts, func(pt *part) bool {
		return pt.mayHaveRun || pt.answered || pt.call != nil && pt.call.started()
	})
}
