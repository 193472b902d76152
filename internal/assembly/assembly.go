// Package assembly puts a process together from parts: each may wrap the Decider of every worker, runs beside the
// others, and is ended in its turn. So learned state, several cores and the fleet compose without knowing each other.
package assembly

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"mothrouter/internal/decision"
)

// Make makes the Decider of one worker.
type Make func(worker int, set decision.Settings, seed uint64) decision.Decider

// Wrap puts something around a worker's Decider.
type Wrap func(worker int, inner decision.Decider) decision.Decider

// Part is one thing that runs beside the others.
type Part struct {
	Name string
	// Run runs until ctx ends; nil: the part has nothing to run.
	Run func(ctx context.Context)
	// Wrap is put around each worker's Decider, outside those of the parts before; nil: none.
	Wrap Wrap
}

// Assembly is a process's parts. The zero value has none. It is put together before it is started, by one goroutine.
type Assembly struct {
	Log     *slog.Logger
	parts   []Part
	running []running
}

type running struct {
	name string
	end  context.CancelFunc
	done chan struct{}
}

// slow is how long an end may last before a line tells of whom the process waits for.
const slow = 5 * time.Second

// Add adds a part. Parts are started in the order in which they were added, and ended in the reverse of it.
func (a *Assembly) Add(p Part) { a.parts = append(a.parts, p) }

// Decider makes deciders that all parts have wrapped.
func (a *Assembly) Decider(inner Make) Make {
	return func(worker int, set decision.Settings, seed uint64) decision.Decider {
		d := inner(worker, set, seed)
		for _, p := range a.parts {
			if p.Wrap != nil {
				d = p.Wrap(worker, d)
			}
		}
		return d
	}
}

// Start starts all parts.
func (a *Assembly) Start() {
	for _, p := range a.parts {
		if p.Run == nil {
			continue
		}
		ctx, end := context.WithCancel(context.Background())
		r := running{p.Name, end, make(chan struct{})}
		a.running = append(a.running, r)
		go func() {
			defer close(r.done)
			p.Run(ctx)
		}()
	}
}

// End ends the parts, the last one first: each has ended before the one that it may rest on.
func (a *Assembly) End() {
	for i := len(a.running) - 1; i >= 0; i-- {
		r := a.running[i]
		r.end()
		late := time.NewTimer(slow)
		var once sync.Once
		for waiting := true; waiting; {
			select {
			case <-r.done:
				waiting = false
			case <-late.C:
				once.Do(func() { a.Log.Warn("component slow to stop", "part", r.name) })
			}
		}
		late.Stop()
	}
	a.running = nil
}
