package scale

import (
	"math/rand/v2"

	"mothrouter/internal/estimate/slowstart"
	"mothrouter/internal/workers/lease"
)

// The slow-start settings of an example deployment (deploy/example.json).
const (
	slowStartFraction = 0.2  // of its capacity, with which a server starts
	slowStartDuration = 17.0 // seconds until it has its full capacity
	overloadFactor    = 2.5  // of its present capacity; more than that in an overload window, and the server fails
	overloadWindow    = 1.5  // seconds
)

const (
	slowStartWindows = 400  // overload windows that are drawn
	learningTime     = 30.0 // seconds in which a broker estimates the capacity
	learningInterval = 2e-3 // seconds; answers within one are recorded together
)

func slowStartExperiment() Experiment {
	return Experiment{
		Name: "cold",
		Provenance: Provenance{
			Real:     "internal/workers/lease (CapacityEstimate)",
			Computed: "brokers that see even shares of the load, windows that begin together",
		},
		Small: axis(axisBrokers, []float64{1200}), // the smallest share of the load, so the fewest answers
		Large: axis(axisBrokers, brokerSizes),
		Play:  playSlowStart,
	}
}

// playSlowStart has each broker of a fleet estimate a server's peak throughput from its even share of the target's load,
// and then draws the budgets of all of them for one server that has just started.
func playSlowStart(at Sizes, seed uint64) ([]Reading, error) {
	brokers := int(at.Of(axisBrokers))
	rng := rand.New(rand.NewPCG(seed, 3))
	estimate, now := learnCapacity(brokers, rng)
	estimates := make([]*lease.CapacityEstimate, brokers)
	for i := range estimates { // all brokers have the same load, so they are copies of one
		copied := *estimate
		estimates[i] = &copied
	}
	fraction := estimate.CapacityFraction(now, now)
	budgets, windows, largest := 0.0, 0.0, 0.0
	for range slowStartWindows {
		window := 0.0
		for _, e := range estimates {
			budget := e.Budget(fraction, rng.Float64(), now, TargetServers)
			window += budget
			budgets += budget
		}
		windows += window
		largest = max(largest, window)
	}
	// The server's warm capacity is at least its even share of the load.
	limit := overloadFactor * fraction * overloadWindow * float64(TargetQueries*TargetParts) / TargetServers
	return []Reading{
		{"room of a broker", "parts a window", budgets / slowStartWindows / float64(brokers)},
		{"sum of all brokers", "parts a window", windows / slowStartWindows},
		{"largest sum", "parts a window", largest},
		{"limit", "parts a window", limit},
		{"largest sum of the limit", "share", largest / limit},
	}, nil
}

// learnCapacity returns the capacity estimate of one of a number of brokers after learningTime, and the time then.
func learnCapacity(brokers int, rng *rand.Rand) (estimate *lease.CapacityEstimate, now float64) {
	settings := slowstart.Settings{
		InitialFraction: slowStartFraction, Duration: slowStartDuration,
		OverloadFactor: overloadFactor, OverloadWindow: overloadWindow,
	}
	estimate = lease.NewCapacityEstimate(settings, brokers, rng)
	rate := TargetQueries * TargetParts / float64(brokers) // parts a second
	for ; now < learningTime; now += learningInterval {
		for range int(rate*learningInterval + rng.Float64()) {
			estimate.Answered(now, TargetServers)
		}
	}
	return estimate, now
}
