package frame

import (
	"bytes"
	"fmt"
	"math"
	"strconv"

	"mothrouter/internal/decision"
)

// ParseLoadReport parses a load report: name=value pairs separated by commas, or "-" for none. Each value has two names:
// that of the protocol, and that of the setting report.columns of deployments. Both are recognized; other names are ignored.
func ParseLoadReport(text []byte) (decision.LoadReport, error) {
	report := decision.NoLoadReport
	for len(text) > 0 && string(text) != "-" {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		name, number, ok := bytes.Cut(pair, []byte{'='})
		value, err := strconv.ParseFloat(string(number), 64)
		if !ok || err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return decision.NoLoadReport, fmt.Errorf("load report: %q, want NAME=VALUE with a finite VALUE of at least 0", pair)
		}
		setLoad(&report, name, value)
	}
	return report, nil
}

// setLoad sets the field of a report for a value's name, and ignores an unknown name.
func setLoad(report *decision.LoadReport, name []byte, value float64) {
	switch string(name) {
	case "inflight", "rif":
		report.InFlight = value
	case "queue", "q":
		report.QueueLength = value
	case "util", "busy":
		report.Utilization = value
	case "latency_ms", "lat_ms":
		report.Latency = value / 1000
	case "qps", "rate":
		report.Rate = value
	case "eps", "fail_rate":
		report.ErrorRate = value
	}
}
