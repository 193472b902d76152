// Package assembly starts and stops the components of a broker process. A component may wrap the Decider of every worker
// and run a goroutine. This lets saved state, multiple workers and fleet membership be combined without importing each other.
package assembly

import (
	"context"
	"log/slog"
	"time"

	"mothrouter/internal/decision"
)

// NewDecider creates the Decider of one worker.
type NewDecider func(worker int, settings decision.Settings, seed uint64) decision.Decider

// WrapDecider returns a Decider that wraps the Decider of a worker, for example to observe its events.
type WrapDecider func(worker int, inner decision.Decider) decision.Decider

// Component is an optional part of the process that runs alongside the core.
type Component struct {
	Name string // in log lines
	// Run runs the component until ctx is cancelled. It is nil if the component only wraps Deciders.
	Run func(ctx context.Context)
	// Wrap wraps the Decider of each worker, outside the wrappers of components added earlier. It is nil if there is nothing
	// to wrap.
	Wrap WrapDecider
}

// Assembly holds the components of a process. The zero value is empty. All components must be added by one goroutine before
// Start.
type Assembly struct {
	Log        *slog.Logger // receives warnings about components that are slow to stop
	components []Component
	running    []runningComponent
}

// runningComponent is a component whose Run has been started.
type runningComponent struct {
	name   string
	cancel context.CancelFunc
	done   chan struct{} // closed when Run has returned
}

// slowStopTimeout is how long a component may take to stop before a warning is logged.
const slowStopTimeout = 5 * time.Second

// Add adds a component. Components are started in the order they were added and stopped in reverse order.
func (a *Assembly) Add(component Component) { a.components = append(a.components, component) }

// Decider returns a function that creates a worker's Decider with inner and wraps it with all components.
func (a *Assembly) Decider(inner NewDecider) NewDecider {
	return func(worker int, settings decision.Settings, seed uint64) decision.Decider {
		decider := inner(worker, settings, seed)
		for _, component := range a.components {
			if component.Wrap != nil {
				decider = component.Wrap(worker, decider)
			}
		}
		return decider
	}
}

// Start runs each component that has a Run function in a goroutine of its own.
func (a *Assembly) Start() {
	for _, component := range a.components {
		if component.Run == nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		running := runningComponent{component.Name, cancel, make(chan struct{})}
		a.running = append(a.running, running)
		go func() {
			defer close(running.done)
			component.Run(ctx)
		}()
	}
}

// Stop stops the components in reverse order and waits for each before stopping the next, so that a component outlives those
// that depend on it. Further calls do nothing.
func (a *Assembly) Stop() {
	for i := len(a.running) - 1; i >= 0; i-- {
		a.running[i].stop(a.Log)
	}
	a.running = nil
}

// stop cancels the component's context and waits until Run has returned.
func (r runningComponent) stop(log *slog.Logger) {
	r.cancel()
	slowTimer := time.NewTimer(slowStopTimeout)
	defer slowTimer.Stop()
	select {
	case <-r.done:
		return
	case <-slowTimer.C:
		log.Warn("component slow to stop", "part", r.name)
	}
	<-r.done
}
