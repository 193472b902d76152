// Package cores runs several workers, each a core loop with its own Decider, behind the same fronts and the same link. It is
// the driver of three packages that do no I/O: placement (which worker serves a query), lease (how many parts the workers
// together may send to a server in slow start) and observations (what a worker learns from the others).
package cores

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/workers/lease"
	"mothrouter/internal/workers/placement"
)

// updateTimeout is the maximum time that Update waits for busy workers. A short time suffices, since links apply a drain before
// any worker does.
const updateTimeout = 200 * time.Millisecond

// Options configure a Group.
type Options struct {
	Workers          int
	Settings         decision.Settings
	ConcurrencyLimit int // maximum number of queries and parts in flight at all workers together; 0: no limit
	Seed             uint64
	Log              *slog.Logger
	// Decider creates the Decider of a worker; nil: decision.New.
	Decider func(worker int, settings decision.Settings, seed uint64) decision.Decider
}

// Group is a set of workers. Fronts use it as a single core.
type Group struct {
	log         *slog.Logger
	servers     *broker.Endpoints
	limiter     *lease.Semaphore
	state       *processState
	workers     []*worker
	failed      chan struct{} // closed when a worker has panicked
	closeFailed sync.Once     // closes failed

	configureMu sync.Mutex // held while a change is applied, so that all workers apply changes in the same order

	mu       sync.Mutex // guards registry, loads and rng
	registry *placement.NameRegistry
	loads    []placement.WorkerLoad // by worker
	rng      *rand.Rand
}

// worker is a core loop.
type worker struct {
	broker *broker.Broker
	dead   atomic.Bool // it has panicked
}

// placementStream is the second word of the PCG seed for the placement of queries.
const placementStream = 0xa54ff53a5f1d36f1

// New creates a group whose workers share one link, so that record servers see the connections of a single broker.
func New(options Options, link broker.Link) *Group {
	if options.Log == nil {
		options.Log = slog.Default()
	}
	if options.Decider == nil {
		options.Decider = func(_ int, settings decision.Settings, seed uint64) decision.Decider {
			return decision.New(settings, seed)
		}
	}
	n := max(options.Workers, 1)
	g := &Group{
		log: options.Log, servers: broker.NewEndpoints(), limiter: lease.NewSemaphore(options.ConcurrencyLimit),
		state: newProcessState(n, options.Settings, options.Seed), failed: make(chan struct{}),
		registry: placement.NewNameRegistry(), loads: make([]placement.WorkerLoad, n),
		rng: rand.New(rand.NewPCG(options.Seed, placementStream)),
	}
	endedIDs := broker.NewEndedIDs()
	for i := range n {
		d := options.Decider(i, options.Settings, options.Seed^uint64(i)*0x9e3779b97f4a7c15) // distinct seeds per worker
		g.workers = append(g.workers, &worker{broker: broker.New(broker.Options{
			Settings: options.Settings, Log: options.Log.With("worker", i), Endpoints: g.servers, SharedLimiter: g.limiter,
			EndedIDs: endedIDs,
		}, &sharedDecider{processState: g.state, worker: i, inner: d}, link)})
	}
	return g
}

// Run runs the workers until ctx is done. If a worker panics, only that worker ends: its queries in flight fail at once, it
// receives no more queries, and the channel of Failed is closed, so that the process can shut down cleanly.
func (g *Group) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for i, w := range g.workers {
		loops.Go(func() {
			defer func() {
				if reason := recover(); reason != nil {
					g.log.Error("worker panicked", "worker", i, "panic", reason, "stack", string(debug.Stack()))
					g.mu.Lock()
					g.loads[i].Dead = true
					g.mu.Unlock()
					w.dead.Store(true)
					w.broker.Abort()
					g.closeFailed.Do(func() { close(g.failed) })
				}
			}()
			w.broker.Run(ctx)
		})
	}
	loops.Wait()
}

// Failed returns a channel that is closed once a worker has panicked.
func (g *Group) Failed() <-chan struct{} { return g.failed }

// client wraps the client of a query. It releases the query's name and load when the query ends.
type client struct {
	broker.Client
	group  *Group
	name   string
	worker int
	size   int // one for the query and one for each part, as counted in the worker's load
}

// Finish implements broker.Client.
func (c *client) Finish(r broker.Result) {
	c.Disconnected()
	c.Client.Finish(r)
}

// Disconnected implements broker.DisconnectObserver.
func (c *client) Disconnected() {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.group.registry.Release(c.name)
	c.group.loads[c.worker].InFlight -= c.size
}

// Submit passes a query to a worker. If all workers are dead, the query finishes at once as Failed; if a query with the same ID
// is in flight, it finishes as Duplicate.
func (g *Group) Submit(r *broker.Request, c broker.Client) {
	wrapped := &client{Client: c, group: g, name: r.ID, size: 1 + len(r.Parts)}
	g.mu.Lock()
	for i, w := range g.workers {
		g.loads[i].Backlog = w.broker.Backlog()
	}
	wrapped.worker = placement.Choose(g.loads, g.rng)
	claimed := wrapped.worker >= 0 && g.registry.Claim(r.ID, wrapped.worker)
	if claimed {
		g.loads[wrapped.worker].InFlight += wrapped.size
	}
	g.mu.Unlock()
	switch {
	case claimed:
		g.workers[wrapped.worker].broker.Submit(r, wrapped)
	case wrapped.worker < 0:
		c.Finish(broker.Result{Outcome: broker.Failed})
	default:
		c.Finish(broker.Result{Outcome: broker.Duplicate})
	}
}

// Disconnect cancels a query whose client has disconnected.
func (g *Group) Disconnect(r *broker.Request) {
	g.mu.Lock()
	w, served := g.registry.Worker(r.ID)
	g.mu.Unlock()
	if served {
		g.workers[w].broker.Disconnect(r)
	}
}

// Ready reports whether a record server has been available since startup and at least one worker is alive.
func (g *Group) Ready() bool {
	for _, w := range g.workers {
		if !w.dead.Load() {
			return g.servers.EverAvailable()
		}
	}
	return false
}

// Update passes an endpoint update to all workers. After it has returned, no attempt starts at a server that is draining or
// removed, even if some worker has not processed the update yet.
func (g *Group) Update(u broker.EndpointUpdate) {
	g.servers.Apply(u)
	g.state.applyUpdate(u.Event(), float64(time.Now().UnixNano())/1e9)
	timeout := time.NewTimer(updateTimeout)
	defer timeout.Stop()
	var acks []<-chan struct{}
	for _, w := range g.workers {
		if !w.dead.Load() {
			acks = append(acks, w.broker.UpdateAsync(u))
		}
	}
	for _, ack := range acks {
		select {
		case <-ack:
		case <-timeout.C:
			return
		}
	}
}

// Notify passes an event from another component of the process to each worker's Decider. It does not wait for the workers.
func (g *Group) Notify(e decision.Event) {
	if resized, ok := e.(decision.FleetResized); ok {
		g.state.resize(resized.Brokers)
	}
	for _, w := range g.workers {
		if !w.dead.Load() {
			w.broker.Notify(e)
		}
	}
}

// Drain waits until no query is in flight or ctx is done.
func (g *Group) Drain(ctx context.Context) {
	for _, w := range g.workers {
		if !w.dead.Load() {
			w.broker.Drain(ctx)
		}
	}
}

// SetShutdownDeadline sets the time by which all workers must have answered their queries.
func (g *Group) SetShutdownDeadline(t time.Time) {
	for _, w := range g.workers {
		if !w.dead.Load() {
			w.broker.SetShutdownDeadline(t)
		}
	}
}

// InFlight returns the number of queries in flight.
func (g *Group) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Len()
}

// Gauges returns the current gauges of all workers together.
func (g *Group) Gauges() broker.Gauges {
	listed, avoided := g.servers.Counts()
	return broker.Gauges{Queries: g.InFlight(), Endpoints: listed, Avoided: avoided}
}

// InFlightByWorker returns the number of queries and parts that each worker has in flight.
func (g *Group) InFlightByWorker() (inFlight []int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.loads {
		inFlight = append(inFlight, l.InFlight)
	}
	return inFlight
}
