package broker

import (
	"cmp"
	"slices"
)

// FirstPhase is the result of a query's first phase. It is sent with each part of the second phase.
type FirstPhase struct {
	AnsweredShards []int // ascending
	Complete       bool  // the answered parts reach the class's completeness threshold
}

// awaitsSecondPhase reports whether the query has a second phase that has not begun. Such a query cannot be answered yet, since
// the answer consists of the values of the second phase.
func (q *query) awaitsSecondPhase() bool {
	return q.class.SecondPhaseFanout > 0 && q.firstPhase == nil
}

// selectsSecondPhase reports whether the part's score is used to select the shards of a second phase.
func (p *part) selectsSecondPhase() bool {
	return p.firstPhase == nil && p.query.class.SecondPhaseFanout > 0
}

// respond ends the current phase of a query: it starts the second phase or gives the query its final answer.
func (b *Broker) respond(q *query, complete bool) {
	if q.awaitsSecondPhase() {
		tally := q.tally()
		thresholds := q.thresholds()
		if tally.Enough(thresholds) && tally.Answered > 0 {
			b.startSecondPhase(q, complete && tally.Complete(thresholds))
			return
		}
	}
	b.finish(q, q.result(complete))
}

// startSecondPhase ends the first phase, including its attempts in flight, and passes the parts of the second phase to the
// Decider. These go to the answered shards with the highest scores. The query keeps its class, client, deadline and id.
func (b *Broker) startSecondPhase(q *query, complete bool) {
	answered := q.answeredParts()
	first := &FirstPhase{Complete: complete}
	for _, pt := range answered {
		first.AnsweredShards = append(first.AnsweredShards, pt.Shard)
	}
	slices.Sort(first.AnsweredShards)
	selected := highestScores(answered, q.class.SecondPhaseFanout)

	b.finishPhase(q)
	b.releaseSlots(len(q.parts) - len(selected))
	q.parts = nil
	q.firstPhase = first
	weight := 1 / float64(len(selected))
	for _, previous := range selected {
		pt := &part{
			Part:       Part{Shard: previous.Shard, Weight: weight, RouteKey: previous.RouteKey},
			firstPhase: first,
		}
		b.addPart(q, pt)
		b.enqueuePart(pt)
	}
}

// answeredParts returns the answered parts of the current phase.
func (q *query) answeredParts() []*part {
	answered := make([]*part, 0, len(q.parts))
	for _, pt := range q.parts {
		if pt.answered {
			answered = append(answered, pt)
		}
	}
	return answered
}

// highestScores returns the n parts with the highest scores, or all if there are fewer, in descending order of score. Equal
// scores are ordered by shard. It sorts parts in place.
func highestScores(parts []*part, n int) []*part {
	slices.SortFunc(parts, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Shard, b.Shard))
	})
	return parts[:min(n, len(parts))]
}
