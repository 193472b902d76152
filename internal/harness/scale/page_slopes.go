package scale

import (
	"errors"
	"fmt"
	"math"
	"strconv"
)

// samples returns the samples of a measure along an axis, at the points with fixed sizes on other axes, and their record.
// Both are nil if the experiment has no record.
func (p page) samples(experiment, name, axis, fixedSizes string) ([]Sample, *Record, error) {
	sizes, err := parseSizes(fixedSizes)
	if err != nil {
		return nil, nil, err
	}
	r, err := p.record(experiment)
	if errors.Is(err, errNoRecord) {
		return nil, nil, nil
	} else if err != nil {
		return nil, nil, err
	}
	return r.Samples(name, axis, sizes...), r, nil
}

// slopeRow returns a row of the table of fitted cost models: the measure, its axis, the model's form, exponent and rate, the
// error of its prediction, and the cost at the target's size.
func (p page) slopeRow(experiment, name, axis, fixedSizes string, target float64) (string, error) {
	samples, r, err := p.samples(experiment, name, axis, fixedSizes)
	if err != nil {
		return "", err
	}
	label := fmt.Sprintf("| %s: %s | %s", experiment, name, axis)
	if fixedSizes != "" {
		label += ", " + fixedSizes
	}
	if samples == nil {
		return label + " | " + notRun + " | | | | |", nil
	}
	model, err := Fit(samples)
	if err != nil {
		return "", fmt.Errorf("fit %q of experiment %s: %w", name, experiment, err)
	}
	exponent, err := FitExponent(samples)
	if err != nil {
		return "", err
	}
	predictionError := "too few sizes"
	prediction, err := Predict(samples)
	if err == nil {
		predictionError = fmt.Sprintf("%+.0f %%", 100*prediction.RelativeError)
		if !prediction.WithinErrorLimit() {
			predictionError += ", **measured is used**"
		}
	} else if !errors.Is(err, ErrTooFewSizes) {
		return "", err
	}
	value, source := p.costAt(samples, model, target)
	const row = "%s | %s | %.2f (%.2f to %.2f) | %s (%s to %s) | %s | %s %s at %s, %s | `%s-%s` |"
	return fmt.Sprintf(row, label, model.Form, exponent.Value, exponent.Interval.Low, exponent.Interval.High,
		formatModelRate(model), formatRate(model.RateInterval.Low), formatRate(model.RateInterval.High), predictionError,
		formatNumber(value), unitOfMeasure(r, name), formatNumber(target), source, r.Experiment, r.Commit), nil
}

// formatModelRate formats the model's rate, or its base if its form is Constant.
func formatModelRate(m CostModel) string {
	if m.Form == Constant {
		return formatRate(m.Base)
	}
	return formatRate(m.Rate)
}

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'g', 3, 64) }

// unitOfMeasure returns the unit of a measure, or "" if the record's first point does not have it.
func unitOfMeasure(r *Record, name string) string {
	for _, m := range r.Points[0].Measures {
		if m.Name == name {
			return m.Unit
		}
	}
	return ""
}

// costAt returns the cost at a size x and how it was obtained. The cost is the measured mean if x was measured, and that of
// the model otherwise.
func (p page) costAt(samples []Sample, model CostModel, x float64) (value float64, source string) {
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
		return model.At(x), "computed, unchecked: too few sizes to know"
	}
	if !prediction.WithinErrorLimit() {
		return model.At(x), "computed beyond what was measured, by a slope that missed"
	}
	return model.At(x), "computed"
}

// fitSamples returns the samples of a cost and their fitted model. The samples are nil if the experiment has no record.
func (p page) fitSamples(experiment, name, axis, fixedSizes string) (samples []Sample, model CostModel, err error) {
	if samples, _, err = p.samples(experiment, name, axis, fixedSizes); samples != nil {
		model, err = Fit(samples)
	}
	return samples, model, err
}

// estimatedCost returns the cost at a size x, measured or computed by the fitted model, or NaN if the experiment has no
// record.
func (p page) estimatedCost(experiment, name, axis, fixedSizes string, x float64) (float64, error) {
	samples, model, err := p.fitSamples(experiment, name, axis, fixedSizes)
	if err != nil || samples == nil {
		return math.NaN(), err
	}
	value, _ := p.costAt(samples, model, x)
	return value, nil
}

// maxSize is the largest size that sizeAtLimit searches.
const maxSize = 1e7

// sizeAtLimit returns the smallest size at which the cost computed by the fitted model reaches a limit. It returns +Inf if
// that size is above maxSize, and NaN if the experiment has no record.
func (p page) sizeAtLimit(experiment, name, axis, fixedSizes string, limit float64) (float64, error) {
	samples, model, err := p.fitSamples(experiment, name, axis, fixedSizes)
	if err != nil || samples == nil {
		return math.NaN(), err
	}
	if model.At(maxSize) < limit {
		return math.Inf(1), nil
	}
	low, high := 1.0, maxSize
	for range 100 {
		if mid := (low + high) / 2; model.At(mid) < limit {
			low = mid
		} else {
			high = mid
		}
	}
	return high, nil
}
