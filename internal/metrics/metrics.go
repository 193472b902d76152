// Package metrics counts what a process has done and writes it in the form in which operators fetch it. Counters are
// atomics: they are read whatever the load, without asking a loop that may be busy.
package metrics

import (
	"sort"
	"strconv"
	"sync/atomic"
)

// Class counts the requests of one class by how they ended, and the attempts of their parts.
type Class struct{ Fulfilled, Throttled, Faulted, Sent atomic.Uint64 }

// Gauges are figures of the present moment.
type Gauges struct {
	Queries   int // in flight
	Endpoints int // record servers on the list
	Avoided   int // of those, the ones that get no work now: they drain, or fail each time
}

// Counters is a process's counts. Make it with New.
type Counters struct {
	classNames []string // by class
	classes    []Class
	gauges     func() Gauges
}

// New returns counts of 0 for the classes, and asks gauges for what holds.
func New(classes map[string]int, gauges func() Gauges) *Counters {
	t := &Counters{classNames: make([]string, len(classes)), classes: make([]Class, len(classes)), gauges: gauges}
	for name, i := range classes {
		t.classNames[i] = name
	}
	return t
}

// RecordResponse counts a request by the status that its client was answered with.
func (t *Counters) RecordResponse(class, status int) {
	if t == nil || class < 0 || class >= len(t.classes) {
		return
	}
	switch c := &t.classes[class]; status {
	case 200:
		c.Fulfilled.Add(1)
	case 429, 503:
		c.Throttled.Add(1)
	default:
		c.Faulted.Add(1)
	}
}

// RecordSent counts an attempt that was written whole.
func (t *Counters) RecordSent(class int) {
	if t != nil && class >= 0 && class < len(t.classes) {
		t.classes[class].Sent.Add(1)
	}
}

// Append writes all figures, a line each, behind b.
func (t *Counters) Append(b []byte) []byte {
	line := func(name string, v uint64, kind byte) {
		b = append(append(b, "svc."...), name...)
		b = append(strconv.AppendUint(append(b, ':'), v, 10), '|', kind, '\n')
	}
	order := make([]int, len(t.classNames))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool { return t.classNames[order[a]] < t.classNames[order[b]] })
	for _, i := range order {
		c, name := &t.classes[i], "operations."+t.classNames[i]+"."
		line(name+"fulfilled", c.Fulfilled.Load(), 'c')
		line(name+"throttled", c.Throttled.Load(), 'c')
		line(name+"faulted", c.Faulted.Load(), 'c')
		line(name+"relayed", c.Sent.Load(), 'c')
	}
	g := t.gauges()
	line("open_requests", uint64(max(g.Queries, 0)), 'g')
	line("registry_entries", uint64(max(g.Endpoints, 0)), 'g')
	line("out_of_rotation", uint64(max(g.Avoided, 0)), 'g')
	return b
}
