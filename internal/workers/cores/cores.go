// Package cores runs several workers, each a core loop with a Decider of its own, behind the same fronts and the same
// link. It is the driver beside the packages that decide: placement (which worker serves a query), lease (what all may
// send to a server in slow start together) and observations (what one learns from the others).
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

// updateTimeout is the maximum time that Update waits for busy workers. Links apply a drain before any worker does.
const updateTimeout = 200 * time.Millisecond

// Options configure a Group.
type Options struct {
	Workers          int
	Settings         decision.Settings
	ConcurrencyLimit int // queries and parts in flight, of all workers together; 0: no limit
	Seed             uint64
	Log              *slog.Logger
	// Decider makes a worker's Decider; nil: decision.New.
	Decider func(worker int, set decision.Settings, seed uint64) decision.Decider
}

// Group is the set of workers. Fronts use it as a single core.
type Group struct {
	log     *slog.Logger
	servers *broker.Endpoints
	limiter *lease.Semaphore
	state   *processState
	workers []*worker
	failed  chan struct{} // closed when a worker has died
	once    sync.Once

	configuring sync.Mutex // held while a change is applied: all workers apply changes in one order

	mu       sync.Mutex // guards names, rng and the loads' Open and Dead
	registry *placement.NameRegistry
	loads    []placement.WorkerLoad
	rng      *rand.Rand
}

type worker struct {
	broker *broker.Broker
	dead   atomic.Bool
}

// New makes a group whose workers send by one link: record servers see the connections of one broker.
func New(opt Options, link broker.Link) *Group {
	if opt.Log == nil {
		opt.Log = slog.Default()
	}
	if opt.Decider == nil {
		opt.Decider = func(_ int, set decision.Settings, seed uint64) decision.Decider {
			return decision.New(set, seed)
		}
	}
	n := max(opt.Workers, 1)
	g := &Group{
		log: opt.Log, servers: broker.NewEndpoints(), limiter: lease.NewSemaphore(opt.ConcurrencyLimit),
		state: newProcessState(n, opt.Settings, opt.Seed), failed: make(chan struct{}),
		registry: placement.NewNameRegistry(), loads: make([]placement.WorkerLoad, n),
		rng: rand.New(rand.NewPCG(opt.Seed, 0xa54ff53a5f1d36f1)),
	}
	for i := range n {
		d := opt.Decider(i, opt.Settings, opt.Seed^uint64(i)*0x9e3779b97f4a7c15)
		g.workers = append(g.workers, &worker{broker: broker.New(broker.Options{
			Settings: opt.Settings, Log: opt.Log.With("worker", i), Endpoints: g.servers, SharedLimiter: g.limiter,
		}, &sharedDecider{processState: g.state, worker: i, inner: d}, link)})
	}
	return g
}

// Run runs the workers until ctx ends. A worker that panics ends alone: its queries in flight fail at once, it receives no
// more of them, and the channel of Failed is closed, so that the process can shut down cleanly.
func (g *Group) Run(ctx context.Context) {
	var all sync.WaitGroup
	for i, w := range g.workers {
		all.Go(func() {
			defer func() {
				if why := recover(); why != nil {
					g.log.Error("worker panicked", "worker", i, "panic", why, "stack", string(debug.Stack()))
					g.mu.Lock()
					g.loads[i].Dead = true
					g.mu.Unlock()
					w.dead.Store(true)
					w.broker.Abort()
					g.once.Do(func() { close(g.failed) })
				}
			}()
			w.broker.Run(ctx)
		})
	}
	all.Wait()
}

// Failed is closed once a worker has panicked.
func (g *Group) Failed() <-chan struct{} { return g.failed }

// client is a query's client with what has to be released at its end.
type client struct {
	broker.Client
	group  *Group
	name   string
	worker int
	size   int
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

// Submit hands a query to a worker.
func (g *Group) Submit(r *broker.Request, c broker.Client) {
	mine := &client{Client: c, group: g, name: r.ID, size: 1 + len(r.Parts)}
	g.mu.Lock()
	for i, w := range g.workers {
		g.loads[i].Backlog = w.broker.Backlog()
	}
	mine.worker = placement.Choose(g.loads, g.rng)
	claimed := mine.worker >= 0 && g.registry.Claim(r.ID, mine.worker)
	if claimed {
		g.loads[mine.worker].InFlight += mine.size
	}
	g.mu.Unlock()
	switch {
	case claimed:
		g.workers[mine.worker].broker.Submit(r, mine)
	case mine.worker < 0:
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

// Ready reports whether record servers are known and a worker is alive.
func (g *Group) Ready() bool {
	for _, w := range g.workers {
		if !w.dead.Load() {
			return g.servers.EverAvailable()
		}
	}
	return false
}

// Update hands an update of the endpoint list to all workers. When it returns, no attempt starts at a server that drains
// or is removed, whether or not each worker has had the time to take note of it.
func (g *Group) Update(l broker.EndpointUpdate) {
	g.servers.Apply(l)
	g.state.applyUpdate(l.Event(), float64(time.Now().UnixNano())/1e9)
	limit := time.NewTimer(updateTimeout)
	defer limit.Stop()
	var taken []<-chan struct{}
	for _, w := range g.workers {
		if !w.dead.Load() {
			taken = append(taken, w.broker.UpdateAsync(l))
		}
	}
	for _, t := range taken {
		select {
		case <-t:
		case <-limit.C:
			return
		}
	}
}

// Notify hands each worker's Decider an event from a component beside the workers. It does not wait.
func (g *Group) Notify(e decision.Event) {
	if f, ok := e.(decision.FleetResized); ok {
		g.state.resize(f.Brokers)
	}
	for _, w := range g.workers {
		if !w.dead.Load() {
			w.broker.Notify(e)
		}
	}
}

// Drain waits until no query is in flight, or ctx ends.
func (g *Group) Drain(ctx context.Context) {
	for _, w := range g.workers {
		if !w.dead.Load() {
			w.broker.Drain(ctx)
		}
	}
}

// SetShutdownDeadline sets the time by which all workers answer their queries.
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

// Gauges returns the present gauges of all workers together.
func (g *Group) Gauges() broker.Gauges {
	listed, avoided := g.servers.Counts()
	return broker.Gauges{Queries: g.InFlight(), Endpoints: listed, Avoided: avoided}
}

// InFlightByWorker returns the number of queries and parts that each worker has in flight.
func (g *Group) InFlightByWorker() (open []int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.loads {
		open = append(open, l.InFlight)
	}
	return open
}
