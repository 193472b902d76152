package decision

// Deadline admission: queries that would miss their objective are rejected at arrival, before they cost work.

import (
	"math"

	"mothrouter/internal/completeness"
	"mothrouter/internal/estimate/clientpatience"
	"mothrouter/internal/estimate/queueing"
	"mothrouter/internal/estimate/servicetime"
)

const (
	// blindDelayRatio is the fraction of the time to the objective that the expected delay may take where
	// service times have a long half-life: little is seen of each server, and the estimate is often too high
	// or too low.
	blindDelayRatio = 0.4
	// informedDelayRatio is added to blindDelayRatio, divided by the half-life in seconds: with the shortest
	// one of 1 s the limit is 0.8 of the time to the objective.
	informedDelayRatio = 0.4
	// minWeightFactor bounds from below how far a small priority weight narrows the limit: less would reject
	// what an idle fleet serves at once.
	minWeightFactor = 0.7
	// missedDelayRatio narrows the limit of queries past their objective where the half-life is long: a
	// client's retry reaches another broker, which cannot know that it was rejected before.
	missedDelayRatio = 0.3
	// trialProbability is the probability that a part which would be late is admitted, so that the end of an
	// overload is noticed at a cost of 3 % of its parts.
	trialProbability = 0.03
)

// admission is what the admission of a query takes from those before it.
type admission struct {
	patience    clientpatience.Estimator     // how long clients wait before they disconnect
	waits       clientpatience.RetryDetector // longest waits by class, from which retries are recognized
	totalWeight float64                      // sum of the priority weights of the queries so far
	totalParts  float64                      // sum of the parts that complete answers to these need
}

// expectedDelay returns the expected time in seconds until one more part of a shard is answered.
func (p *Policy) expectedDelay(shard int) float64 {
	var delay queueing.Delay
	p.replicaSets.Replicas(shard, func(s *server) {
		if !s.IsReady() || !p.hasSlowStartBudget(s) {
			return
		}
		capacity := p.usableFraction(s) * p.capacityFraction(s)
		serviceTime := p.fleet.ServiceTime.Of(&s.ServiceTime, p.now)
		delay.Add(capacity, serviceTime, s.QueueDepth(p.now))
	})
	return delay.Expected()
}

// delayLimit returns the expected delay in seconds up to which the parts of a query are admitted. A long
// half-life of service times narrows it, as do a small priority weight and a missed objective.
func (p *Policy) delayLimit(q *query) float64 {
	left := q.objectiveAt - p.now
	halfLife := p.fleet.ServiceTime.HalfLife
	limit := (blindDelayRatio + informedDelayRatio/halfLife) * left
	if !p.settings.WeightByWork && q.class.PriorityWeight > 0 {
		limit = min(limit*p.weightFactor(q), left)
	}
	if q.objectiveMissed {
		return limit * math.Pow(missedDelayRatio, 1-servicetime.MinHalfLife/halfLife)
	}
	if p.needsCanary(q) {
		return left // the canary parts show better whether the others would be late
	}
	return limit
}

// weightFactor counts a query's priority weight and returns the factor by which its weight for each part,
// relative to that of all queries so far, widens or narrows the limit. The square root keeps queries of a
// small weight from being rejected altogether.
func (p *Policy) weightFactor(q *query) float64 {
	weight := q.class.PriorityWeight
	parts := q.class.CompletenessThreshold * float64(len(q.parts))
	p.totalWeight += weight
	p.totalParts += parts
	relative := weight / parts * p.totalParts / p.totalWeight
	return max(math.Sqrt(relative), minWeightFactor)
}

// admissionRejects reports, at the arrival of a query, whether it would miss its objective. Parts that would
// be late are given up, except for a few trials. If the others are enough for an answer, the query is
// admitted.
func (p *Policy) admissionRejects(q *query) bool {
	limit := p.delayLimit(q)
	admitted := 0.0
	for _, pt := range q.parts {
		late := p.expectedDelay(pt.Shard) > limit
		pt.givenUp = late && p.rng.Float64() >= trialProbability
		if !pt.givenUp {
			admitted += pt.Weight
		}
	}
	needed := min(q.class.MinCompleteness, q.class.CompletenessThreshold)
	return admitted < needed-completeness.Slack
}
