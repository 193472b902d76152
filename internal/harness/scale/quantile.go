package scale

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// hedgeQuantile is the latency quantile of a part at which its hedge is sent.
const hedgeQuantile = 0.95

func quantileExperiment() Experiment {
	points := grid(axisParts, partSizes, axisMinCompleteness, []float64{1, 0.99, 0.95, 0.8})
	return Experiment{
		Name:        "quantile",
		Provenance:  Provenance{Computed: "parts' latencies taken for independent of each other"},
		SmallPoints: points, LargePoints: points,
		MeasurePoint: measureQuantile,
	}
}

// measureQuantile computes the fraction of parts that must be in time for TargetQuantile of the queries to be in time.
func measureQuantile(sizes Sizes, _ uint64) ([]Reading, error) {
	lateFraction := 1 - PartQuantile(int(sizes.Of(axisParts)), sizes.Of(axisMinCompleteness))
	// A hedged part is late if both attempts are late. The hedge has only the time that remains after hedgeQuantile; its
	// probability of being late is assumed to be that of a first attempt to exceed hedgeQuantile, which is conservative.
	lateHedgedFraction := lateFraction / (1 - hedgeQuantile)
	return []Reading{
		{"quantile of a part", "share", 1 - lateFraction},
		{"late parts", "parts in a million", lateFraction * 1e6},
		{"late parts with a hedge", "parts in a million", math.Min(lateHedgedFraction, 1) * 1e6},
	}, nil
}

// PartQuantile returns the smallest fraction of parts in time with which TargetQuantile of all queries reach their
// minimum completeness in time. It assumes that the latencies of parts are independent.
func PartQuantile(parts int, minCompleteness float64) float64 {
	const (
		roundingError = 1e-9 // upper bound on the rounding error of a product of two float64 values
		bisections    = 200  // more than the digits of a float64
	)
	required := math.Ceil(float64(parts)*minCompleteness - roundingError)
	low, high := 0.0, 1.0
	for range bisections {
		mid := (low + high) / 2
		if inTimeProbability(parts, required, mid) < TargetQuantile {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// inTimeProbability returns the probability that at least the required number of a query's parts are in time, if each part
// is in time with the probability partInTime. It uses the distribution of the late parts, which are few, for precision.
func inTimeProbability(parts int, required, partInTime float64) float64 {
	late := distuv.Binomial{N: float64(parts), P: 1 - partInTime}
	return late.CDF(float64(parts) - required)
}
