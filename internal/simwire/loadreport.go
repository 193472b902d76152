package simwire

import (
	"strings"

	"mothrouter/internal/decision"
)

// noLoadReport is the value of the field stats of a message without a load report.
const noLoadReport = "-"

// millisecondsPerSecond converts the latency of a load report to seconds.
const millisecondsPerSecond = 1000

// loadReport returns the load report of a message: name:value pairs separated by commas. Unknown names are skipped.
func (f *fields) loadReport() decision.LoadReport {
	report := decision.NoLoadReport
	rest := f.textOr("stats", "")
	for rest != "" && rest != noLoadReport {
		var pair string
		pair, rest, _ = strings.Cut(rest, ",")
		name, text, ok := strings.Cut(pair, ":")
		value, err := parseFinite(text)
		if !ok || err != nil {
			f.recordUnreadable("stats", pair)
			return report
		}
		setLoadValue(&report, name, value)
	}
	return report
}

// setLoadValue sets the load report value that has the given name on the wire.
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
