package simwire

import (
	"strings"

	"mothrouter/internal/decision"
)

// noLoadReport stands on the wire for an answer without a load report.
const noLoadReport = "-"

// millisecondsPerSecond converts the latency of a load report.
const millisecondsPerSecond = 1000

// loadReport reads a load report: name:value pairs separated by commas. Unknown names are skipped.
func (f *fields) loadReport() decision.LoadReport {
	report := decision.NoLoadReport
	rest := f.textOr("stats", "")
	for rest != "" && rest != noLoadReport {
		var pair string
		pair, rest, _ = strings.Cut(rest, ",")
		name, text, ok := strings.Cut(pair, ":")
		value, err := parseFinite(text)
		if !ok || err != nil {
			f.cannotRead("stats", pair)
			return report
		}
		setLoadValue(&report, name, value)
	}
	return report
}

// setLoadValue sets the value of a load report that has the name on the wire.
func setLoadValue(report *decision.LoadReport, name string, value float64) {
	switch name {
	case "rif":
		report.InFlight = value
	case "q":
		report.QueueLength = value
	case "busy":
		report.Utilization = value
	case "lat_ms":
		report.Latency = value / millisecondsPerSecond
	case "rate":
		report.Rate = value
	case "fail_rate":
		report.ErrorRate = value
	}
}
