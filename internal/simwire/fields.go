package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"mothrouter/internal/decision"
)

// fields are the name=value pairs of one line. The first failed reading is kept in err.
type fields struct {
	line int
	kind string
	vals map[string]string
	err  error
}

// toLineEnd are the fields whose value extends to the end of the line.
var toLineEnd = map[string]bool{"profileData": true, "line": true}

func (d *Decoder) parse(s string) (*fields, error) {
	kind, rest, _ := strings.Cut(s, " ")
	f := &fields{line: d.line, kind: kind, vals: make(map[string]string, 12)}
	if kind == "" {
		return nil, fmt.Errorf("line %d: empty where a message was expected", d.line)
	}
	for rest != "" {
		name, tail, ok := strings.Cut(rest, "=")
		if !ok || name == "" || strings.ContainsRune(name, ' ') {
			return nil, f.errorf("expected name=value pairs set apart by one space")
		}
		if toLineEnd[name] {
			f.vals[name] = tail
			break
		}
		f.vals[name], rest, _ = strings.Cut(tail, " ")
	}
	return f, nil
}

func (f *fields) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %s: %s", f.line, f.kind, fmt.Sprintf(format, args...))
}

func (f *fields) fail(name, value string) {
	if f.err == nil {
		f.err = f.errorf("field %s: cannot read %q", name, value)
	}
}

func (f *fields) text(name string) string {
	v, ok := f.vals[name]
	if (!ok || v == "") && f.err == nil {
		f.err = f.errorf("field %s is missing", name)
	}
	return v
}

func (f *fields) optText(name, absent string) string {
	if v, ok := f.vals[name]; ok {
		return v
	}
	return absent
}

func (f *fields) integer(name string) int64 {
	v := f.text(name)
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		f.fail(name, v)
	}
	return n
}

// optInteger is 0 where the field is absent.
func (f *fields) optInteger(name string) int64 {
	if _, ok := f.vals[name]; !ok {
		return 0
	}
	return f.integer(name)
}

func (f *fields) number(name string) float64 {
	v := f.text(name)
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.fail(name, v)
	}
	return n
}

// optNumber is 0 where the field is absent.
func (f *fields) optNumber(name string) float64 {
	if _, ok := f.vals[name]; !ok {
		return 0
	}
	return f.number(name)
}

func (f *fields) optBool(name string) bool {
	switch v := f.optText(name, "0"); v {
	case "1":
		return true
	case "0":
	default:
		f.fail(name, v)
	}
	return false
}

func (f *fields) request() decision.RequestID { return decision.RequestID(f.integer("msgId")) }

func (f *fields) status() decision.Status {
	v := f.text("rc")
	s, ok := statuses[v]
	if !ok {
		f.fail("rc", v)
	}
	return s
}

// load reads a load report: name:value pairs set apart by commas. Unknown names are ignored.
func (f *fields) load() decision.LoadReport {
	l := decision.NoLoadReport
	v := f.optText("stats", "")
	for v != "" && v != "-" {
		var pair string
		pair, v, _ = strings.Cut(v, ",")
		name, num, ok := strings.Cut(pair, ":")
		n, err := strconv.ParseFloat(num, 64)
		if !ok || err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			f.fail("stats", pair)
			return l
		}
		switch name {
		case "rif":
			l.InFlight = n
		case "q":
			l.QueueLength = n
		case "busy":
			l.Utilization = n
		case "lat_ms":
			l.Latency = n / 1000
		case "rate":
			l.Rate = n
		case "fail_rate":
			l.ErrorRate = n
		}
	}
	return l
}
