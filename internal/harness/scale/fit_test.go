package scale_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/harness/scale"
)

var sizes = []float64{200, 500, 1000, 2300, 4600}

// noisySamples returns five samples of a cost at each size, with normal noise of a fraction of the cost.
func noisySamples(cost func(x float64) float64, noise float64) []scale.Sample {
	rng := rand.New(rand.NewPCG(1, 2))
	var samples []scale.Sample
	for _, x := range sizes {
		for range 5 {
			samples = append(samples, scale.Sample{X: x, Y: cost(x) * (1 + noise*rng.NormFloat64())})
		}
	}
	return samples
}

func TestFitFindsFormAndRate(t *testing.T) {
	for _, c := range []struct {
		form scale.Form
		cost func(x float64) float64
		rate float64
	}{
		{scale.Constant, func(float64) float64 { return 12 }, 12},
		{scale.Linear, func(x float64) float64 { return 40 + 0.3*x }, 0.3},
		{scale.LogLinear, func(x float64) float64 { return 5 + 0.02*x*math.Log2(x) }, 0.02},
		{scale.Quadratic, func(x float64) float64 { return 100 + 1e-3*x*x }, 1e-3},
	} {
		slope, err := scale.Fit(noisySamples(c.cost, 0.01))
		require.NoError(t, err)
		require.Equal(t, c.form, slope.Form, "%v", c.form)
		require.Less(t, slope.RateInterval.Low, c.rate)
		require.Greater(t, slope.RateInterval.High, c.rate)
		require.InEpsilon(t, c.cost(9200), slope.At(9200), 0.05)
	}
}

// Runs with a single repetition have five samples.
func TestFitOfSingleRepetitions(t *testing.T) {
	var rising, level []scale.Sample
	for i, x := range sizes {
		noise := 1 + 0.02*float64(i%2)
		rising = append(rising, scale.Sample{X: x, Y: (40 + 0.05*x) * noise})
		level = append(level, scale.Sample{X: x, Y: 40 * noise})
	}
	slope, err := scale.Fit(rising)
	require.NoError(t, err)
	require.Equal(t, scale.Linear, slope.Form)
	slope, err = scale.Fit(level)
	require.NoError(t, err)
	require.Equal(t, scale.Constant, slope.Form)
}

// Three samples show no slope unless they lie on it.
func TestFitIsConstantWhereSlopeMayBeZero(t *testing.T) {
	slope, err := scale.Fit([]scale.Sample{{X: 40, Y: 4053}, {X: 100, Y: 3765}, {X: 200, Y: 5844}})
	require.NoError(t, err)
	require.Equal(t, scale.Constant, slope.Form)
}

func TestFitIsConstantForFallingCost(t *testing.T) {
	slope, err := scale.Fit(noisySamples(func(x float64) float64 { return 100 - x/100 }, 0.01))
	require.NoError(t, err)
	require.Equal(t, scale.Constant, slope.Form)
}

func TestFitRejectsInvalidSamples(t *testing.T) {
	_, err := scale.Fit([]scale.Sample{{X: 1, Y: 1}, {X: 2, Y: 2}, {X: 2, Y: 2.1}})
	require.ErrorIs(t, err, scale.ErrTooFew)
	_, err = scale.Fit([]scale.Sample{{X: 1, Y: 1}, {X: 2, Y: math.NaN()}, {X: 3, Y: 2}})
	require.ErrorIs(t, err, scale.ErrValue)
	_, err = scale.Fit([]scale.Sample{{X: 1, Y: 1}, {X: 2, Y: 0}, {X: 3, Y: 2}})
	require.ErrorIs(t, err, scale.ErrValue)
}

func TestFitExponentOfPowerLaw(t *testing.T) {
	e, err := scale.FitExponent(noisySamples(func(x float64) float64 { return 3 * math.Pow(x, 1.5) }, 0.02))
	require.NoError(t, err)
	require.InDelta(t, 1.5, e.Value, 0.02)
	require.Less(t, e.Interval.Low, 1.5)
	require.Greater(t, e.Interval.High, 1.5)
}

// The prediction misses a cost that grows faster beyond the fitted sizes.
func TestPredictMissesBentCost(t *testing.T) {
	straight, err := scale.Predict(noisySamples(func(x float64) float64 { return 40 + 0.3*x }, 0.01))
	require.NoError(t, err)
	require.True(t, straight.WithinMissLimit(), "%+v", straight)
	bent, err := scale.Predict(noisySamples(func(x float64) float64 {
		if x > 4000 {
			return 40 + 0.6*x
		}
		return 40 + 0.3*x
	}, 0.01))
	require.NoError(t, err)
	require.False(t, bent.WithinMissLimit(), "%+v", bent)
	require.InDelta(t, -0.49, bent.Miss, 0.03)
}

func TestMeanInterval(t *testing.T) {
	mean, in := scale.MeanInterval([]float64{9, 10, 11})
	require.Equal(t, 10.0, mean)
	require.InDelta(t, 10-2.484, in.Low, 0.001) // 4.303 · 1/√3
	mean, in = scale.MeanInterval([]float64{4})
	require.Equal(t, scale.Interval{Low: 4, High: 4}, in)
	require.Equal(t, 4.0, mean)
}
