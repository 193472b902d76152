package scale

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// hedgeAt is the quantile of a part's latency after which a hedged part sends its second copy.
const hedgeAt = 0.95

func quantileExperiment() Experiment {
	points := grid(axisParts, partSizes, axisMinCompleteness, []float64{1, 0.99, 0.95, 0.8})
	return Experiment{
		Name:       "quantile",
		Provenance: Provenance{Computed: "parts' latencies taken for independent of each other"},
		Small:      points, Large: points,
		Play: playQuantile,
	}
}

// playQuantile computes which share of parts has to be in time so that TargetQuantile of queries are.
func playQuantile(at Sizes, _ uint64) ([]Reading, error) {
	late := 1 - PartQuantile(int(at.Of(axisParts)), at.Of(axisMinCompleteness))
	// A hedged part is late if the first copy is and the second too. The second has what is left of the time; for it to
	// be late is taken for as likely as for the first to be later than hedgeAt, which is cautious.
	hedged := late / (1 - hedgeAt)
	return []Reading{
		{"quantile of a part", "share", 1 - late},
		{"late parts", "parts in a million", late * 1e6},
		{"late parts with a hedge", "parts in a million", math.Min(hedged, 1) * 1e6},
	}, nil
}

// PartQuantile is the least share of parts that has to be in time, so that of a query's parts a floor's share is in
// time for TargetQuantile of all queries. Parts are taken for independent.
func PartQuantile(parts int, floor float64) float64 {
	need := math.Ceil(float64(parts)*floor - 1e-9)
	low, high := 0.0, 1.0
	for range 200 { // halves until the numbers meet
		mid := (low + high) / 2
		if inTimeProbability(parts, need, mid) < TargetQuantile {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// inTimeProbability is the chance that so many of a query's parts are in time. It counts the late ones, which are few.
func inTimeProbability(parts int, need, inTime float64) float64 {
	late := distuv.Binomial{N: float64(parts), P: 1 - inTime}
	return late.CDF(float64(parts) - need)
}
