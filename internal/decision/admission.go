package decision

// Which queries and parts are refused at their arrival.

import (
	"maps"
	"math"

	"mothrouter/internal/servicetime"
)

const (
	admitStale = 0.4  // share of the time to the aim that the expected wait may take, where little is seen
	admitFresh = 0.4  // and so much more where a server is heard of all the time
	worthLeast = 0.7  // a narrower margin would refuse what an idle fleet serves at once
	yieldShare = 0.3  // of that margin, for queries whose aim has passed, where little is seen of the fleet
	waitsLess  = 0.95 // clients count the time left themselves
	trialShare = 0.03 // of the parts too long in waiting that are let through
)

// known tells that a query like this one has broken its servers lately.
func (p *Policy) known(q *query) bool {
	maps.DeleteFunc(p.breakers, func(_ uint64, until float64) bool { return p.now > until })
	return p.breakers[q.fingerprint] > 0
}

// wait is how long one more part of a shard is expected to take: harmonic means of its replicas' paces and
// depths, since the draw avoids slow and deep ones. The share that is silent or cold makes it longer.
func (p *Policy) wait(shard int) float64 {
	all, able, idle, share := 0.0, 0.0, 0.0, 0.0
	p.cells.Holders(shard, func(s *server) {
		if s.ready() && p.admitsCold(s) {
			w, pace := p.sound(s)*p.warmth(s), math.Max(p.serviceTime.Of(&s.serviceTime, p.now), 1e-6)
			all, able = all+1, able+w
			idle, share = idle+w/pace, share+w/pace/float64(1+s.depth(p.now))
		}
	})
	if all == 0 {
		return math.Inf(1)
	}
	alone := able / idle
	return alone + (able/share-alone)*all/able
}

// wouldBeLate tells at a query's arrival that it would not be done within its aim. The less is seen of each
// server the wider the margin. A few late parts are let through, to learn of its end. Where enough
// other parts make an answer, only late ones are left out. Late repeats yield. Worth widens the margin.
func (p *Policy) wouldBeLate(q *query) bool {
	left, limit := 0.0, (admitStale+admitFresh/p.serviceTime.HalfLife)*(q.aim-p.now)
	parts := q.class.CompletenessThreshold * float64(len(q.parts))
	if !p.set.WeightByWork && q.class.PriorityWeight > 0 {
		p.worthAsked, p.partsAsked = p.worthAsked+q.class.PriorityWeight, p.partsAsked+parts
		relativeWorth := q.class.PriorityWeight / parts * p.partsAsked / p.worthAsked
		limit = math.Min(limit*math.Max(math.Sqrt(relativeWorth), worthLeast), q.aim-p.now)
	}
	if q.late {
		limit *= math.Pow(yieldShare, 1-servicetime.MinHalfLife/p.serviceTime.HalfLife)
	} else if p.wide(q) {
		limit = q.aim - p.now // its parts that go ahead tell more
	}
	for _, pt := range q.parts {
		pt.dropped = p.wait(pt.Shard) > limit && p.rng.Float64() >= trialShare
		if !pt.dropped {
			left += pt.Weight
		}
	}
	return left < math.Min(q.class.MinCompleteness, q.class.CompletenessThreshold)-sumSlack
}
