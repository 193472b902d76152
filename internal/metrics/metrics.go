// Package metrics counts what a process has done and writes it in the form in which operators fetch it. Counters are
// atomics: they are read whatever the load, without a request to a loop that may be busy.
package metrics

import (
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
)

// Class counts the requests of one class by their final answers, and the attempts of their parts.
type Class struct {
	Fulfilled atomic.Uint64 // requests answered 200
	Throttled atomic.Uint64 // requests answered 429 or 503
	Faulted   atomic.Uint64 // requests with any other answer
	Sent      atomic.Uint64 // attempts that were written completely to a record server
}

// Gauges are values of the present moment.
type Gauges struct {
	Queries   int // in flight
	Endpoints int // record servers on the endpoint list
	Avoided   int // record servers on the endpoint list that receive no work now, as they drain or are unhealthy
}

// Counters are the counters of a process. Make them with New. Their methods may be called by any goroutine; the Record
// methods do nothing on a nil *Counters.
type Counters struct {
	classNames []string // by class
	classes    []Class
	gauges     func() Gauges
}

// New returns counters at 0 for the classes, which are given by name, and gauges that are read by the given function.
func New(classes map[string]int, gauges func() Gauges) *Counters {
	c := &Counters{classNames: make([]string, len(classes)), classes: make([]Class, len(classes)), gauges: gauges}
	for name, class := range classes {
		c.classNames[class] = name
	}
	return c
}

// class returns the counters of a class, or nil for one that does not exist.
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

// RecordSent counts an attempt that was written completely.
func (c *Counters) RecordSent(class int) {
	if counters := c.class(class); counters != nil {
		counters.Sent.Add(1)
	}
}

// The types of a metric, as the form of a line has them.
const (
	typeCounter = 'c'
	typeGauge   = 'g'
)

// Append appends a line for each metric to b and returns it. Classes are in the order of their names.
func (c *Counters) Append(b []byte) []byte {
	order := make([]int, len(c.classNames))
	for class := range order {
		order[class] = class
	}
	slices.SortFunc(order, func(x, y int) int { return strings.Compare(c.classNames[x], c.classNames[y]) })
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

// nonNegative returns a gauge's value, or 0 for one that is negative in passing.
func nonNegative(value int) uint64 { return uint64(max(value, 0)) }

// appendMetric appends a line such as svc.open_requests:3|g.
func appendMetric(b []byte, name string, value uint64, metricType byte) []byte {
	b = append(b, "svc."...)
	b = append(b, name...)
	b = append(b, ':')
	b = strconv.AppendUint(b, value, 10)
	b = append(b, '|', metricType)
	return append(b, '\n')
}
