package scale

import (
	"errors"
	"fmt"
	"math"
	"strconv"
)

func (p page) samples(experiment, name, axis, fixed string) ([]Sample, *Record, error) {
	at, err := parseSizes(fixed)
	if err != nil {
		return nil, nil, err
	}
	r, err := p.record(experiment)
	if errors.Is(err, errNoRecord) {
		return nil, nil, nil
	} else if err != nil {
		return nil, nil, err
	}
	return r.Samples(name, axis, at...), r, nil
}

// slope returns a row of the table of slopes: the measure, its axis, form, exponent, rate and prediction, and the cost
// at the target's size.
func (p page) slope(experiment, name, axis, fixed string, target float64) (string, error) {
	samples, r, err := p.samples(experiment, name, axis, fixed)
	if err != nil {
		return "", err
	}
	label := fmt.Sprintf("| %s: %s | %s", experiment, name, axis)
	if fixed != "" {
		label += ", " + fixed
	}
	if samples == nil {
		return label + " | " + notRun + " | | | | |", nil
	}
	slope, err := Fit(samples)
	if err != nil {
		return "", fmt.Errorf("%s %s: %w", experiment, name, err)
	}
	exponent, err := FitExponent(samples)
	if err != nil {
		return "", err
	}
	check := "too few sizes"
	prediction, err := Predict(samples)
	if err == nil {
		check = fmt.Sprintf("%+.0f %%", 100*prediction.Miss)
		if !prediction.WithinMissLimit() {
			check += ", **measured is used**"
		}
	} else if !errors.Is(err, ErrTooFew) {
		return "", err
	}
	value, how := p.valueAt(samples, slope, target)
	const row = "%s | %s | %.2f (%.2f to %.2f) | %s (%s to %s) | %s | %s %s at %s, %s | `%s-%s` |"
	return fmt.Sprintf(row, label, slope.Form, exponent.Value, exponent.Interval.Low, exponent.Interval.High,
		slopeRate(slope), formatRate(slope.RateInterval.Low),
		formatRate(slope.RateInterval.High), check, formatNumber(value), unitOf(r, name), formatNumber(target), how, r.Experiment, r.Commit), nil
}

func slopeRate(s Slope) string {
	if s.Form == Constant {
		return formatRate(s.Base)
	}
	return formatRate(s.Rate)
}

func formatRate(x float64) string { return strconv.FormatFloat(x, 'g', 3, 64) }

func unitOf(r *Record, name string) string {
	for _, m := range r.Points[0].Measures {
		if m.Name == name {
			return m.Unit
		}
	}
	return ""
}

// valueAt returns the cost at a size, which is the measured mean if there is one and else that of the slope, and how it
// was obtained.
func (p page) valueAt(samples []Sample, slope Slope, x float64) (value float64, how string) {
	var measured []float64
	for _, s := range samples {
		if s.X == x {
			measured = append(measured, s.Y)
		}
	}
	if len(measured) > 0 {
		mean, _ := MeanInterval(measured)
		return mean, "measured"
	}
	prediction, err := Predict(samples)
	if err != nil {
		return slope.At(x), "computed, unchecked: too few sizes to know"
	}
	if !prediction.WithinMissLimit() {
		return slope.At(x), "computed beyond what was measured, by a slope that missed"
	}
	return slope.At(x), "computed"
}

// fitted returns the samples of a cost with their slope, or nil samples if the experiment was not run.
func (p page) fitted(experiment, name, axis, fixed string) (samples []Sample, slope Slope, err error) {
	if samples, _, err = p.samples(experiment, name, axis, fixed); samples != nil {
		slope, err = Fit(samples)
	}
	return samples, slope, err
}

// valueBeyond returns the cost at a size, measured or by the slope, or NaN if the experiment was not run.
func (p page) valueBeyond(experiment, name, axis, fixed string, x float64) (float64, error) {
	samples, slope, err := p.fitted(experiment, name, axis, fixed)
	if err != nil || samples == nil {
		return math.NaN(), err
	}
	value, _ := p.valueAt(samples, slope, x)
	return value, nil
}

// maxSize is the largest size that sizeAtLimit considers.
const maxSize = 1e7

// sizeAtLimit returns the least size at which a cost reaches a limit by its slope, or +Inf if that is beyond maxSize.
func (p page) sizeAtLimit(experiment, name, axis, fixed string, limit float64) (float64, error) {
	samples, slope, err := p.fitted(experiment, name, axis, fixed)
	if err != nil || samples == nil {
		return math.NaN(), err
	}
	if slope.At(maxSize) < limit {
		return math.Inf(1), nil
	}
	low, high := 1.0, maxSize
	for range 100 {
		if mid := (low + high) / 2; slope.At(mid) < limit {
			low = mid
		} else {
			high = mid
		}
	}
	return high, nil
}
