package scale

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Confidence is the confidence level of all intervals, which are two-sided and use Student's t-distribution.
const Confidence = 0.95

// MaxRelativeError is the largest relative error of a prediction at which docs/CAPACITY.md still uses the fitted model.
// Above it, the page uses the measured value.
const MaxRelativeError = 0.2

// aicMargin is how far the AIC of a growing form must be below that of the constant form. A difference of less than 2 is
// commonly regarded as insignificant.
const aicMargin = 2

// Form is the functional form of a cost over a size.
type Form int

// The forms that Fit tries.
const (
	Constant Form = iota
	Linear
	LogLinear // n log n
	Quadratic
)

func (f Form) String() string {
	return [...]string{"constant", "linear", "n log n", "quadratic"}[f]
}

// basis returns the size-dependent term of the form at a size, and 0 for Constant.
func (f Form) basis(x float64) float64 {
	switch f {
	case Linear:
		return x
	case LogLinear:
		return x * math.Log2(max(x, 1))
	case Quadratic:
		return x * x
	}
	return 0
}

// Sample is a measured cost Y at a size X.
type Sample struct{ X, Y float64 }

// Interval is a confidence interval with inclusive bounds.
type Interval struct{ Low, High float64 }

// CostModel is a fitted cost function: Base + Rate·basis(x) for a size x.
type CostModel struct {
	Form Form
	Base float64 // cost where the form's basis is zero
	Rate float64 // cost per unit of the form's basis; 0 if Form is Constant
	// RateInterval is the confidence interval of Rate, or of Base if Form is Constant.
	RateInterval Interval
	AIC          float64 // Akaike's information criterion
}

// At returns the model's cost at a size.
func (m CostModel) At(x float64) float64 { return m.Base + m.Rate*m.Form.basis(x) }

// Errors returned by Fit, FitExponent and Predict.
var (
	ErrTooFewSizes   = errors.New("scale: a fit needs samples at three or more sizes")
	ErrInvalidSample = errors.New("scale: a fit needs positive, finite sizes and costs")
)

// Fit returns the cost model whose form explains the samples best by Akaike's information criterion. Each sample is
// weighted by the inverse square of the mean cost at its size, because the spread of a cost is proportional to the cost. A
// growing form is chosen only if the confidence interval of its rate is above zero; otherwise the model is constant. The
// error is ErrTooFewSizes or ErrInvalidSample.
func Fit(samples []Sample) (CostModel, error) {
	weights, err := sampleWeights(samples)
	if err != nil {
		return CostModel{}, err
	}
	best := fitForm(Constant, samples, weights)
	best.AIC -= aicMargin
	for _, form := range []Form{Linear, LogLinear, Quadratic} {
		if model := fitForm(form, samples, weights); model.RateInterval.Low > 0 && model.AIC < best.AIC {
			best = model
		}
	}
	return best, nil
}

// sampleWeights validates the samples and returns their weights.
func sampleWeights(samples []Sample) ([]float64, error) {
	sum, count := map[float64]float64{}, map[float64]float64{}
	for _, s := range samples {
		if !(s.X > 0 && s.Y > 0) || math.IsInf(s.X, 0) || math.IsInf(s.Y, 0) {
			return nil, fmt.Errorf("%w: %v", ErrInvalidSample, s)
		}
		sum[s.X] += s.Y
		count[s.X]++
	}
	if len(sum) < 3 {
		return nil, ErrTooFewSizes
	}
	weights := make([]float64, len(samples))
	for i, s := range samples {
		mean := sum[s.X] / count[s.X]
		weights[i] = 1 / (mean * mean)
	}
	return weights, nil
}

// fitForm fits a cost model of one form by weighted least squares.
func fitForm(form Form, samples []Sample, weights []float64) CostModel {
	xs, ys := make([]float64, len(samples)), make([]float64, len(samples))
	for i, s := range samples {
		xs[i], ys[i] = form.basis(s.X), s.Y
	}
	model, coefficients := CostModel{Form: form}, 2
	if form == Constant {
		model.Base, coefficients = stat.Mean(ys, weights), 1
	} else {
		model.Base, model.Rate = stat.LinearRegression(xs, ys, weights, false)
	}
	residual, weightSum, sumSquaresX := 0.0, 0.0, 0.0
	center := stat.Mean(xs, weights)
	for i, w := range weights {
		residual += w * square(ys[i]-model.Base-model.Rate*xs[i])
		weightSum += w
		sumSquaresX += w * square(xs[i]-center)
	}
	n := float64(len(samples))
	variance := residual / (n - float64(coefficients))
	critical := studentCriticalValue(n - float64(coefficients))
	if form == Constant {
		model.RateInterval = intervalAround(model.Base, critical*math.Sqrt(variance/weightSum))
	} else {
		model.RateInterval = intervalAround(model.Rate, critical*math.Sqrt(variance/sumSquaresX))
	}
	model.AIC = akaike(residual, n, float64(coefficients+1)) // the variance is an estimated parameter as well
	return model
}

// smallSampleCorrectionFrom is the number of samples from which AIC is corrected for small samples (AICc). With five
// samples, one at each size, the correction would outweigh any residual, and every cost would be fitted as constant.
const smallSampleCorrectionFrom = 10

// akaike returns the AIC of a least-squares fit, or the AICc if n is at least smallSampleCorrectionFrom.
func akaike(residual, n, parameters float64) float64 {
	const minResidual = 1e-18 // keeps the logarithm of a perfect fit finite
	criterion := n*math.Log(max(residual, minResidual)/n) + 2*parameters
	if n >= smallSampleCorrectionFrom {
		criterion += 2 * parameters * (parameters + 1) / (n - parameters - 1)
	}
	return criterion
}

// studentCriticalValue returns the critical value of Student's t-distribution at Confidence, which is half the width of a
// confidence interval in standard errors.
func studentCriticalValue(degreesOfFreedom float64) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile((1 + Confidence) / 2)
}

func intervalAround(center, halfWidth float64) Interval {
	return Interval{center - halfWidth, center + halfWidth}
}

// Exponent is the power of the size with which a cost grows: the slope of a straight line fitted to the logarithms.
type Exponent struct {
	Value    float64
	Interval Interval
}

// FitExponent fits the exponent of the samples. The error is ErrTooFewSizes or ErrInvalidSample.
func FitExponent(samples []Sample) (Exponent, error) {
	if _, err := sampleWeights(samples); err != nil {
		return Exponent{}, err
	}
	logs, weights := make([]Sample, len(samples)), make([]float64, len(samples))
	for i, s := range samples {
		logs[i], weights[i] = Sample{math.Log(s.X), math.Log(s.Y)}, 1
	}
	line := fitForm(Linear, logs, weights)
	return Exponent{line.Rate, line.RateInterval}, nil
}

// Prediction compares the cost measured at the largest size with the cost that a model of the smaller sizes predicts.
type Prediction struct {
	X             float64 // the largest size
	Predicted     float64
	Measured      float64 // mean of the samples at X
	RelativeError float64 // (Predicted - Measured) / Measured
}

// WithinErrorLimit reports whether the magnitude of the relative error is at most MaxRelativeError.
func (p Prediction) WithinErrorLimit() bool { return math.Abs(p.RelativeError) <= MaxRelativeError }

// Predict fits a model to all sizes except the largest and predicts the cost at the largest. The error is that of Fit.
func Predict(samples []Sample) (Prediction, error) {
	if len(samples) == 0 {
		return Prediction{}, ErrTooFewSizes
	}
	largest := slices.MaxFunc(samples, func(a, b Sample) int { return int(math.Copysign(1, a.X-b.X)) }).X
	var smaller []Sample
	var measured []float64
	for _, s := range samples {
		if s.X == largest {
			measured = append(measured, s.Y)
		} else {
			smaller = append(smaller, s)
		}
	}
	model, err := Fit(smaller)
	if err != nil {
		return Prediction{}, err
	}
	p := Prediction{X: largest, Predicted: model.At(largest), Measured: stat.Mean(measured, nil)}
	p.RelativeError = (p.Predicted - p.Measured) / p.Measured
	return p, nil
}

// MeanInterval returns the mean of repeated values and its confidence interval. The interval of a single value has zero
// width.
func MeanInterval(values []float64) (mean float64, interval Interval) {
	mean = stat.Mean(values, nil)
	if len(values) < 2 {
		return mean, Interval{mean, mean}
	}
	n := float64(len(values))
	return mean, intervalAround(mean, studentCriticalValue(n-1)*stat.StdDev(values, nil)/math.Sqrt(n))
}

func square(x float64) float64 { return x * x }
