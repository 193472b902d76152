// Package broker is the core of mothrouter. It deals in requests, attempts and outcomes and knows no wire.
// One goroutine owns the Decider and all state; fronts, links and the endpoint list post what happened to it.
// The Decider decides; this package carries out, and is the last guard of the rules.
package broker

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"mothrouter/internal/decision"
)

const (
	// answerLead is how long before the client's deadline the last moment for an answer is.
	answerLead = 8 * time.Millisecond

	defaultHealthCheckTimeout = 250 * time.Millisecond
)

// Options are what the broker itself has to know of a deployment.
type Options struct {
	Settings           decision.Settings
	ConcurrencyLimit   int                // queries and parts in flight; 0: no limit
	SharedLimiter      ConcurrencyLimiter // counts queries and parts of several loops together; nil: there is none
	HealthCheckTimeout time.Duration      // 0: 250 ms
	Endpoints          *Endpoints         // shared with other loops, and updated by their owner; nil: its own
	Log                *slog.Logger       // nil: the default one
}

// ConcurrencyLimiter limits what several loops have in flight.
type ConcurrencyLimiter interface {
	// TryAcquire takes n slots, all or none, and does not wait.
	TryAcquire(n int) bool
	// Release gives n slots back.
	Release(n int)
}

// Client is a front's end of one query.
type Client interface {
	// Finish hands over the final answer, once. It is called by the loop and must not block.
	Finish(Result)
}

// DisconnectObserver is a Client that wants to know when its query is forgotten without an answer, since it has gone.
type DisconnectObserver interface{ Disconnected() }

// Link carries calls and health checks to record servers. Its methods are called by the loop and must not block.
type Link interface {
	// Send starts a call. The link asks Call.TryStart just before the first byte and tells the end by Call.Finish.
	Send(*Call)
	// Cancel tells that a call has finished. The link tells the server, if the server may have heard of it.
	Cancel(*Call)
	// CheckHealth asks a server for its health.
	CheckHealth(*HealthCheck)
}

// Broker is the core. Make it with New, then Run it.
type Broker struct {
	options Options
	decider decision.Decider
	link    Link
	clock   clock
	log     *slog.Logger
	inbox   inbox
	stopped chan struct{} // closed when Run returns

	// Owned by the loop.
	batch            []decision.Event
	lastID           decision.RequestID
	usedSlots        int // queries and parts
	queries          map[decision.RequestID]*query
	parts            map[decision.RequestID]*part
	byName           map[string]*query
	endpoints        *Endpoints
	timers           map[*time.Timer]struct{}
	idleWaiters      []chan struct{} // closed once no query is in flight
	shutdownDeadline time.Time       // when all must be answered, since the process ends; zero: it does not

	inFlightQueries atomic.Int64 // for whoever asks
}

// New makes a broker that decides with d and sends by link.
func New(opt Options, d decision.Decider, link Link) *Broker {
	if opt.Log == nil {
		opt.Log = slog.Default()
	}
	if opt.HealthCheckTimeout <= 0 {
		opt.HealthCheckTimeout = defaultHealthCheckTimeout
	}
	servers := opt.Endpoints
	if servers == nil {
		servers = NewEndpoints()
	}
	return &Broker{
		options: opt, decider: d, link: link, clock: newClock(), log: opt.Log,
		inbox: inbox{wake: make(chan struct{}, 1)}, stopped: make(chan struct{}),
		queries: map[decision.RequestID]*query{}, parts: map[decision.RequestID]*part{},
		byName: map[string]*query{}, endpoints: servers, timers: map[*time.Timer]struct{}{},
	}
}

// Run is the loop. It returns when ctx ends; queries in flight are lost then, so Drain first.
func (b *Broker) Run(ctx context.Context) {
	defer close(b.stopped)
	defer func() {
		for t := range b.timers {
			t.Stop()
		}
	}()
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

// decide hands the batch to the Decider and carries out its actions. What an action brings about at once
// is the next batch's.
func (b *Broker) decide() {
	for len(b.batch) > 0 {
		events := b.batch
		b.batch = nil
		for _, a := range b.decider.Handle(b.clock.now(), events) {
			b.perform(a)
		}
	}
	b.inFlightQueries.Store(int64(len(b.queries)))
	if len(b.queries) == 0 {
		b.releaseIdleWaiters()
	}
}

func (b *Broker) enqueueEvent(e decision.Event) { b.batch = append(b.batch, e) }

// perform carries out one action. What the rules forbid is not done, whoever asks for it.
func (b *Broker) perform(action decision.Action) {
	switch a := action.(type) {
	case decision.Send:
		b.send(a)
	case decision.Cancel:
		if pt := b.parts[a.ID]; pt != nil && pt.call != nil && pt.call.attempt == a.Attempt {
			b.abandonCall(pt.call, decision.Cancelled)
		}
	case decision.Respond:
		if q := b.queries[a.ID]; q != nil {
			b.respond(q, a.Complete)
		}
	case decision.Reject:
		if q := b.queries[a.ID]; q != nil {
			b.forget(q) // first: what has not started by now never will, so that the rejection holds
			q.client.Finish(q.rejection(a.RetryAfter))
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
		// The list is pushed to a real broker: its watch is always on.
	}
}

// Notify hands the Decider an event from a component beside the loop. It does not wait.
func (b *Broker) Notify(e decision.Event) { b.post(func() { b.enqueueEvent(e) }) }

// after runs f on the loop after d, unless the returned function is called before. Only the loop may call either.
func (b *Broker) after(d time.Duration, f func()) (stop func()) {
	var t *time.Timer
	t = time.AfterFunc(max(d, 0), func() {
		b.post(func() {
			if _, waiting := b.timers[t]; waiting {
				delete(b.timers, t)
				f()
			}
		})
	})
	b.timers[t] = struct{}{}
	return func() {
		t.Stop()
		delete(b.timers, t)
	}
}

// Ready tells whether the broker knows record servers and so can serve.
func (b *Broker) Ready() bool {
	ready := make(chan bool, 1)
	b.post(func() { ready <- b.endpoints.Known() })
	select {
	case r := <-ready:
		return r
	case <-b.stopped:
		return false
	}
}

// Abort fails all queries in flight, for a loop that has died: their clients must not wait for nothing. It may be called
// only once Run has ended.
func (b *Broker) Abort() {
	<-b.stopped
	b.inbox.mu.Lock()
	b.inbox.closed = true
	b.inbox.mu.Unlock()
	for _, f := range b.inbox.drain() {
		func() {
			defer func() { _ = recover() }() // a boundary: what killed the loop may be among these as well
			f()
		}()
	}
	for _, q := range b.queries {
		b.finish(q, Result{Outcome: Failed})
	}
	b.releaseIdleWaiters()
}

// releaseIdleWaiters ends the waits for no query to be in flight.
func (b *Broker) releaseIdleWaiters() {
	for _, c := range b.idleWaiters {
		close(c)
	}
	b.idleWaiters = nil
}

// Gauges are figures of the present moment.
type Gauges struct {
	Queries   int // in flight
	Endpoints int // record servers on the list
	Avoided   int // of those, the ones that get no work
}

// Gauges returns the present figures. Any goroutine may ask.
func (b *Broker) Gauges() Gauges {
	listed, avoided := b.endpoints.Size()
	return Gauges{Queries: int(b.inFlightQueries.Load()), Endpoints: listed, Avoided: avoided}
}

// Drain waits until no query is in flight, or ctx ends.
func (b *Broker) Drain(ctx context.Context) {
	c := make(chan struct{})
	b.post(func() {
		if len(b.queries) == 0 {
			close(c)
			return
		}
		b.idleWaiters = append(b.idleWaiters, c)
	})
	select {
	case <-c:
	case <-ctx.Done():
	case <-b.stopped:
	}
}
