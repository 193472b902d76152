package scale

import (
	"math/rand/v2"

	"mothrouter/internal/estimate/slowstart"
	"mothrouter/internal/workers/lease"
)

// The slow-start settings of an example deployment (deploy/example.json).
const (
	slowStartFraction = 0.2  // fraction of its full capacity that a server has when it starts
	slowStartDuration = 17.0 // seconds until a started server has its full capacity
	overloadFactor    = 2.5  // a server fails if its load in an overload window exceeds this multiple of its current capacity
	overloadWindow    = 1.5  // seconds
)

const (
	slowStartWindows = 400  // number of simulated overload windows
	learningTime     = 30.0 // seconds for which a broker observes answers before it uses its capacity estimate
	learningInterval = 2e-3 // seconds; answers within an interval are recorded with the same time
)

func slowStartExperiment() Experiment {
	return Experiment{
		Name: "cold",
		Provenance: Provenance{
			Real:     "internal/workers/lease (CapacityEstimate)",
			Computed: "brokers that see even shares of the load, windows that begin together",
		},
		SmallPoints:  axis(axisBrokers, []float64{1200}), // the smallest share of the load, so the fewest answers to record
		LargePoints:  axis(axisBrokers, brokerSizes),
		MeasurePoint: measureSlowStart,
	}
}

// measureSlowStart lets each broker of a fleet estimate a record server's peak throughput from an even share of the target's
// load. It then draws the budgets of all brokers for one server that has just started.
func measureSlowStart(sizes Sizes, seed uint64) ([]Reading, error) {
	brokers := int(sizes.Of(axisBrokers))
	rng := rand.New(rand.NewPCG(seed, 3))
	estimate, now := learnCapacity(brokers, rng)
	estimates := make([]*lease.CapacityEstimate, brokers)
	for i := range estimates { // all brokers have the same load, so their estimates are copies of one
		estimateCopy := *estimate
		estimates[i] = &estimateCopy
	}
	fraction := estimate.CapacityFraction(now, now)
	budgetSum, windowSum, largestWindow := 0.0, 0.0, 0.0
	for range slowStartWindows {
		windowBudget := 0.0
		for _, e := range estimates {
			budget := e.Budget(fraction, rng.Float64(), now, TargetServers)
			windowBudget += budget
			budgetSum += budget
		}
		windowSum += windowBudget
		largestWindow = max(largestWindow, windowBudget)
	}
	// The server's warm capacity is at least its even share of the load.
	limit := overloadFactor * fraction * overloadWindow * float64(TargetQueries*TargetParts) / TargetServers
	return []Reading{
		{"room of a broker", "parts a window", budgetSum / slowStartWindows / float64(brokers)},
		{"sum of all brokers", "parts a window", windowSum / slowStartWindows},
		{"largest sum", "parts a window", largestWindow},
		{"limit", "parts a window", limit},
		{"largest sum of the limit", "share", largestWindow / limit},
	}, nil
}

// learnCapacity returns the capacity estimate that one broker of a fleet with the given number of brokers has after
// learningTime, and that time in seconds.
func learnCapacity(brokers int, rng *rand.Rand) (estimate *lease.CapacityEstimate, now float64) {
	settings := slowstart.Settings{
		InitialFraction: slowStartFraction, Duration: slowStartDuration,
		OverloadFactor: overloadFactor, OverloadWindow: overloadWindow,
	}
	estimate = lease.NewCapacityEstimate(settings, brokers, rng)
	rate := TargetQueries * TargetParts / float64(brokers) // parts per second
	for ; now < learningTime; now += learningInterval {
		for range int(rate*learningInterval + rng.Float64()) {
			estimate.Answered(now, TargetServers)
		}
	}
	return estimate, now
}
