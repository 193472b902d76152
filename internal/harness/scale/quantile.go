package scale

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// hedgeAt is the quantile of a part's latency after which its hedge is sent.
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

// playQuantile computes which fraction of parts has to be in time so that TargetQuantile of queries are.
func playQuantile(at Sizes, _ uint64) ([]Reading, error) {
	late := 1 - PartQuantile(int(at.Of(axisParts)), at.Of(axisMinCompleteness))
	// A hedged part is late if both attempts are. The hedge has only the rest of the time; the probability that it is late
	// is assumed to be that of a first attempt beyond hedgeAt, which is conservative.
	hedged := late / (1 - hedgeAt)
	return []Reading{
		{"quantile of a part", "share", 1 - late},
		{"late parts", "parts in a million", late * 1e6},
		{"late parts with a hedge", "parts in a million", math.Min(hedged, 1) * 1e6},
	}, nil
}

// PartQuantile returns the least fraction of parts that has to be in time, so that the minimum completeness of a query's
// parts is in time for TargetQuantile of all queries. Parts are assumed to be independent.
func PartQuantile(parts int, minCompleteness float64) float64 {
	const (
		rounding = 1e-9 // of the product of two floats
		halvings = 200  // more than the digits of a float64
	)
	required := math.Ceil(float64(parts)*minCompleteness - rounding)
	low, high := 0.0, 1.0
	for range halvings {
		mid := (low + high) / 2
		if inTimeProbability(parts, required, mid) < TargetQuantile {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// inTimeProbability returns the probability that at least the required parts of a query are in time, each with the
// probability partInTime. It counts the late parts, which are few, for precision.
func inTimeProbability(parts int, required, partInTime float64) float64 {
	late := distuv.Binomial{N: float64(parts), P: 1 - partInTime}
	return late.CDF(float64(parts) - required)
}
