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
	exampleOpenCap        = 267     // limit on queries and parts in flight in deploy/example.json
	exampleDescriptors    = 1024    // limit on file descriptors in deploy/example.json
	serverFraction        = 3. / 8  // fraction of the descriptors for record servers (internal/config)
	maxListLine           = 1 << 20 // bytes; maximum length of a line of a watch (internal/transport/httpwire)
	assumedAnswerPayload  = 200     // bytes of the payload in a part's answer
	assumedServerFraction = 0.88    // fraction of record servers among the machines: 4,600 of 4,600 + 590 + 4
	changesPerRestart     = 3       // changes of the endpoint list per restart of a server: leaving, left, active
)

// Page renders docs/CAPACITY.md. All measured figures on the page come from the records. Figures of experiments without a
// record are rendered as not run.
func Page(records []*Record) ([]byte, error) {
	p := page{records}
	t, err := template.New("page").Funcs(template.FuncMap{
		"mean": p.mean, "spread": p.meanWithInterval, "slope": p.slopeRow, "misses": p.targetTable,
		"runs": p.runs, "table": p.table,
		"num":    formatNumber,
		"add":    func(a, b float64) float64 { return a + b },
		"mul":    func(a, b float64) float64 { return a * b },
		"div":    func(a, b float64) float64 { return a / b },
		"beyond": p.estimatedCost, "reaches": p.sizeAtLimit,
		"callBytes": callBytes, "answerBytes": answerBytes, "openCap": func() float64 { return exampleOpenCap },
		"connections": func() float64 { return exampleDescriptors * serverFraction }, "line": func() float64 { return maxListLine },
		"body": func() float64 { return httpwire.MaxBody }, "most": func() float64 { return membership.MaxMembers },
		"slice3": func() []float64 { return partSizes }, "late": p.latePartsPerMillion, "hedged": p.lateHedgedPartsPerMillion,
		"distributed": p.distributionVerdict, "listChanges": listChangesPerDay,
		"value": func() float64 { return assumedAnswerPayload },
	}).Parse(pageTemplate)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = t.Execute(&out, nil)
	return out.Bytes(), err
}

// listChangesPerDay returns the number of changes of the endpoint list per day.
func listChangesPerDay() float64 {
	return (TargetRestarts + TargetFailures) * assumedServerFraction * changesPerRestart
}

// callBytes returns the size in bytes of the frame that sends a part.
func callBytes() float64 {
	id := frame.PartID(strings.Repeat("q", 16), 4000, false)
	call := frame.Call{ID: id, Shard: 4000, WaitMS: 240, Payload: make([]byte, servicePayloadSize)}
	return float64(len(frame.AppendCall(nil, call)))
}

// answerBytes returns the size in bytes of the frame that answers a part.
func answerBytes() float64 {
	id := frame.PartID(strings.Repeat("q", 16), 4000, false)
	return float64(len(frame.Append(nil, 'R', id+" done 1 inflight=1,util=0.3\n"))) + assumedAnswerPayload
}

// page provides the functions that the template calls.
type page struct{ records []*Record }

// earliestSuffix at the end of an experiment's name selects the earliest record of the experiment instead of the latest.
const earliestSuffix = "@first"

// record returns the latest record of an experiment, or the earliest if the name ends in earliestSuffix. The error is
// errNoRecord if there is none.
func (p page) record(experiment string) (*Record, error) {
	name, wantEarliest := strings.CutSuffix(experiment, earliestSuffix)
	if !wantEarliest {
		return Latest(p.records, name)
	}
	var earliest *Record
	for _, r := range p.records {
		if r.Experiment == name && (earliest == nil || r.StartedAt.Before(earliest.StartedAt)) {
			earliest = r
		}
	}
	if earliest == nil {
		return nil, fmt.Errorf("%w of experiment %q", errNoRecord, name)
	}
	return earliest, nil
}

// latePartsPerMillion returns how many parts in a million may be late for TargetQuantile of the queries to be in time.
func (p page) latePartsPerMillion(parts, minCompleteness float64) (float64, error) {
	return p.mean("quantile", "late parts", fmt.Sprintf("parts=%g floor=%g", parts, minCompleteness))
}

// lateHedgedPartsPerMillion returns how many first attempts in a million may be late if each of them is hedged.
func (p page) lateHedgedPartsPerMillion(parts, minCompleteness float64) (float64, error) {
	return p.mean("quantile", "late parts with a hedge", fmt.Sprintf("parts=%g floor=%g", parts, minCompleteness))
}

// parseSizes parses sizes such as "servers=4600 parts=300".
func parseSizes(s string) (sizes []Size, err error) {
	for _, field := range strings.Fields(s) {
		name, value, ok := strings.Cut(field, "=")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			return nil, fmt.Errorf("scale: size %q not allowed, want AXIS=NUMBER such as parts=300", field)
		}
		sizes = append(sizes, Size{name, v})
	}
	return sizes, nil
}

// values returns the values of a measure in all repetitions at a point, or nil if the experiment has no record.
func (p page) values(experiment, name, point string) ([]float64, error) {
	sizes, err := parseSizes(point)
	if err != nil {
		return nil, err
	}
	r, err := p.record(experiment)
	if errors.Is(err, errNoRecord) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	return r.At(name, sizes...)
}

// mean returns the mean of a measure at a point, or NaN if the experiment has no record.
func (p page) mean(experiment, name, point string) (float64, error) {
	values, err := p.values(experiment, name, point)
	if err != nil || values == nil {
		return math.NaN(), err
	}
	mean, _ := MeanInterval(values)
	return mean, nil
}

// meanWithInterval returns the mean of a measure at a point and half the width of its confidence interval, as text.
func (p page) meanWithInterval(experiment, name, point string) (string, error) {
	values, err := p.values(experiment, name, point)
	if err != nil || values == nil {
		return notRun, err
	}
	mean, interval := MeanInterval(values)
	if len(values) == 1 {
		return formatNumber(mean), nil
	}
	return fmt.Sprintf("%s ± %s", formatNumber(mean), formatNumber(interval.High-mean)), nil
}

// notRun is rendered in place of figures of an experiment without a record.
const notRun = "not run"

// table returns a Markdown table with a row for each point of an experiment: its size on the axis and the named measures.
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
			mean, interval := MeanInterval(point.Values(name))
			if len(point.Values(name)) == 1 {
				fmt.Fprintf(&b, " %s |", formatNumber(mean))
				continue
			}
			fmt.Fprintf(&b, " %s ± %s |", formatNumber(mean), formatNumber(interval.High-mean))
		}
		b.WriteByte('\n')
	}
	return strings.TrimSuffix(b.String(), "\n"), nil
}

// runs returns the rows of the Markdown table of all records.
func (p page) runs() string {
	var b strings.Builder
	for _, r := range p.records {
		fmt.Fprintf(&b, "| `%s-%s` | %d of %d points | %s|\n", r.Experiment, r.Commit, r.Repetitions, len(r.Points),
			r.Provenance.markdown())
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// markdown returns the nonempty fields, each with its label in bold.
func (p Provenance) markdown() string {
	var b strings.Builder
	for _, field := range []struct{ label, description string }{
		{"real", p.Real}, {"hollow", p.Simulated}, {"virtual", p.Virtual}, {"computed", p.Computed},
	} {
		if field.description != "" {
			fmt.Fprintf(&b, "**%s**: %s. ", field.label, field.description)
		}
	}
	return b.String()
}

// distributionVerdict compares the measured distribution of configuration with its limits at the target and returns the
// verdict. The limits are TargetPropagationTime and, for a follower, BudgetCores and, in each direction, BudgetBytes.
func (p page) distributionVerdict() (string, error) {
	verdict := "carries, without the log"
	for _, limit := range []struct {
		name     string
		maxValue float64
	}{
		{"in force at all", TargetPropagationTime},
		{"processor", BudgetCores * 1e6},
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
