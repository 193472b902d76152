package broker

import (
	"cmp"
	"slices"

	"mothrouter/internal/decision"
)

// FirstStep is what the first step of a query brought, as the parts of its second step tell it.
type FirstStep struct {
	From  []int // the shards that were in, ascending
	Whole bool  // the step was whole
}

// awaitsSecond tells whether the query's class has a second step that has not begun. Until then nothing can be
// answered: an answer holds the second step's values.
func (q *query) awaitsSecond() bool { return q.class.SecondPhaseFanout > 0 && q.first == nil }

// ranked tells whether a second step is chosen by the score of the part.
func (pt *part) ranked() bool { return pt.second == nil && pt.q.class.SecondPhaseFanout > 0 }

// answer closes the present step of a query: it begins the second one, or gives the final answer.
func (b *Broker) answer(q *query, whole bool) {
	if q.awaitsSecond() && q.enough() && q.weight() > 0 {
		b.beginSecond(q, whole)
		return
	}
	b.finish(q, q.answer(whole))
}

// beginSecond ends the first step, whatever of it is still out, and hands the parts of the second to the Decider. They
// go to the shards with the highest scores among those that are in. Class, client, deadline and name stay.
func (b *Broker) beginSecond(q *query, whole bool) {
	first := &FirstStep{Whole: whole && q.whole()}
	chosen := make([]*part, 0, len(q.parts))
	for _, pt := range q.parts {
		if pt.in {
			first.From = append(first.From, pt.Shard)
			chosen = append(chosen, pt)
		}
	}
	slices.Sort(first.From)
	slices.SortFunc(chosen, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Shard, b.Shard))
	})
	chosen = chosen[:min(q.class.SecondPhaseFanout, len(chosen))]

	b.endStep(q)
	b.release(len(q.parts) - len(chosen))
	q.parts, q.first = nil, first
	for _, best := range chosen {
		pt := &part{
			Part: Part{Shard: best.Shard, Share: 1 / float64(len(chosen)), Route: best.Route},
			id:   b.nextID(), q: q, second: first,
		}
		q.parts = append(q.parts, pt)
		b.parts[pt.id] = pt
		b.tell(decision.Part{
			ID: pt.id, QueryNumber: int64(q.id), Shard: pt.Shard, Weight: pt.Share, Key: pt.Route,
		})
	}
}
