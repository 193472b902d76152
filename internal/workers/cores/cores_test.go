package cores

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/estimate/slowstart"
	"mothrouter/internal/harness/recordservertest"
	"mothrouter/internal/transport/upstream"
	"mothrouter/internal/workers/observations"
)

// workerGroup is a group of workers with record servers on loopback, which detect rule violations.
type workerGroup struct {
	*testing.T
	*Group
	fleet *recordservertest.Fleet
	next  atomic.Int64
}

type groupOptions struct {
	workers, servers, conns, concurrencyLimit int
	serviceTime                               time.Duration
	warmUp                                    float64
	decider                                   func(int, decision.Settings, uint64) decision.Decider
}

const (
	usage = iota
	charge
	report
	twoPhase // with a second phase of two parts
)

func settings(servers int, warmUp float64) decision.Settings {
	return decision.Settings{
		ReplicaSets: servers, ReplicationFactor: 2, MaxAttempts: 4, CancelAllowed: true, RetryAfterSupported: true, MaxRetryAfter: 0.5, Brokers: 1,
		ReportMode: decision.ReportPiggyback, Tick: 0.005,
		SlowStart: slowstart.Settings{InitialFraction: 0.2, Duration: warmUp, OverloadFactor: 2.5, OverloadWindow: 1.5},
		Classes: []decision.Class{
			{LatencyObjective: 1, Deadline: 2, PriorityWeight: 1, CompletenessThreshold: 1, MinCompleteness: 1},
			{LatencyObjective: 1, Deadline: 2, PriorityWeight: 2, CompletenessThreshold: 1, MinCompleteness: 1, Idempotency: decision.NonIdempotent},
			{LatencyObjective: 1, Deadline: 2, PriorityWeight: 3, CompletenessThreshold: 1, MinCompleteness: 0.8, LateValue: 0.1},
			{LatencyObjective: 1, Deadline: 2, PriorityWeight: 3, CompletenessThreshold: 1, MinCompleteness: 1, SecondPhaseFanout: 2}},
	}
}

func newWorkerGroup(t *testing.T, o groupOptions) *workerGroup {
	fleet, err := recordservertest.New(recordservertest.Options{Servers: o.servers, ReplicationFactor: 2, ServiceTime: o.serviceTime, Seed: 1, SecondPhaseFanout: 2,
		NonIdempotent: func(id string) bool { return strings.HasPrefix(id, "charge") }})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	link := upstream.New(ctx, upstream.Options{MaxStreams: 100, MaxConns: o.conns, IdleTimeout: 15 * time.Second,
		ConnectTimeout: 250 * time.Millisecond})
	r := &workerGroup{T: t, fleet: fleet, Group: New(Options{Workers: o.workers, Settings: settings(o.servers, o.warmUp),
		ConcurrencyLimit: o.concurrencyLimit, Seed: 7, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Decider: o.decider}, link)}
	ended := make(chan struct{})
	go func() {
		r.Group.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		fleet.Close()
		broken, parts := fleet.Violations()
		require.Empty(t, broken)
		require.NotZero(t, parts)
		r.state.mu.Lock()
		defer r.state.mu.Unlock()
		require.Zero(t, r.state.overspent, "parts were sent to a server in slow start beyond a lease")
	})
	r.Update(broker.EndpointUpdate{Mode: decision.CachedUpdate, Servers: fleet.Endpoints()})
	return r
}

type answer chan broker.Result

func (a answer) Finish(r broker.Result) { a <- r }

// request returns a query with parts at consecutive shards.
func (r *workerGroup) request(class, shard, parts int) *broker.Request {
	n := r.next.Add(1)
	q := &broker.Request{ID: fmt.Sprintf("%s%d", []string{"usage", "charge", "report", "docket"}[class], n), Class: class,
		ReceivedAt: time.Now(), Timeout: 1500 * time.Millisecond, Payload: []byte("x")}
	for i := range parts {
		q.Parts = append(q.Parts, broker.Part{Shard: (shard + i) % len(r.fleet.Servers), Weight: 1 / float64(parts)})
	}
	return q
}

// submit submits a query, to the given worker if there is one, and returns its result.
func (r *workerGroup) submit(q *broker.Request, worker ...int) broker.Result {
	a := make(answer, 2)
	if len(worker) > 0 {
		r.workers[worker[0]].broker.Submit(q, a)
	} else {
		r.Submit(q, a)
	}
	select {
	case res := <-a:
		if late := time.Since(q.ReceivedAt) - q.Timeout; late > 50*time.Millisecond {
			r.Errorf("%s was answered %v late", q.ID, late)
		}
		return res
	case <-time.After(q.Timeout + time.Second):
		r.Errorf("%s was not answered", q.ID)
		return broker.Result{Outcome: broker.Failed}
	}
}

// runClients has clients submit queries one after the other for a time and returns the number of each outcome.
func (r *workerGroup) runClients(clients int, d time.Duration, request func(client, n int) *broker.Request) (outcomes [5]int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	stop := time.Now().Add(d)
	for c := range clients {
		all.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				res := r.submit(request(c, n))
				mu.Lock()
				outcomes[res.Outcome]++
				mu.Unlock()
				if res.Outcome != broker.Answered {
					time.Sleep(5 * time.Millisecond) // as clients do
				}
			}
		})
	}
	all.Wait()
	return outcomes
}

func (r *workerGroup) mixed(c, n int) *broker.Request {
	return r.request([]int{usage, report, charge, usage}[(c+n)%4], c+n, []int{3, 4, 1, 3}[(c+n)%4])
}

// One worker finds a hanging server; the other learns of it before it loses many parts of its own.
func TestHangingServerIsSharedBetweenWorkers(t *testing.T) {
	r := newWorkerGroup(t, groupOptions{workers: 2, servers: 4, serviceTime: 5 * time.Millisecond})
	for n := range 60 {
		for w := range 2 {
			require.Equal(t, broker.Answered, r.submit(r.request(usage, n, 4), w).Outcome)
		}
	}
	hanging := r.fleet.Servers[1]
	hanging.SetHanging(true)
	var all sync.WaitGroup
	for i := range 16 { // the hanging server has shards 0 and 1
		all.Go(func() { r.submit(r.request(usage, i%2, 1), 0) })
	}
	all.Wait()
	arrivedBefore := hanging.Arrivals()
	served := 0
	for i := range 40 {
		if r.submit(r.request(usage, i%2, 1), 1).Outcome == broker.Answered {
			served++
		}
	}
	require.LessOrEqual(t, hanging.Arrivals()-arrivedBefore, 6, "of 40 parts, of which it would receive half")
	require.GreaterOrEqual(t, served, 36)
}

// A server at which only one worker fails stays in use by the others.
func TestFaultOfOneWorkerDoesNotMarkServerUnhealthy(t *testing.T) {
	r := newWorkerGroup(t, groupOptions{workers: 2, servers: 2, serviceTime: time.Millisecond})
	r.submit(r.request(usage, 0, 2))
	s := r.fleet.Servers[0]
	from := s.Arrivals()
	for range 1000 { // enough for one slow answer on a busy machine to have decayed
		require.Equal(t, broker.Answered, r.submit(r.request(usage, 0, 1), 1).Outcome)
		r.state.mu.Lock() // worker 0 reports resets of its own connection
		r.state.recordOutcome(0, r.now(), s.ID, decision.Reset, observations.Observation{Latency: 0.001, LoadReport: decision.NoLoadReport})
		r.state.mu.Unlock()
	}
	require.Greater(t, s.Arrivals()-from, 200, "of 1000 parts that two servers hold")
}

func (r *workerGroup) now() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// All workers together send a server in slow start no more than a single worker would.
func TestLeasesProtectServerInSlowStart(t *testing.T) {
	var maxArrivals [2]int
	for i, workers := range []int{1, 4} {
		r := newWorkerGroup(t, groupOptions{workers: workers, servers: 4, serviceTime: 4 * time.Millisecond, warmUp: 6})
		r.runClients(8, 1500*time.Millisecond, func(c, n int) *broker.Request { return r.request(usage, c+n, 2) })
		before := make([]int, 4)
		for i, s := range r.fleet.Servers {
			before[i] = s.Arrivals()
		}
		restarted := r.fleet.Servers[2]
		restarted.Restart()
		r.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Version: 1, Servers: []broker.Endpoint{restarted.Endpoint(decision.Ready)}})
		outcomes := r.runClients(8, 1600*time.Millisecond, func(c, n int) *broker.Request { return r.request(usage, c+n, 2) })
		require.NotZero(t, outcomes[broker.Answered])
		maxArrivals[i] = restarted.MaxArrivals(1500 * time.Millisecond)
		require.NotZero(t, maxArrivals[i], "the server received nothing in slow start")
		// The load of another server in that time is a lower bound of a server's capacity; the limit is 2.5 times the
		// fraction of it that slow start allows at the end of the window.
		warm := float64(r.fleet.Servers[0].Arrivals()-before[0]) / 1.6
		require.Less(t, float64(maxArrivals[i]), 2.5*(0.2+0.8*1.6/6)*warm*1.5, "%d workers", workers)
	}
	t.Logf("parts in the worst 1.5 s: one worker %d, four workers %d", maxArrivals[0], maxArrivals[1])
}

// Servers restart, are removed and return under load, while leases on them are outstanding.
func TestEndpointUpdatesWhileLeasesAreOutstanding(t *testing.T) {
	r := newWorkerGroup(t, groupOptions{workers: 3, servers: 6, serviceTime: 2 * time.Millisecond, warmUp: 3})
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		for v := int64(1); ; v++ {
			select {
			case <-stop:
				return
			case <-time.After(60 * time.Millisecond):
			}
			s := r.fleet.Servers[v%6]
			switch v % 3 {
			case 0, 1:
				s.Restart()
				r.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Version: v, Servers: []broker.Endpoint{s.Endpoint(decision.Ready)}})
			case 2:
				r.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Version: v, Servers: []broker.Endpoint{s.Endpoint(decision.Removed)}})
				time.Sleep(20 * time.Millisecond)
				v += 6 // keeps v % 6, the server, and v % 3
				r.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Version: v, Servers: []broker.Endpoint{s.Endpoint(decision.Ready)}})
			}
		}
	})
	outcomes := r.runClients(8, 2*time.Second, r.mixed)
	close(stop)
	all.Wait()
	require.NotZero(t, outcomes[broker.Answered])
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	require.LessOrEqual(t, len(r.state.warmingUp), 6)
	require.LessOrEqual(t, r.state.observations.Len(), 6)
}

// delayedDecider is a Decider whose Handle returns no earlier than a given time, as on a core that is preempted.
type delayedDecider struct {
	decision.Decider
	until *atomic.Int64
}

func (s delayedDecider) Handle(now float64, events []decision.Event) []decision.Action {
	actions := s.Decider.Handle(now, events)
	time.Sleep(time.Until(time.Unix(0, s.until.Load()))) // after the decision, which is stale by then
	return actions
}

// A server drains while a worker is busy. What that worker decided before must not be sent afterwards.
func TestDrainStopsSendsOfBusyWorker(t *testing.T) {
	var busy atomic.Int64
	r := newWorkerGroup(t, groupOptions{workers: 2, servers: 4, serviceTime: 2 * time.Millisecond,
		decider: func(w int, set decision.Settings, seed uint64) decision.Decider {
			if w == 0 {
				return delayedDecider{decision.New(set, seed), &busy}
			}
			return decision.New(set, seed)
		}})
	var drain sync.WaitGroup
	drain.Go(func() {
		time.Sleep(300 * time.Millisecond)
		busy.Store(time.Now().Add(700 * time.Millisecond).UnixNano())
		time.Sleep(50 * time.Millisecond) // parts for all servers are decided and wait
		s := r.fleet.Servers[1]
		s.RecordDrain()
		r.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Version: 1, Servers: []broker.Endpoint{s.Endpoint(decision.Draining)}})
		if late := time.Since(time.Unix(0, busy.Load())); late >= 0 {
			t.Errorf("the endpoint update was blocked until %v after the worker was free again", late)
		}
	})
	outcomes := r.runClients(8, 1500*time.Millisecond, func(c, n int) *broker.Request { return r.request(usage, c+n, 4) })
	drain.Wait()
	require.NotZero(t, outcomes[broker.Answered])
	require.LessOrEqual(t, updateTimeout, 200*time.Millisecond, "a watch waits for a busy worker no longer than this")
}

// Queries that arrive one after the other on one connection are spread over the workers.
func TestLoadOfOneConnectionSpreadsOverWorkers(t *testing.T) {
	var queries [2]atomic.Int64
	r := newWorkerGroup(t, groupOptions{workers: 2, servers: 4, serviceTime: time.Millisecond,
		decider: func(w int, set decision.Settings, seed uint64) decision.Decider {
			return countingDecider{decision.New(set, seed), &queries[w]}
		}})
	for n := range 100 {
		require.Equal(t, broker.Answered, r.submit(r.request(usage, n, 2)).Outcome)
	}
	require.Greater(t, queries[0].Load(), int64(25))
	require.Greater(t, queries[1].Load(), int64(25))
	require.Equal(t, []int{0, 0}, r.InFlightByWorker())
}

type countingDecider struct {
	decision.Decider
	n *atomic.Int64
}

func (c countingDecider) Handle(now float64, events []decision.Event) []decision.Action {
	for _, e := range events {
		if _, ok := e.(decision.Query); ok {
			c.n.Add(1)
		}
	}
	return c.Decider.Handle(now, events)
}

// Most queries are non-idempotent, servers fail and reset connections, and clients send new queries at once to any
// worker. The record servers detect rule violations.
func TestNonIdempotentPartsAcrossWorkers(t *testing.T) {
	r := newWorkerGroup(t, groupOptions{workers: 4, servers: 4, serviceTime: 3 * time.Millisecond})
	for _, s := range r.fleet.Servers[:2] {
		s.SetFailureRatio(0.3)
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
				r.fleet.Servers[n%4].ResetConnections()
			}
		}
	})
	outcomes := r.runClients(12, 1500*time.Millisecond, func(c, n int) *broker.Request {
		if n%10 == 0 {
			return r.request(report, c, 4)
		}
		return r.request(charge, c+n, 1+n%2)
	})
	close(stop)
	all.Wait()
	require.NotZero(t, outcomes[broker.Answered])
}

// Of concurrent queries with one id only one is served, whichever workers receive them.
func TestDuplicateNameIsRejectedAcrossWorkers(t *testing.T) {
	r := newWorkerGroup(t, groupOptions{workers: 4, servers: 4, serviceTime: 30 * time.Millisecond})
	for range 10 {
		q := r.request(charge, 0, 1)
		var outcomes [5]atomic.Int64
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() {
				again := *q
				again.ReceivedAt = time.Now()
				outcomes[r.submit(&again).Outcome].Add(1)
			})
		}
		all.Wait()
		require.Equal(t, int64(1), outcomes[broker.Answered].Load())
		require.Equal(t, int64(7), outcomes[broker.Duplicate].Load())
	}
	require.Zero(t, r.InFlight())
}

func TestDisconnectReleasesCapacity(t *testing.T) {
	r := newWorkerGroup(t, groupOptions{workers: 2, servers: 2, concurrencyLimit: 4, serviceTime: 200 * time.Millisecond})
	for range 5 {
		q := r.request(usage, 0, 2)
		r.Submit(q, make(answer, 1))
		r.Disconnect(q)
		require.Eventually(t, func() bool { return r.limiter.Acquired() == 0 && r.InFlight() == 0 }, time.Second, time.Millisecond)
	}
	require.Equal(t, []int{0, 0}, r.InFlightByWorker())
	require.Equal(t, broker.Answered, r.submit(r.request(usage, 0, 1)).Outcome)
}

// The concurrency limit holds for all workers together.
func TestConcurrencyLimitIsSharedByWorkers(t *testing.T) {
	r := newWorkerGroup(t, groupOptions{workers: 4, servers: 4, concurrencyLimit: 9, serviceTime: 100 * time.Millisecond})
	var all sync.WaitGroup
	var served, rejected atomic.Int64
	for range 8 {
		all.Go(func() {
			switch res := r.submit(r.request(usage, 0, 2)); res.Outcome { // each takes 3 of the limit of 9
			case broker.Answered:
				served.Add(1)
			case broker.Rejected:
				require.Equal(t, 0.5, res.RetryAfter)
				rejected.Add(1)
			}
		})
	}
	all.Wait()
	require.Equal(t, int64(3), served.Load())
	require.Equal(t, int64(5), rejected.Load())
}

func TestMoreWorkersThanCores(t *testing.T) {
	r := newWorkerGroup(t, groupOptions{workers: 3 * runtime.NumCPU(), servers: 6, serviceTime: 2 * time.Millisecond, warmUp: 3})
	outcomes := r.runClients(24, time.Second, r.mixed)
	require.Greater(t, outcomes[broker.Answered], 9*(outcomes[broker.Failed]+outcomes[broker.DeadlineExceeded]))
}

// Four workers share six connections to four servers, and no worker starves.
func TestWorkersWithFewDescriptors(t *testing.T) {
	r := newWorkerGroup(t, groupOptions{workers: 4, servers: 4, conns: 6, serviceTime: 2 * time.Millisecond})
	outcomes := r.runClients(12, time.Second, r.mixed)
	require.Greater(t, outcomes[broker.Answered], 9*(outcomes[broker.Failed]+outcomes[broker.DeadlineExceeded]))
	conns := 0
	for _, s := range r.fleet.Servers {
		conns += s.Connections()
	}
	require.LessOrEqual(t, conns, 6+2) // one just closed may not be gone yet
}

// panickingDecider is a Decider that panics at a query of two parts.
type panickingDecider struct{ decision.Decider }

func (d panickingDecider) Handle(now float64, events []decision.Event) []decision.Action {
	for _, e := range events {
		if q, ok := e.(decision.Query); ok && q.Parts == 2 {
			panic("requested by the test")
		}
	}
	return d.Decider.Handle(now, events)
}

// The queries in flight at a worker that panics fail at once; the other workers keep serving.
func TestPanickingWorkerFailsItsQueries(t *testing.T) {
	r := newWorkerGroup(t, groupOptions{workers: 2, servers: 4, serviceTime: 150 * time.Millisecond,
		decider: func(_ int, set decision.Settings, seed uint64) decision.Decider {
			return panickingDecider{decision.New(set, seed)}
		}})
	results := make(chan broker.Result, 4)
	for i := range 4 {
		go func() { results <- r.submit(r.request(usage, i, 1), 0) }()
	}
	time.Sleep(20 * time.Millisecond)
	panickedAt := time.Now()
	require.Equal(t, broker.Failed, r.submit(r.request(usage, 0, 2), 0).Outcome)
	for range 4 {
		require.Equal(t, broker.Failed, (<-results).Outcome)
	}
	require.Less(t, time.Since(panickedAt), 200*time.Millisecond)
	<-r.Failed()
	require.Equal(t, broker.Failed, r.submit(r.request(usage, 0, 1), 0).Outcome, "submitted to a loop that has ended")
	require.True(t, r.Ready())
	for i := range 4 {
		require.Equal(t, broker.Answered, r.submit(r.request(usage, i, 1)).Outcome)
	}
	r.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Version: 1, Servers: r.fleet.Endpoints()})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r.Drain(ctx)
	require.NoError(t, ctx.Err())
}
