package broker

import (
	"cmp"
	"slices"

	"mothrouter/internal/decision"
)

// FirstPhase is what the first step of a query brought, as the parts of its second step tell it.
type FirstPhase struct {
	AnsweredShards []int // the shards that were in, ascending
	Complete       bool  // the step was whole
}

// awaitsSecondPhase tells whether the query's class has a second step that has not begun. Until then nothing can be
// answered: an answer holds the second step's values.
func (q *query) awaitsSecondPhase() bool { return q.class.SecondPhaseFanout > 0 && q.firstPhase == nil }

// selectsSecondPhase tells whether a second step is chosen by the score of the part.
func (pt *part) selectsSecondPhase() bool {
	return pt.firstPhase == nil && pt.q.class.SecondPhaseFanout > 0
}

// respond closes the present step of a query: it begins the second one, or gives the final answer.
func (b *Broker) respond(q *query, whole bool) {
	if q.awaitsSecondPhase() && q.enough() && q.answeredWeight() > 0 {
		b.startSecondPhase(q, whole)
		return
	}
	b.finish(q, q.result(whole))
}

// startSecondPhase ends the first step, whatever of it is still out, and hands the parts of the second to the Decider. They
// go to the shards with the highest scores among those that are in. Class, client, deadline and name stay.
func (b *Broker) startSecondPhase(q *query, whole bool) {
	first := &FirstPhase{Complete: whole && q.isComplete()}
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
			id:   b.nextID(), q: q, firstPhase: first,
		}
		q.parts = append(q.parts, pt)
		b.parts[pt.id] = pt
		b.enqueueEvent(decision.Part{
			ID: pt.id, QueryNumber: int64(q.id), Shard: pt.Shard, Weight: pt.Weight, Key: pt.RouteKey,
		})
	}
}
