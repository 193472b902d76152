package scale_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/harness/scale"
)

var sizes = []float64{200, 500, 1000, 2300, 4600}

// noisySamples returns five samples of a cost at each size, with normally distributed noise. The noise is the standard
// deviation as a fraction of the cost.
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
	for _, test := range []struct {
		form scale.Form
		cost func(x float64) float64
		rate float64
	}{
		{scale.Constant, func(float64) float64 { return 12 }, 12},
		{scale.Linear, func(x float64) float64 { return 40 + 0.3*x }, 0.3},
		{scale.LogLinear, func(x float64) float64 { return 5 + 0.02*x*math.Log2(x) }, 0.02},
		{scale.Quadratic, func(x float64) float64 { return 100 + 1e-3*x*x }, 1e-3},
	} {
		model, err := scale.Fit(noisySamples(test.cost, 0.01))
		require.NoError(t, err)
		require.Equal(t, test.form, model.Form, "%v", test.form)
		require.Less(t, model.RateInterval.Low, test.rate)
		require.Greater(t, model.RateInterval.High, test.rate)
		require.InEpsilon(t, test.cost(9200), model.At(9200), 0.05)
	}
}

// A run with a single repetition has only five samples, one at each size.
func TestFitWithSingleRepetitions(t *testing.T) {
	var linear, constant []scale.Sample
	for i, x := range sizes {
		noise := 1 + 0.02*float64(i%2)
		linear = append(linear, scale.Sample{X: x, Y: (40 + 0.05*x) * noise})
		constant = append(constant, scale.Sample{X: x, Y: 40 * noise})
	}
	model, err := scale.Fit(linear)
	require.NoError(t, err)
	require.Equal(t, scale.Linear, model.Form)
	model, err = scale.Fit(constant)
	require.NoError(t, err)
	require.Equal(t, scale.Constant, model.Form)
}

// With only three samples that scatter, the confidence interval of the rate includes zero.
func TestFitIsConstantIfRateMayBeZero(t *testing.T) {
	model, err := scale.Fit([]scale.Sample{{X: 40, Y: 4053}, {X: 100, Y: 3765}, {X: 200, Y: 5844}})
	require.NoError(t, err)
	require.Equal(t, scale.Constant, model.Form)
}

func TestFitIsConstantForFallingCost(t *testing.T) {
	model, err := scale.Fit(noisySamples(func(x float64) float64 { return 100 - x/100 }, 0.01))
	require.NoError(t, err)
	require.Equal(t, scale.Constant, model.Form)
}

func TestFitRejectsInvalidSamples(t *testing.T) {
	_, err := scale.Fit([]scale.Sample{{X: 1, Y: 1}, {X: 2, Y: 2}, {X: 2, Y: 2.1}})
	require.ErrorIs(t, err, scale.ErrTooFewSizes)
	_, err = scale.Fit([]scale.Sample{{X: 1, Y: 1}, {X: 2, Y: math.NaN()}, {X: 3, Y: 2}})
	require.ErrorIs(t, err, scale.ErrInvalidSample)
	_, err = scale.Fit([]scale.Sample{{X: 1, Y: 1}, {X: 2, Y: 0}, {X: 3, Y: 2}})
	require.ErrorIs(t, err, scale.ErrInvalidSample)
}

func TestFitExponentOfPowerLaw(t *testing.T) {
	e, err := scale.FitExponent(noisySamples(func(x float64) float64 { return 3 * math.Pow(x, 1.5) }, 0.02))
	require.NoError(t, err)
	require.InDelta(t, 1.5, e.Value, 0.02)
	require.Less(t, e.Interval.Low, 1.5)
	require.Greater(t, e.Interval.High, 1.5)
}

// The relative error of a prediction is within the limit for a linear cost, and exceeds it for a cost that grows faster
// beyond the fitted sizes.
func TestPredictDetectsFasterGrowthAtLargestSize(t *testing.T) {
	straight, err := scale.Predict(noisySamples(func(x float64) float64 { return 40 + 0.3*x }, 0.01))
	require.NoError(t, err)
	require.True(t, straight.WithinErrorLimit(), "%+v", straight)
	superlinear, err := scale.Predict(noisySamples(func(x float64) float64 {
		if x > 4000 {
			return 40 + 0.6*x
		}
		return 40 + 0.3*x
	}, 0.01))
	require.NoError(t, err)
	require.False(t, superlinear.WithinErrorLimit(), "%+v", superlinear)
	require.InDelta(t, -0.49, superlinear.RelativeError, 0.03)
}

func TestMeanInterval(t *testing.T) {
	mean, interval := scale.MeanInterval([]float64{9, 10, 11})
	require.Equal(t, 10.0, mean)
	require.InDelta(t, 10-2.484, interval.Low, 0.001) // 4.303 · 1/√3
	mean, interval = scale.MeanInterval([]float64{4})
	require.Equal(t, scale.Interval{Low: 4, High: 4}, interval)
	require.Equal(t, 4.0, mean)
}
