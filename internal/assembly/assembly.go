// Package assembly starts and stops the components of a broker's process. Each may wrap the Decider of every worker and
// run a goroutine of its own. So saved state, several cores and fleet membership compose without knowing each other.
package assembly

import (
	"context"
	"log/slog"
	"time"

	"mothrouter/internal/decision"
)

// NewDecider creates the Decider of one worker.
type NewDecider func(worker int, set decision.Settings, seed uint64) decision.Decider

// WrapDecider returns a Decider that wraps a worker's, such as one that observes its events.
type WrapDecider func(worker int, inner decision.Decider) decision.Decider

// Component is a part of the process beside the core.
type Component struct {
	Name string // for the log
	// Run runs until ctx ends; nil: the component only wraps Deciders.
	Run func(ctx context.Context)
	// Wrap wraps each worker's Decider, outside the wrappers of the components that were added before; nil: none.
	Wrap WrapDecider
}

// Assembly is the set of a process's components. The zero value has none. One goroutine adds them all before Start.
type Assembly struct {
	Log        *slog.Logger // of warnings about components that stop slowly
	components []Component
	running    []runningComponent
}

type runningComponent struct {
	name string
	end  context.CancelFunc
	done chan struct{}
}

// slowStopTimeout is how long a component may take to stop before a warning names it.
const slowStopTimeout = 5 * time.Second

// Add adds a component. Components are started in the order in which they were added and stopped in reverse.
func (a *Assembly) Add(p Component) { a.components = append(a.components, p) }

// Decider returns a function that creates Deciders wrapped by all components.
func (a *Assembly) Decider(inner NewDecider) NewDecider {
	return func(worker int, set decision.Settings, seed uint64) decision.Decider {
		d := inner(worker, set, seed)
		for _, p := range a.components {
			if p.Wrap != nil {
				d = p.Wrap(worker, d)
			}
		}
		return d
	}
}

// Start starts all components.
func (a *Assembly) Start() {
	for _, p := range a.components {
		if p.Run == nil {
			continue
		}
		ctx, end := context.WithCancel(context.Background())
		r := runningComponent{p.Name, end, make(chan struct{})}
		a.running = append(a.running, r)
		go func() {
			defer close(r.done)
			p.Run(ctx)
		}()
	}
}

// End stops the components, the last one first, and waits for each, so that a component outlives those that depend on
// it. Further calls do nothing.
func (a *Assembly) End() {
	for i := len(a.running) - 1; i >= 0; i-- {
		a.running[i].stop(a.Log)
	}
	a.running = nil
}

// stop ends a component and waits until it has stopped.
func (r runningComponent) stop(log *slog.Logger) {
	r.end()
	slow := time.NewTimer(slowStopTimeout)
	defer slow.Stop()
	select {
	case <-r.done:
		return
	case <-slow.C:
		log.Warn("component slow to stop", "part", r.name)
	}
	<-r.done
}
