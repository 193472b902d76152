package scale

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"text/template"

	"mothrouter/internal/cluster/membership"
	"mothrouter/internal/transport/frame"
	"mothrouter/internal/transport/httpwire"
)

//go:embed capacity.md.tmpl
var pageTemplate string

// What the program and its example deployment fix, where no name is exported.
const (
	exampleOpenCap        = 267     // deploy/example.json: queries and parts held at most
	exampleSockets        = 1024    // deploy/example.json: descriptors
	serverFraction        = 3. / 8  // of them for record servers (internal/config)
	maxListLine           = 1 << 20 // bytes of a watch's longest line (internal/transport/httpwire)
	assumedValue          = 200     // bytes of a part's answer
	assumedServerFraction = 0.88    // of the machines are record servers: 4,600 of 4,600 + 590 + 4
	changesPerRestart     = 3       // changes of the list a restart: leaving, left, active
)

// Page renders docs/CAPACITY.md from the records. Every figure that was measured is taken from them; a row whose run is
// missing says so.
func Page(records []*Record) ([]byte, error) {
	p := page{records}
	t, err := template.New("page").Funcs(template.FuncMap{
		"mean": p.mean, "spread": p.spread, "slope": p.slope, "misses": p.targetTable, "runs": p.runs, "table": p.table,
		"num":    formatNumber,
		"add":    func(a, b float64) float64 { return a + b },
		"mul":    func(a, b float64) float64 { return a * b },
		"div":    func(a, b float64) float64 { return a / b },
		"beyond": p.valueBeyond, "reaches": p.sizeAtLimit,
		"callBytes": callBytes, "answerBytes": answerBytes, "openCap": func() float64 { return exampleOpenCap },
		"connections": func() float64 { return exampleSockets * serverFraction }, "line": func() float64 { return maxListLine },
		"body": func() float64 { return httpwire.MaxBody }, "most": func() float64 { return membership.MaxMembers },
		"slice3": func() []float64 { return partSizes }, "late": p.latePartsPerMillion, "hedged": p.lateHedgedPartsPerMillion,
		"distributed": p.distributionVerdict, "listChanges": listChanges, "value": func() float64 { return assumedValue },
	}).Parse(pageTemplate)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = t.Execute(&out, nil)
	return out.Bytes(), err
}

// listChanges are how often the list changes a day.
func listChanges() float64 {
	return (TargetRestarts + TargetFailures) * assumedServerFraction * changesPerRestart
}

func callBytes() float64 {
	id := frame.PartID(strings.Repeat("q", 16), 4000, false)
	call := frame.Call{ID: id, Shard: 4000, WaitMS: 240, Payload: make([]byte, servicePayloadSize)}
	return float64(len(frame.AppendCall(nil, call)))
}

func answerBytes() float64 {
	id := frame.PartID(strings.Repeat("q", 16), 4000, false)
	return float64(len(frame.Append(nil, 'R', id+" done 1 inflight=1,util=0.3\n"))) + assumedValue
}

type page struct{ records []*Record }

// earliestSuffix behind an experiment's name asks for its earliest record instead of its latest.
const earliestSuffix = "@first"

// record is the latest record of an experiment, or the earliest.
func (p page) record(experiment string) (*Record, error) {
	name, first := strings.CutSuffix(experiment, earliestSuffix)
	if !first {
		return Latest(p.records, name)
	}
	var earliest *Record
	for _, r := range p.records {
		if r.Experiment == name && (earliest == nil || r.Began.Before(earliest.Began)) {
			earliest = r
		}
	}
	if earliest == nil {
		return nil, fmt.Errorf("%w of %q", errNoRecord, name)
	}
	return earliest, nil
}

// latePartsPerMillion is how many parts in a million may be late, and hedged the same of a first copy that has a hedge behind it.
func (p page) latePartsPerMillion(parts, floor float64) (float64, error) {
	return p.mean("quantile", "late parts", fmt.Sprintf("parts=%g floor=%g", parts, floor))
}

func (p page) lateHedgedPartsPerMillion(parts, floor float64) (float64, error) {
	return p.mean("quantile", "late parts with a hedge", fmt.Sprintf("parts=%g floor=%g", parts, floor))
}

// parseSizes reads "servers=4600 parts=300".
func parseSizes(s string) (sizes []Size, err error) {
	for _, field := range strings.Fields(s) {
		name, value, ok := strings.Cut(field, "=")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			return nil, fmt.Errorf("scale: %q is no place", field)
		}
		sizes = append(sizes, Size{name, v})
	}
	return sizes, nil
}

func (p page) values(experiment, name, where string) ([]float64, error) {
	at, err := parseSizes(where)
	if err != nil {
		return nil, err
	}
	r, err := p.record(experiment)
	if errors.Is(err, errNoRecord) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	return r.At(name, at...)
}

// mean is a measured value; NaN: its run is missing.
func (p page) mean(experiment, name, where string) (float64, error) {
	values, err := p.values(experiment, name, where)
	if err != nil || values == nil {
		return math.NaN(), err
	}
	mean, _ := MeanInterval(values)
	return mean, nil
}

// spread is a measured value with its interval.
func (p page) spread(experiment, name, where string) (string, error) {
	values, err := p.values(experiment, name, where)
	if err != nil || values == nil {
		return notRun, err
	}
	mean, in := MeanInterval(values)
	if len(values) == 1 {
		return formatNumber(mean), nil
	}
	return fmt.Sprintf("%s ± %s", formatNumber(mean), formatNumber(in.High-mean)), nil
}

const notRun = "not run"

// formatNumber writes a number with three digits.
func formatNumber(x float64) string {
	switch {
	case math.IsNaN(x):
		return notRun
	case math.IsInf(x, 0):
		return "∞"
	case x == 0:
		return "0"
	}
	digits := max(2-int(math.Floor(math.Log10(math.Abs(x)))), 0)
	if digits == 0 {
		unit := math.Pow(10, math.Floor(math.Log10(math.Abs(x)))-2)
		return thousands(int64(math.Round(x/unit) * unit))
	}
	return strconv.FormatFloat(x, 'f', digits, 64)
}

func thousands(n int64) string {
	text := strconv.FormatInt(n, 10)
	for i := len(text) - 3; i > 0 && text[i-1] != '-'; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}

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

// slope is a row of the table of slopes: what, over what, form, exponent, rate, prediction, and the value at a size.
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

// valueAt is the cost at a size: the mean measured there, else what the slope says.
func (p page) valueAt(samples []Sample, slope Slope, x float64) (value float64, how string) {
	var there []float64
	for _, s := range samples {
		if s.X == x {
			there = append(there, s.Y)
		}
	}
	if len(there) > 0 {
		mean, _ := MeanInterval(there)
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

// fitted is the samples of a cost with their slope; without samples, if it was not run.
func (p page) fitted(experiment, name, axis, fixed string) (samples []Sample, slope Slope, err error) {
	if samples, _, err = p.samples(experiment, name, axis, fixed); samples != nil {
		slope, err = Fit(samples)
	}
	return samples, slope, err
}

// valueBeyond is the cost at a size, measured or by the slope.
func (p page) valueBeyond(experiment, name, axis, fixed string, x float64) (float64, error) {
	samples, slope, err := p.fitted(experiment, name, axis, fixed)
	if err != nil || samples == nil {
		return math.NaN(), err
	}
	value, _ := p.valueAt(samples, slope, x)
	return value, nil
}

// sizeAtLimit is the least size at which a cost reaches a limit by its slope; +Inf: it does not below ten times a million.
func (p page) sizeAtLimit(experiment, name, axis, fixed string, limit float64) (float64, error) {
	samples, slope, err := p.fitted(experiment, name, axis, fixed)
	if err != nil || samples == nil {
		return math.NaN(), err
	}
	const most = 1e7
	if slope.At(most) < limit {
		return math.Inf(1), nil
	}
	low, high := 1.0, most
	for range 100 {
		if mid := (low + high) / 2; slope.At(mid) < limit {
			low = mid
		} else {
			high = mid
		}
	}
	return high, nil
}

// table is one quantity at all points of an experiment's axis, a row a point.
func (p page) table(experiment, axis string, names ...string) (string, error) {
	r, err := p.record(experiment)
	if errors.Is(err, errNoRecord) {
		return notRun, nil
	} else if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "| %s | %s |\n|%s\n", axis, strings.Join(names, " | "), strings.Repeat(" --- |", len(names)+1))
	for _, point := range r.Points {
		fmt.Fprintf(&b, "| %s |", formatNumber(point.Sizes.Of(axis)))
		for _, name := range names {
			mean, in := MeanInterval(point.Values(name))
			if len(point.Values(name)) == 1 {
				fmt.Fprintf(&b, " %s |", formatNumber(mean))
				continue
			}
			fmt.Fprintf(&b, " %s ± %s |", formatNumber(mean), formatNumber(in.High-mean))
		}
		b.WriteByte('\n')
	}
	return strings.TrimSuffix(b.String(), "\n"), nil
}

// runs is the table of the records.
func (p page) runs() string {
	var b strings.Builder
	for _, r := range p.records {
		what := ""
		for _, part := range []struct{ label, text string }{{"real", r.Provenance.Real}, {"hollow", r.Provenance.Hollow},
			{"virtual", r.Provenance.Virtual}, {"computed", r.Provenance.Computed}} {
			if part.text != "" {
				what += fmt.Sprintf("**%s**: %s. ", part.label, part.text)
			}
		}
		fmt.Fprintf(&b, "| `%s-%s` | %d of %d points | %s|\n", r.Experiment, r.Commit, r.Repetitions, len(r.Points), what)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// distributionVerdict is the verdict on the distribution of configuration at the target. Its limits are TargetInForce and, of a
// follower, BudgetCore and BudgetBytes each way.
func (p page) distributionVerdict() (string, error) {
	verdict := "carries, without the log"
	for _, limit := range []struct {
		name string
		most float64
	}{
		{"in force at all", TargetInForce},
		{"processor", BudgetCore * 1e6},
		{"bytes in", BudgetBytes},
		{"bytes out", BudgetBytes},
	} {
		value, err := p.mean("configuration", limit.name, "brokers=590")
		if err != nil {
			return "", err
		}
		if math.IsNaN(value) {
			return notRun, nil
		}
		if value > limit.most {
			verdict = "carries not: " + limit.name
		}
	}
	return verdict, nil
}
