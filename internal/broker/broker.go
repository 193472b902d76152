// Package broker is the core of mothrouter. It tracks queries, their attempts and results, and is independent of the wire
// protocols. One goroutine, the loop, owns the Decider and all state; fronts, links and the endpoint watch post functions to
// its inbox. The Decider decides; this package carries out its actions and enforces the safety rules of rules.go, whatever
// the Decider asks for.
package broker

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"mothrouter/internal/decision"
)

// Broker is the core. Create it with New, then call Run.
type Broker struct {
	options Options
	decider decision.Decider
	link    Link
	clock   clock
	log     *slog.Logger
	inbox   inbox
	stopped chan struct{} // closed when Run returns

	// Owned by the loop.
	batch            []decision.Event // events not yet passed to the Decider
	lastID           decision.RequestID
	usedSlots        int                           // slots of the concurrency limit in use: one per query and per part
	queries          map[decision.RequestID]*query // in flight
	parts            map[decision.RequestID]*part  // of queries in flight, and finished parts with an attempt in flight
	byExternalID     map[string]*query             // queries in flight by Request.ID
	endpoints        *Endpoints
	timers           map[*time.Timer]struct{} // timers created by after that have neither fired nor been stopped
	idleWaiters      []chan struct{}          // closed once no query is in flight
	shutdownDeadline time.Time                // by when all queries must be answered; zero: not shutting down

	inFlightQueries atomic.Int64 // len(queries) after the latest batch, for other goroutines
}

// New returns a broker that takes its decisions from decider and sends calls through link.
func New(options Options, decider decision.Decider, link Link) *Broker {
	options = options.withDefaults()
	endpoints := options.Endpoints
	if endpoints == nil {
		endpoints = NewEndpoints()
	}
	return &Broker{
		options:      options,
		decider:      decider,
		link:         link,
		clock:        newClock(),
		log:          options.Log,
		inbox:        inbox{wake: make(chan struct{}, 1)},
		stopped:      make(chan struct{}),
		queries:      map[decision.RequestID]*query{},
		parts:        map[decision.RequestID]*part{},
		byExternalID: map[string]*query{},
		endpoints:    endpoints,
		timers:       map[*time.Timer]struct{}{},
	}
}

// Run runs the loop until ctx is done. Queries still in flight then get no answer, so call Drain before, or Abort afterwards.
func (b *Broker) Run(ctx context.Context) {
	defer close(b.stopped)
	defer b.stopTimers()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.inbox.wake:
		}
		for _, f := range b.inbox.drain() {
			f()
		}
		b.decide()
	}
}

// decide passes the batch to the Decider and carries out its actions. Events that the actions cause immediately form the next
// batch.
func (b *Broker) decide() {
	for len(b.batch) > 0 {
		events := b.batch
		b.batch = nil
		for _, action := range b.decider.Handle(b.clock.now(), events) {
			b.perform(action)
		}
	}
	b.inFlightQueries.Store(int64(len(b.queries)))
	if len(b.queries) == 0 {
		b.releaseIdleWaiters()
	}
}

// enqueueEvent adds an event to the batch. Only the loop may call it.
func (b *Broker) enqueueEvent(e decision.Event) { b.batch = append(b.batch, e) }

// Notify posts an event for the Decider. It may be called on any goroutine and does not block.
func (b *Broker) Notify(e decision.Event) { b.post(func() { b.enqueueEvent(e) }) }

// perform carries out one action, unless a safety rule forbids it.
func (b *Broker) perform(action decision.Action) {
	switch a := action.(type) {
	case decision.Send:
		b.send(a)
	case decision.Cancel:
		b.cancel(a)
	case decision.Respond:
		if q := b.queries[a.ID]; q != nil {
			b.respond(q, a.Complete)
		}
	case decision.Reject:
		if q := b.queries[a.ID]; q != nil {
			b.reject(q, a.RetryAfter)
		}
	case decision.Fail:
		if q := b.queries[a.ID]; q != nil {
			b.finish(q, Result{Outcome: Failed})
		}
	case decision.SetTimer:
		b.after(b.clock.until(a.At), func() { b.enqueueEvent(decision.TimerFired{Token: a.Token}) })
	case decision.CheckHealth:
		b.checkHealth(a.Server)
	case decision.Log:
		b.log.Info(a.Line)
	case decision.WatchEndpoints, decision.FetchEndpoints:
		// Used by the simulator only: the endpoint watch of a broker is always on and pushes updates.
	}
}

// Ready reports whether a record server has been available since startup, so that the broker can serve. It returns false once
// the loop has ended.
func (b *Broker) Ready() bool {
	readiness := make(chan bool, 1)
	b.post(func() { readiness <- b.endpoints.EverAvailable() })
	select {
	case ready := <-readiness:
		return ready
	case <-b.stopped:
		return false
	}
}

// Gauges holds the current values of the broker's gauge metrics.
type Gauges struct {
	Queries   int // in flight
	Endpoints int // listed record servers
	Avoided   int // listed record servers that get no work: draining, or with several consecutive failures
}

// Gauges returns the current values. It may be called on any goroutine.
func (b *Broker) Gauges() Gauges {
	listed, avoided := b.endpoints.Counts()
	return Gauges{Queries: int(b.inFlightQueries.Load()), Endpoints: listed, Avoided: avoided}
}
