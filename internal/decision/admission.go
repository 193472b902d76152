package decision

// Which queries and parts are rejected at their arrival.

import (
	"maps"
	"math"

	"mothrouter/internal/completeness"
	"mothrouter/internal/estimate/clientpatience"
	"mothrouter/internal/estimate/queueing"
	"mothrouter/internal/estimate/servicetime"
)

const (
	admitBlind         = 0.4  // of the time to the objective that the delay may take if little is seen
	admitInformed      = 0.4  // and this much more where servers are heard of all the time
	minWeightFactor    = 0.7  // a narrower margin would reject what an idle fleet serves at once
	missedMargin       = 0.3  // of that margin, for queries past their objective, if little is seen
	trialProbability   = 0.03 // with which a part that would be late is let through
	poisonProbability  = 0.05 // so unlikely is it that so many attempts were broken off by chance
	quarantineDuration = 30.0 // seconds: at size a broker meets such a query only once in so long
)

// admission is what is known of the queries that came before.
type admission struct {
	patience                clientpatience.Estimate
	waits                   clientpatience.Waits
	poisonQueries           map[uint64]float64 // by fingerprint, queries that broke their servers: until when
	quarantineUntil         []float64          // by class: until then one part of a query goes ahead
	totalWeight, totalParts float64            // of all queries so far: priority weight, and parts needed
}

// crashesServers tells that all attempts of a query have ended, more of them broken off than by chance.
func (p *Policy) crashesServers(q *query, g progress) bool {
	return q.resets > 1 && g.Answered == 0 && g.live == 0 && q.phase == firstPhase &&
		math.Pow(p.fleet.DisconnectRatio, float64(q.resets)) < poisonProbability
}

// isPoison tells that a query like this one has broken its servers lately.
func (p *Policy) isPoison(q *query) bool {
	maps.DeleteFunc(p.poisonQueries, func(_ uint64, until float64) bool { return p.now > until })
	return p.poisonQueries[q.fingerprint] > 0
}

// expectedDelay is how long one more part of a shard is expected to take.
func (p *Policy) expectedDelay(shard int) float64 {
	var delay queueing.Delay
	p.replicaSets.Replicas(shard, func(s *server) {
		if s.IsReady() && p.hasSlowStartBudget(s) {
			capacity := p.usableFraction(s) * p.capacityFraction(s)
			delay.Add(capacity, p.fleet.ServiceTime.Of(&s.ServiceTime, p.now), s.QueueDepth(p.now))
		}
	})
	return delay.Expected()
}

// delayLimit is the expected delay up to which parts are admitted. The less is seen of each server, the wider
// the margin. Priority widens it, a missed objective narrows it.
func (p *Policy) delayLimit(q *query) float64 {
	left := q.objectiveAt - p.now
	limit := (admitBlind + admitInformed/p.fleet.ServiceTime.HalfLife) * left
	if weight := q.class.PriorityWeight; !p.settings.WeightByWork && weight > 0 {
		parts := q.class.CompletenessThreshold * float64(len(q.parts))
		p.totalWeight += weight
		p.totalParts += parts
		relative := weight / parts * p.totalParts / p.totalWeight
		limit = min(limit*max(math.Sqrt(relative), minWeightFactor), left)
	}
	if q.objectiveMissed {
		return limit * math.Pow(missedMargin, 1-servicetime.MinHalfLife/p.fleet.ServiceTime.HalfLife)
	} else if p.needsCanary(q) {
		return left // its canary parts tell more
	}
	return limit
}

// admissionRejects tells at a query's arrival that it would miss its objective. Some late parts are let
// through, to learn of the end of a jam. Where the others are enough, only the late parts are left out.
func (p *Policy) admissionRejects(q *query) bool {
	admitted, limit := 0.0, p.delayLimit(q)
	for _, pt := range q.parts {
		pt.givenUp = p.expectedDelay(pt.Shard) > limit && p.rng.Float64() >= trialProbability
		if !pt.givenUp {
			admitted += pt.Weight
		}
	}
	return admitted < min(q.class.MinCompleteness, q.class.CompletenessThreshold)-completeness.Slack
}
