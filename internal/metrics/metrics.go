// Package metrics counts requests and attempts and formats the metrics that operators fetch. Counters are atomics, so reading
// them needs no response from an event loop that may be busy.
package metrics

import (
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
)

// Class holds the counters of one class: requests by their final answer, and attempts of their parts.
type Class struct {
	Fulfilled atomic.Uint64 // requests answered with status 200
	Throttled atomic.Uint64 // requests answered with status 429 or 503
	Faulted   atomic.Uint64 // requests answered with any other status
	Sent      atomic.Uint64 // attempts that were completely written to a record server
}

// Gauges holds the current values of the metrics of type gauge.
type Gauges struct {
	Queries   int // queries in flight
	Endpoints int // record servers on the endpoint list
	Avoided   int // record servers on the endpoint list that currently receive no work because they are draining or unhealthy
}

// Counters holds the metrics of a process. It is created by New. Its methods are safe for concurrent use; the Record methods
// do nothing on a nil *Counters.
type Counters struct {
	classNames []string      // by class index
	classes    []Class       // by class index
	gauges     func() Gauges // returns the current values
}

// New returns counters that start at 0. The argument classes maps class names to indexes; gauges returns the current values
// of the gauges.
func New(classes map[string]int, gauges func() Gauges) *Counters {
	counters := &Counters{classNames: make([]string, len(classes)), classes: make([]Class, len(classes)), gauges: gauges}
	for name, class := range classes {
		counters.classNames[class] = name
	}
	return counters
}

// class returns the counters of a class, or nil if the class does not exist or c is nil.
func (c *Counters) class(class int) *Class {
	if c == nil || class < 0 || class >= len(c.classes) {
		return nil
	}
	return &c.classes[class]
}

// RecordResponse counts a request by the HTTP status of its final answer.
func (c *Counters) RecordResponse(class, status int) {
	counters := c.class(class)
	if counters == nil {
		return
	}
	switch status {
	case 200:
		counters.Fulfilled.Add(1)
	case 429, 503:
		counters.Throttled.Add(1)
	default:
		counters.Faulted.Add(1)
	}
}

// RecordSent counts an attempt that was completely written to a record server.
func (c *Counters) RecordSent(class int) {
	if counters := c.class(class); counters != nil {
		counters.Sent.Add(1)
	}
}

// Metric types, as they appear at the end of a line.
const (
	typeCounter = 'c'
	typeGauge   = 'g'
)

// Append appends one line per metric to b and returns the extended slice. Classes are sorted by name.
func (c *Counters) Append(b []byte) []byte {
	order := make([]int, len(c.classNames))
	for class := range order {
		order[class] = class
	}
	slices.SortFunc(order, func(left, right int) int { return strings.Compare(c.classNames[left], c.classNames[right]) })
	for _, class := range order {
		counters, prefix := &c.classes[class], "operations."+c.classNames[class]+"."
		b = appendMetric(b, prefix+"fulfilled", counters.Fulfilled.Load(), typeCounter)
		b = appendMetric(b, prefix+"throttled", counters.Throttled.Load(), typeCounter)
		b = appendMetric(b, prefix+"faulted", counters.Faulted.Load(), typeCounter)
		b = appendMetric(b, prefix+"relayed", counters.Sent.Load(), typeCounter)
	}
	gauges := c.gauges()
	b = appendMetric(b, "open_requests", nonNegative(gauges.Queries), typeGauge)
	b = appendMetric(b, "registry_entries", nonNegative(gauges.Endpoints), typeGauge)
	b = appendMetric(b, "out_of_rotation", nonNegative(gauges.Avoided), typeGauge)
	return b
}

// nonNegative returns the value of a gauge, or 0 if it is negative, which it can be temporarily.
func nonNegative(value int) uint64 { return uint64(max(value, 0)) }

// appendMetric appends the line of one metric, for example svc.open_requests:3|g.
func appendMetric(b []byte, name string, value uint64, metricType byte) []byte {
	b = append(b, "svc."...)
	b = append(b, name...)
	b = append(b, ':')
	b = strconv.AppendUint(b, value, 10)
	b = append(b, '|', metricType)
	return append(b, '\n')
}
