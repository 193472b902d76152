package scale

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Confidence is the confidence level of every interval: two-sided, by Student's t.
const Confidence = 0.95

// MissLimit is the relative error of a prediction up to which the page relies on it; beyond, it uses the measured value.
const MissLimit = 0.2

// aicMargin is by how much the AIC of a growing form has to be below that of the constant one. A difference below two is
// commonly regarded as none.
const aicMargin = 2

// Form is how a cost grows with a size.
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

// basis returns the growing term at a size.
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

// Sample is one measured value at one size.
type Sample struct{ X, Y float64 }

// Interval is a closed interval.
type Interval struct{ Low, High float64 }

// Slope is a fitted cost: Base + Rate·basis(x).
type Slope struct {
	Form Form
	Base float64 // at size zero
	Rate float64 // per unit of the form's basis; 0 if Form is Constant
	// RateInterval is the confidence interval of Rate, or of Base if Form is Constant.
	RateInterval Interval
	AIC          float64 // Akaike's information criterion
}

// At returns the cost at a size.
func (s Slope) At(x float64) float64 { return s.Base + s.Rate*s.Form.basis(x) }

// Errors of a fit.
var (
	ErrTooFew = errors.New("scale: a fit needs samples at three sizes at least")
	ErrValue  = errors.New("scale: a fit needs positive, finite sizes and costs")
)

// Fit returns the slope whose form explains the samples best by Akaike's criterion. Samples are weighted by the inverse
// square of their size's mean, as costs vary in proportion to themselves. A growing form is chosen only if its rate's
// interval is above zero; otherwise the cost is constant. The error is ErrTooFew or ErrValue.
func Fit(samples []Sample) (Slope, error) {
	weights, err := sampleWeights(samples)
	if err != nil {
		return Slope{}, err
	}
	best := fitForm(Constant, samples, weights)
	best.AIC -= aicMargin
	for _, form := range []Form{Linear, LogLinear, Quadratic} {
		if s := fitForm(form, samples, weights); s.RateInterval.Low > 0 && s.AIC < best.AIC {
			best = s
		}
	}
	return best, nil
}

// sampleWeights validates the samples and returns their weights.
func sampleWeights(samples []Sample) ([]float64, error) {
	sum, count := map[float64]float64{}, map[float64]float64{}
	for _, s := range samples {
		if !(s.X > 0 && s.Y > 0) || math.IsInf(s.X, 0) || math.IsInf(s.Y, 0) {
			return nil, fmt.Errorf("%w: %v", ErrValue, s)
		}
		sum[s.X] += s.Y
		count[s.X]++
	}
	if len(sum) < 3 {
		return nil, ErrTooFew
	}
	weights := make([]float64, len(samples))
	for i, s := range samples {
		mean := sum[s.X] / count[s.X]
		weights[i] = 1 / (mean * mean)
	}
	return weights, nil
}

// fitForm fits one form by weighted least squares.
func fitForm(form Form, samples []Sample, weights []float64) Slope {
	xs, ys := make([]float64, len(samples)), make([]float64, len(samples))
	for i, s := range samples {
		xs[i], ys[i] = form.basis(s.X), s.Y
	}
	slope, free := Slope{Form: form}, 2
	if form == Constant {
		slope.Base, free = stat.Mean(ys, weights), 1
	} else {
		slope.Base, slope.Rate = stat.LinearRegression(xs, ys, weights, false)
	}
	residual, total, spread := 0.0, 0.0, 0.0
	center := stat.Mean(xs, weights)
	for i, w := range weights {
		residual += w * square(ys[i]-slope.Base-slope.Rate*xs[i])
		total += w
		spread += w * square(xs[i]-center)
	}
	n := float64(len(samples))
	variance := residual / (n - float64(free))
	half := studentHalf(n - float64(free))
	if form == Constant {
		slope.RateInterval = intervalAround(slope.Base, half*math.Sqrt(variance/total))
	} else {
		slope.RateInterval = intervalAround(slope.Rate, half*math.Sqrt(variance/spread))
	}
	slope.AIC = akaike(residual, n, float64(free+1)) // the variance is a parameter too
	return slope
}

// correctFrom is the number of samples from which the criterion is corrected for small samples. With five, one at each
// size, the correction would outweigh any residual, and every cost would be constant.
const correctFrom = 10

// akaike returns the criterion of a least-squares fit, corrected for small samples from correctFrom samples on.
func akaike(residual, n, parameters float64) float64 {
	const exact = 1e-18 // least residual, so that its logarithm is finite
	criterion := n*math.Log(max(residual, exact)/n) + 2*parameters
	if n >= correctFrom {
		criterion += 2 * parameters * (parameters + 1) / (n - parameters - 1)
	}
	return criterion
}

// studentHalf returns the half width of an interval in standard errors, for a number of degrees of freedom.
func studentHalf(freedom float64) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile((1 + Confidence) / 2)
}

func intervalAround(center, half float64) Interval { return Interval{center - half, center + half} }

// Exponent is the power of the size with which the cost grows, by a straight line through logarithms.
type Exponent struct {
	Value    float64
	Interval Interval
}

// FitExponent returns the exponent of the samples.
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

// Prediction compares the largest size with what the smaller ones say of it.
type Prediction struct {
	X         float64
	Predicted float64
	Measured  float64 // mean
	Miss      float64 // (predicted - measured) / measured
}

// WithinMissLimit reports whether the prediction misses by no more than MissLimit.
func (p Prediction) WithinMissLimit() bool { return math.Abs(p.Miss) <= MissLimit }

// Predict fits all sizes but the largest and predicts the cost at that one. The error is that of Fit.
func Predict(samples []Sample) (Prediction, error) {
	if len(samples) == 0 {
		return Prediction{}, ErrTooFew
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
	slope, err := Fit(smaller)
	if err != nil {
		return Prediction{}, err
	}
	p := Prediction{X: largest, Predicted: slope.At(largest), Measured: stat.Mean(measured, nil)}
	p.Miss = (p.Predicted - p.Measured) / p.Measured
	return p, nil
}

// MeanInterval returns the mean of repeated values with its confidence interval, which is the value itself if there is
// only one.
func MeanInterval(values []float64) (mean float64, interval Interval) {
	mean = stat.Mean(values, nil)
	if len(values) < 2 {
		return mean, Interval{mean, mean}
	}
	n := float64(len(values))
	return mean, intervalAround(mean, studentHalf(n-1)*stat.StdDev(values, nil)/math.Sqrt(n))
}

func square(x float64) float64 { return x * x }
