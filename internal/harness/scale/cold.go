package scale

import (
	"math"
	"math/rand/v2"

	"mothrouter/internal/estimate/slowstart"
	"mothrouter/internal/workers/lease"
)

// What the settings of an example deployment tell of cold servers (deploy/example.json).
const (
	slowStartFraction = 0.2  // of its capacity a server starts with
	slowStartDuration = 17.0 // seconds until it has all of it
	overloadFactor    = 2.5  // of what it then bears, over fallTime, and it falls over
	overloadWindow    = 1.5  // seconds
)

const slowStartWindows = 400 // windows that are drawn

func slowStartExperiment() Experiment {
	return Experiment{
		Name: "cold",
		Provenance: Provenance{Real: "internal/workers/lease (Bearing)",
			Computed: "brokers that see even shares of the load, windows that begin together"},
		Small: axis(axisBrokers, []float64{1200}), // the fewest answers to learn from
		Large: axis(axisBrokers, brokerSizes),
		Play:  playSlowStart,
	}
}

// playSlowStart has every broker of a fleet learn its peak from its even share of the target's parts, and then draws what
// all of them may send to one server that has just started.
func playSlowStart(at Sizes, seed uint64) ([]Reading, error) {
	brokers := int(at.Of(axisBrokers))
	rng := rand.New(rand.NewPCG(seed, 3))
	rate := TargetQueries * TargetParts / float64(brokers) // parts a second of one broker
	settings := slowstart.Settings{
		InitialFraction: slowStartFraction, Duration: slowStartDuration, OverloadFactor: overloadFactor, OverloadWindow: overloadWindow,
	}
	const learn, interval = 30.0, 2e-3 // seconds; answers of a step are booked together
	estimates := make([]*lease.CapacityEstimate, brokers)
	one := lease.NewCapacityEstimate(settings, brokers, rng)
	now := 0.0
	for ; now < learn; now += interval {
		for range int(rate*interval + rng.Float64()) {
			one.Answered(now, TargetServers)
		}
	}
	for i := range estimates { // all see the same load, so one broker's learning stands for all
		copied := *one
		estimates[i] = &copied
	}
	fraction := one.CapacityFraction(now, now)
	sum, most, each := 0.0, 0.0, 0.0
	for range slowStartWindows {
		window := 0.0
		for _, b := range estimates {
			room := b.Budget(fraction, rng.Float64(), now, TargetServers)
			window += room
			each += room
		}
		sum, most = sum+window, math.Max(most, window)
	}
	// The limit: what the server bears warm is at least its even share of the load.
	bears := overloadFactor * fraction * overloadWindow * float64(TargetQueries*TargetParts) / TargetServers
	return []Reading{
		{"room of a broker", "parts a window", each / slowStartWindows / float64(brokers)},
		{"sum of all brokers", "parts a window", sum / slowStartWindows},
		{"largest sum", "parts a window", most},
		{"limit", "parts a window", bears},
		{"largest sum of the limit", "share", most / bears},
	}, nil
}
