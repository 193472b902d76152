// Package broker is the core of mothrouter. It deals in requests, attempts and outcomes and knows no wire.
// One goroutine owns the Decider and all state; fronts, links and the server list post what happened to it.
// The Decider decides; this package carries out, and is the last guard of the rules.
package broker

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mothrouter/internal/decision"
)

const (
	answerLead = 8 * time.Millisecond // before the client's time is up, the last moment for an answer
)

// Options are what the broker itself has to know of a deployment.
type Options struct {
	Settings           decision.Settings
	ConcurrencyLimit   int                // queries and parts held at most; 0: no limit
	Log                *slog.Logger       // nil: the default one
	HealthCheckTimeout time.Duration      // how long a probe's answer is waited for
	Endpoints          *Endpoints         // shared with other loops, and told by whoever shares them; nil: its own
	SharedLimiter      ConcurrencyLimiter // counts queries and parts for several loops together; nil: OpenCap alone counts
}

// ConcurrencyLimiter is a budget that several loops draw on.
type ConcurrencyLimiter interface {
	// TryAcquire takes n, all or nothing.
	TryAcquire(n int) bool
	// Release gives n back.
	Release(n int)
}

// Client is a front's end of one query.
type Client interface {
	// Finish hands over the final answer, once. It is called by the loop and must not block.
	Finish(Result)
}

// DisconnectObserver is a Client that wants to know when its query is forgotten without an answer, since it has left.
type DisconnectObserver interface{ Disconnected() }

// Link carries calls and probes to record servers. Its methods are called by the loop and must not block.
type Link interface {
	// Send starts a call. The link asks Call.TryStart just before the first byte and tells the end by Call.Finish.
	Send(*Call)
	// Cancel tells that a call is over. The link tells the server, if the server may have heard of it.
	Cancel(*Call)
	// CheckHealth asks a server how it is.
	CheckHealth(*HealthCheck)
}

// Broker is the core. Make it with New, then Run it.
type Broker struct {
	opt     Options
	decider decision.Decider
	link    Link
	clock   clock
	log     *slog.Logger
	inbox   inbox
	stopped chan struct{}

	// Owned by the loop.
	batch            []decision.Event
	lastID           decision.RequestID
	inFlight         int // queries and parts held
	queries          map[decision.RequestID]*query
	parts            map[decision.RequestID]*part
	byName           map[string]*query
	endpoints        *Endpoints
	timers           map[*time.Timer]struct{}
	idleWaiters      []chan struct{} // closed once no query is held
	shutdownDeadline time.Time       // when all must be answered, since the process ends; zero: it does not

	inFlightQueries atomic.Int64 // queries held, for whoever asks
}

// New makes a broker that decides with d and sends by link.
func New(opt Options, d decision.Decider, link Link) *Broker {
	if opt.Log == nil {
		opt.Log = slog.Default()
	}
	if opt.HealthCheckTimeout <= 0 {
		opt.HealthCheckTimeout = 250 * time.Millisecond
	}
	servers := opt.Endpoints
	if servers == nil {
		servers = NewEndpoints()
	}
	return &Broker{
		opt: opt, decider: d, link: link, clock: newClock(), log: opt.Log,
		inbox: inbox{wake: make(chan struct{}, 1)}, stopped: make(chan struct{}),
		queries: map[decision.RequestID]*query{}, parts: map[decision.RequestID]*part{},
		byName: map[string]*query{}, endpoints: servers, timers: map[*time.Timer]struct{}{},
	}
}

// Run is the loop. It returns when ctx ends; what is held then is lost, so Drain first.
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

// inbox holds what the loop has to run. Posting never waits, so that neither the loop nor a link that holds
// a lock can be stopped by the other. It is bounded by those who post: each call, timer, probe, list and
// client connection has one event in it at most.
type inbox struct {
	mu     sync.Mutex
	funcs  []func()
	closed bool // its loop has died
	wake   chan struct{}
}

func (i *inbox) drain() []func() {
	i.mu.Lock()
	defer i.mu.Unlock()
	funcs := i.funcs
	i.funcs = nil
	return funcs
}

// post has the loop run f. It returns false if the loop has died, and f is not run.
func (b *Broker) post(f func()) bool {
	b.inbox.mu.Lock()
	closed := b.inbox.closed
	if !closed {
		b.inbox.funcs = append(b.inbox.funcs, f)
	}
	b.inbox.mu.Unlock()
	select {
	case b.inbox.wake <- struct{}{}:
	default:
	}
	return !closed
}

// Backlog is how many events wait for the loop.
func (b *Broker) Backlog() int {
	b.inbox.mu.Lock()
	defer b.inbox.mu.Unlock()
	return len(b.inbox.funcs)
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
		for _, c := range b.idleWaiters {
			close(c)
		}
		b.idleWaiters = nil
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
			b.forget(q) // first: what has not begun by now never will, so that the refusal holds
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

// Notify hands the Decider an event of a part that runs beside the loop. It does not wait.
func (b *Broker) Notify(e decision.Event) { b.post(func() { b.enqueueEvent(e) }) }

// after runs f on the loop after d. The loop calls it. The timer is the wait's own; the returned function
// stops it.
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

// Abort fails all that is held, for a loop that has died: its clients must not wait for nothing. It may be called
// only once Run has ended.
func (b *Broker) Abort() {
	<-b.stopped
	b.inbox.mu.Lock()
	b.inbox.closed = true
	b.inbox.mu.Unlock()
	for _, f := range b.inbox.drain() {
		func() {
			defer func() { _ = recover() }() // what killed the loop may stand in here as well
			f()
		}()
	}
	for _, q := range b.queries {
		b.finish(q, Result{Outcome: Failed})
	}
	for _, c := range b.idleWaiters {
		close(c)
	}
	b.idleWaiters = nil
}

// Gauges are what is held and known now: queries, record servers on the list, and those of them that get no work.
func (b *Broker) Gauges() (held, entries, avoided int) {
	entries, avoided = b.endpoints.Count()
	return int(b.inFlightQueries.Load()), entries, avoided
}

// Drain waits until no query is held, or ctx ends.
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

// clock counts Unix seconds, anchored once and advanced monotonically: a step of the system's clock
// would otherwise move deadlines.
type clock struct{ anchor time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) at(t time.Time) float64 {
	return float64(c.anchor.UnixNano())/1e9 + t.Sub(c.anchor).Seconds()
}

func (c clock) now() float64 { return c.at(time.Now()) }

func (c clock) until(t float64) time.Duration { return secondsToDuration(t - c.now()) }

// secondsToDuration is a duration of so many; what no duration can hold is the longest one.
func secondsToDuration(s float64) time.Duration {
	return time.Duration(max(min(s, maxSeconds), -maxSeconds) * float64(time.Second))
}

const maxSeconds = 1e9
