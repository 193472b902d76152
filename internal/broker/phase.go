package broker

import (
	"cmp"
	"slices"

	"mothrouter/internal/completeness"
	"mothrouter/internal/decision"
)

// FirstPhase is what the first phase of a query brought, as the parts of its second phase tell it.
type FirstPhase struct {
	AnsweredShards []int // ascending
	Complete       bool
}

// awaitsSecondPhase tells whether the query's class has a second phase that has not begun. Until then there is no answer:
// it holds the second phase's values.
func (q *query) awaitsSecondPhase() bool {
	return q.class.SecondPhaseFanout > 0 && q.firstPhase == nil
}

// selectsSecondPhase tells whether a second phase is chosen by the score of the part.
func (pt *part) selectsSecondPhase() bool {
	return pt.firstPhase == nil && pt.query.class.SecondPhaseFanout > 0
}

// thresholds are those of the present phase.
func (q *query) thresholds() completeness.Thresholds { return q.class.Thresholds(q.firstPhase != nil) }

// tally sums the parts of the present phase.
func (q *query) tally() (t completeness.Tally) {
	for _, pt := range q.parts {
		if pt.answered {
			t.AddAnswered(pt.Weight)
		} else {
			t.AddPending(pt.Weight)
		}
	}
	return t
}

// respond closes the present phase of a query: it begins the second one, or gives the final answer.
func (b *Broker) respond(q *query, complete bool) {
	tally := q.tally()
	if at := q.thresholds(); q.awaitsSecondPhase() && tally.Enough(at) && tally.Answered > 0 {
		b.startSecondPhase(q, complete && tally.Complete(at))
		return
	}
	b.finish(q, q.result(complete))
}

// startSecondPhase ends the first phase, whatever of it is still in flight, and hands the parts of the second to the
// Decider. They go to the shards with the highest scores among those that are in. Class, client, deadline and name stay.
func (b *Broker) startSecondPhase(q *query, complete bool) {
	first := &FirstPhase{Complete: complete}
	chosen := make([]*part, 0, len(q.parts))
	for _, pt := range q.parts {
		if pt.answered {
			first.AnsweredShards = append(first.AnsweredShards, pt.Shard)
			chosen = append(chosen, pt)
		}
	}
	slices.Sort(first.AnsweredShards)
	slices.SortFunc(chosen, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Shard, b.Shard))
	})
	chosen = chosen[:min(q.class.SecondPhaseFanout, len(chosen))]

	b.finishPhase(q)
	b.releaseSlots(len(q.parts) - len(chosen))
	q.parts, q.firstPhase = nil, first
	for _, best := range chosen {
		pt := &part{
			Part: Part{Shard: best.Shard, Weight: 1 / float64(len(chosen)), RouteKey: best.RouteKey},
			id:   b.nextID(), query: q, firstPhase: first,
		}
		q.parts = append(q.parts, pt)
		b.parts[pt.id] = pt
		b.enqueueEvent(decision.Part{
			ID: pt.id, QueryNumber: int64(q.id), Shard: pt.Shard, Weight: pt.Weight, Key: pt.RouteKey,
		})
	}
}
