package decision

// Admission control: queries that would miss their objective are rejected on receipt, before they cause work.

import (
	"math"

	"mothrouter/internal/completeness"
	"mothrouter/internal/estimate/clientpatience"
	"mothrouter/internal/estimate/queueing"
	"mothrouter/internal/estimate/servicetime"
)

const (
	// baseDelayRatio is the fraction of the time to the objective that the expected delay may take if the
	// half-life of service times is long. Then each server is rarely observed, and the expected delay is
	// often too high or too low.
	baseDelayRatio = 0.4
	// freshDelayRatio is divided by the half-life in seconds and added to baseDelayRatio. With the shortest
	// half-life of 1 s, the limit is 0.8 of the time to the objective.
	freshDelayRatio = 0.4
	// minWeightFactor is the lower bound of the factor by which a small priority weight reduces the limit. A
	// smaller factor would reject queries that an idle fleet could serve immediately.
	minWeightFactor = 0.7
	// missedDelayRatio is the factor on the limit of queries past their objective if the half-life is long.
	// In a large fleet a client's retry reaches another broker, which does not know of the earlier rejection.
	missedDelayRatio = 0.3
	// trialProbability is the probability of admitting a part that is expected to be late. These trials
	// detect the end of an overload, at a cost of 3 % of the parts during it.
	trialProbability = 0.03
)

// admissionStats holds statistics of earlier queries and clients that admission uses.
type admissionStats struct {
	patience      clientpatience.Estimator     // how long clients wait before they disconnect
	retryDetector clientpatience.RetryDetector // recognizes retries by their client waits
	totalWeight   float64                      // sum of the priority weights of the queries so far
	totalParts    float64                      // sum of the parts that complete answers to these queries need
}

// expectedDelay returns the expected time in seconds until an additional part of a shard would be answered.
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

// delayLimit returns the maximum expected delay in seconds with which parts of a query are admitted. It is
// reduced by a long half-life of service times, a small priority weight or a missed objective.
func (p *Policy) delayLimit(q *query) float64 {
	timeLeft := q.objectiveAt - p.now
	halfLife := p.fleet.ServiceTime.HalfLife
	limit := (baseDelayRatio + freshDelayRatio/halfLife) * timeLeft
	if !p.settings.WeightByWork && q.class.PriorityWeight > 0 {
		limit = min(limit*p.weightFactor(q), timeLeft)
	}
	if q.objectiveMissed {
		return limit * math.Pow(missedDelayRatio, 1-servicetime.MinHalfLife/halfLife)
	}
	if p.needsCanary(q) {
		return timeLeft // canary parts predict better whether the others would be late
	}
	return limit
}

// weightFactor adds a query's priority weight to the totals and returns a factor for its delay limit: the
// square root of its weight per part, relative to that of all queries so far. The square root ensures that
// not all queries of a small weight are rejected.
func (p *Policy) weightFactor(q *query) float64 {
	weight := q.class.PriorityWeight
	parts := q.class.CompletenessThreshold * float64(len(q.parts))
	p.totalWeight += weight
	p.totalParts += parts
	relative := weight / parts * p.totalParts / p.totalWeight
	return max(math.Sqrt(relative), minWeightFactor)
}

// admissionRejects reports, on receipt of a query, whether to reject it because it would miss its objective.
// It gives up parts that are expected to be late, except for a few trials, and admits the query if the
// remaining parts suffice for an answer.
func (p *Policy) admissionRejects(q *query) bool {
	limit := p.delayLimit(q)
	admittedWeight := 0.0
	for _, pt := range q.parts {
		late := p.expectedDelay(pt.Shard) > limit
		pt.givenUp = late && p.rng.Float64() >= trialProbability
		if !pt.givenUp {
			admittedWeight += pt.Weight
		}
	}
	neededWeight := min(q.class.MinCompleteness, q.class.CompletenessThreshold)
	return admittedWeight < neededWeight-completeness.Epsilon
}
