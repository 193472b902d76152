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

// Limits of the program and its example deployment that no package exports.
const (
	exampleOpenCap        = 267     // deploy/example.json: queries and parts in flight
	exampleSockets        = 1024    // deploy/example.json: descriptors
	serverFraction        = 3. / 8  // of them for record servers (internal/config)
	maxListLine           = 1 << 20 // bytes of a watch's longest line (internal/transport/httpwire)
	assumedValue          = 200     // bytes of a part's answer
	assumedServerFraction = 0.88    // of the machines are record servers: 4,600 of 4,600 + 590 + 4
	changesPerRestart     = 3       // of the endpoint list: leaving, left, active
)

// Page renders docs/CAPACITY.md from the records, from which it takes every measured figure. The row of an experiment
// without a record says that it was not run.
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

// listChanges returns how often the endpoint list changes in a day.
func listChanges() float64 {
	return (TargetRestarts + TargetFailures) * assumedServerFraction * changesPerRestart
}

// callBytes returns the size of a part's send frame.
func callBytes() float64 {
	id := frame.PartID(strings.Repeat("q", 16), 4000, false)
	call := frame.Call{ID: id, Shard: 4000, WaitMS: 240, Payload: make([]byte, servicePayloadSize)}
	return float64(len(frame.AppendCall(nil, call)))
}

// answerBytes returns the size of a part's response frame.
func answerBytes() float64 {
	id := frame.PartID(strings.Repeat("q", 16), 4000, false)
	return float64(len(frame.Append(nil, 'R', id+" done 1 inflight=1,util=0.3\n"))) + assumedValue
}

// page has the functions of the template.
type page struct{ records []*Record }

// earliestSuffix behind an experiment's name selects its earliest record instead of its latest.
const earliestSuffix = "@first"

// record returns the latest record of an experiment, or the earliest if the name ends in earliestSuffix. The error is
// errNoRecord if there is none.
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

// latePartsPerMillion returns how many parts in a million may be late.
func (p page) latePartsPerMillion(parts, minCompleteness float64) (float64, error) {
	return p.mean("quantile", "late parts", fmt.Sprintf("parts=%g floor=%g", parts, minCompleteness))
}

// lateHedgedPartsPerMillion returns how many first attempts in a million may be late if a hedge follows them.
func (p page) lateHedgedPartsPerMillion(parts, minCompleteness float64) (float64, error) {
	return p.mean("quantile", "late parts with a hedge", fmt.Sprintf("parts=%g floor=%g", parts, minCompleteness))
}

// parseSizes parses sizes such as "servers=4600 parts=300".
func parseSizes(s string) (sizes []Size, err error) {
	for _, field := range strings.Fields(s) {
		name, value, ok := strings.Cut(field, "=")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			return nil, fmt.Errorf("scale: %q is no size such as parts=300", field)
		}
		sizes = append(sizes, Size{name, v})
	}
	return sizes, nil
}

// values returns the repeated values of a measure at a point, or nil if the experiment was not run.
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

// mean returns the mean of a measure at a point, or NaN if the experiment was not run.
func (p page) mean(experiment, name, where string) (float64, error) {
	values, err := p.values(experiment, name, where)
	if err != nil || values == nil {
		return math.NaN(), err
	}
	mean, _ := MeanInterval(values)
	return mean, nil
}

// spread returns the mean of a measure at a point with half its confidence interval, as text.
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

// notRun is printed for an experiment without a record.
const notRun = "not run"

// table returns measures at all points along an experiment's axis, as a Markdown table.
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

// runs returns the rows of the table of records.
func (p page) runs() string {
	var b strings.Builder
	for _, r := range p.records {
		fmt.Fprintf(&b, "| `%s-%s` | %d of %d points | %s|\n", r.Experiment, r.Commit, r.Repetitions, len(r.Points),
			r.Provenance.markdown())
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// markdown returns the fields that are not empty, each with its label in bold.
func (p Provenance) markdown() string {
	var b strings.Builder
	for _, field := range []struct{ label, description string }{
		{"real", p.Real}, {"hollow", p.Hollow}, {"virtual", p.Virtual}, {"computed", p.Computed},
	} {
		if field.description != "" {
			fmt.Fprintf(&b, "**%s**: %s. ", field.label, field.description)
		}
	}
	return b.String()
}

// distributionVerdict returns the verdict on the distribution of configuration at the target. Its limits are
// TargetInForce and, for a follower, BudgetCore and BudgetBytes each way.
func (p page) distributionVerdict() (string, error) {
	verdict := "carries, without the log"
	for _, limit := range []struct {
		name     string
		maxValue float64
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
		if value > limit.maxValue {
			verdict = "carries not: " + limit.name
		}
	}
	return verdict, nil
}
