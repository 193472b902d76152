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

// workerGroup is a group of workers with record servers on loopback, which detect violations of their rules.
type workerGroup struct {
	*testing.T
	*Group
	fleet           *recordservertest.Fleet
	lastQueryNumber atomic.Int64
}

type groupOptions struct {
	workers          int
	servers          int
	maxConns         int // connections to record servers; 0: no limit
	concurrencyLimit int
	serviceTime      time.Duration
	warmUp           float64 // duration of slow start, in seconds
	decider          func(int, decision.Settings, uint64) decision.Decider
}

// Classes of settings.
const (
	usage    = iota // idempotent, needs all parts
	charge          // non-idempotent, needs all parts
	report          // idempotent, with a minimum completeness of 0.8
	twoPhase        // with a second phase of two parts
)

// settings returns settings with the classes above and a duration of slow start in seconds.
func settings(servers int, warmUp float64) decision.Settings {
	return decision.Settings{
		ReplicaSets: servers, ReplicationFactor: 2, MaxAttempts: 4, CancelAllowed: true, RetryAfterSupported: true,
		MaxRetryAfter: 0.5, Brokers: 1, ReportMode: decision.ReportPiggyback, Tick: 0.005,
		SlowStart: slowstart.Settings{InitialFraction: 0.2, Duration: warmUp, OverloadFactor: 2.5, OverloadWindow: 1.5},
		Classes: []decision.Class{
			{LatencyObjective: 1, Deadline: 2, PriorityWeight: 1, CompletenessThreshold: 1, MinCompleteness: 1},
			{LatencyObjective: 1, Deadline: 2, PriorityWeight: 2, CompletenessThreshold: 1, MinCompleteness: 1,
				Idempotency: decision.NonIdempotent},
			{LatencyObjective: 1, Deadline: 2, PriorityWeight: 3, CompletenessThreshold: 1, MinCompleteness: 0.8, LateValue: 0.1},
			{LatencyObjective: 1, Deadline: 2, PriorityWeight: 3, CompletenessThreshold: 1, MinCompleteness: 1, SecondPhaseFanout: 2}},
	}
}

// newWorkerGroup starts record servers and a group of workers. At the end of the test it stops both, and requires that no
// record server detected a violation and that no worker sent parts beyond its leases.
func newWorkerGroup(t *testing.T, o groupOptions) *workerGroup {
	fleet, err := recordservertest.New(recordservertest.Options{
		Servers: o.servers, ReplicationFactor: 2, ServiceTime: o.serviceTime, Seed: 1, SecondPhaseFanout: 2,
		NonIdempotent: func(id string) bool { return strings.HasPrefix(id, "charge") }})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	link := upstream.New(ctx, upstream.Options{MaxStreams: 100, MaxConns: o.maxConns, IdleTimeout: 15 * time.Second,
		ConnectTimeout: 250 * time.Millisecond})
	g := &workerGroup{T: t, fleet: fleet, Group: New(Options{Workers: o.workers, Settings: settings(o.servers, o.warmUp),
		ConcurrencyLimit: o.concurrencyLimit, Seed: 7, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Decider: o.decider}, link)}
	runDone := make(chan struct{})
	go func() {
		g.Group.Run(ctx)
		close(runDone)
	}()
	t.Cleanup(func() {
		cancel()
		<-runDone
		fleet.Close()
		violations, attempts := fleet.Violations()
		require.Empty(t, violations)
		require.NotZero(t, attempts)
		g.state.mu.Lock()
		defer g.state.mu.Unlock()
		require.Zero(t, g.state.overspent, "parts were sent to a server in slow start beyond a lease")
	})
	g.Update(broker.EndpointUpdate{Mode: decision.CachedUpdate, Servers: fleet.Endpoints()})
	return g
}

// answer is a client that receives the result of one query.
type answer chan broker.Result

func (a answer) Finish(result broker.Result) { a <- result }

// request returns a query with parts at consecutive shards.
func (g *workerGroup) request(class, shard, parts int) *broker.Request {
	n := g.lastQueryNumber.Add(1)
	q := &broker.Request{ID: fmt.Sprintf("%s%d", []string{"usage", "charge", "report", "docket"}[class], n), Class: class,
		ReceivedAt: time.Now(), Timeout: 1500 * time.Millisecond, Payload: []byte("x")}
	for i := range parts {
		q.Parts = append(q.Parts, broker.Part{Shard: (shard + i) % len(g.fleet.Servers), Weight: 1 / float64(parts)})
	}
	return q
}

// submit submits a query, directly to a worker if one is given, and returns its result. It fails the test if the result is
// more than 50 ms late.
func (g *workerGroup) submit(q *broker.Request, worker ...int) broker.Result {
	a := make(answer, 2)
	if len(worker) > 0 {
		g.workers[worker[0]].broker.Submit(q, a)
	} else {
		g.Submit(q, a)
	}
	select {
	case res := <-a:
		if lateness := time.Since(q.ReceivedAt) - q.Timeout; lateness > 50*time.Millisecond {
			g.Errorf("%s was answered %v after its deadline", q.ID, lateness)
		}
		return res
	case <-time.After(q.Timeout + time.Second):
		g.Errorf("%s was not answered within a second after its deadline", q.ID)
		return broker.Result{Outcome: broker.Failed}
	}
}

// runClients runs clients, each of which submits queries in sequence for a duration, and returns the number of queries by
// outcome.
func (g *workerGroup) runClients(clients int, d time.Duration, request func(client, n int) *broker.Request) (outcomes [5]int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	stopAt := time.Now().Add(d)
	for c := range clients {
		wg.Go(func() {
			for n := 0; time.Now().Before(stopAt); n++ {
				res := g.submit(request(c, n))
				mu.Lock()
				outcomes[res.Outcome]++
				mu.Unlock()
				if res.Outcome != broker.Answered {
					time.Sleep(5 * time.Millisecond) // clients back off after a failure
				}
			}
		})
	}
	wg.Wait()
	return outcomes
}

// mixedRequest returns a query of a class that depends on the client and the number of the query.
func (g *workerGroup) mixedRequest(c, n int) *broker.Request {
	return g.request([]int{usage, report, charge, usage}[(c+n)%4], c+n, []int{3, 4, 1, 3}[(c+n)%4])
}

// TestHangingServerIsSharedBetweenWorkers checks that after one worker has found that a server hangs, the other sends few
// parts to it.
func TestHangingServerIsSharedBetweenWorkers(t *testing.T) {
	g := newWorkerGroup(t, groupOptions{workers: 2, servers: 4, serviceTime: 5 * time.Millisecond})
	for n := range 60 {
		for w := range 2 {
			require.Equal(t, broker.Answered, g.submit(g.request(usage, n, 4), w).Outcome)
		}
	}
	hanging := g.fleet.Servers[1]
	hanging.SetHanging(true)
	var wg sync.WaitGroup
	for i := range 16 { // the hanging server has shards 0 and 1
		wg.Go(func() { g.submit(g.request(usage, i%2, 1), 0) })
	}
	wg.Wait()
	arrivedBefore := hanging.Arrivals()
	served := 0
	for i := range 40 {
		if g.submit(g.request(usage, i%2, 1), 1).Outcome == broker.Answered {
			served++
		}
	}
	require.LessOrEqual(t, hanging.Arrivals()-arrivedBefore, 6, "parts sent to the hanging server, which would receive half of 40")
	require.GreaterOrEqual(t, served, 36)
}

// TestFaultOfOneWorkerDoesNotMarkServerUnhealthy checks that a worker keeps using a server at which only another worker
// observes failures.
func TestFaultOfOneWorkerDoesNotMarkServerUnhealthy(t *testing.T) {
	g := newWorkerGroup(t, groupOptions{workers: 2, servers: 2, serviceTime: time.Millisecond})
	g.submit(g.request(usage, 0, 2))
	server := g.fleet.Servers[0]
	arrivedBefore := server.Arrivals()
	for range 1000 { // enough that the effect of one slow answer on a busy machine decays
		require.Equal(t, broker.Answered, g.submit(g.request(usage, 0, 1), 1).Outcome)
		g.state.mu.Lock() // worker 0 observes resets of its own connection
		g.state.recordOutcome(0, g.now(), server.ID, decision.Reset,
			observations.Observation{Latency: 0.001, LoadReport: decision.NoLoadReport})
		g.state.mu.Unlock()
	}
	require.Greater(t, server.Arrivals()-arrivedBefore, 200, "parts sent to one of two replicas, of 1000")
}

// now returns the current time as workers pass it to their Deciders.
func (g *workerGroup) now() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// TestLeasesProtectServerInSlowStart checks that four workers together, like a single one, do not overload a server in slow
// start.
func TestLeasesProtectServerInSlowStart(t *testing.T) {
	var maxArrivals [2]int
	for i, workers := range []int{1, 4} {
		g := newWorkerGroup(t, groupOptions{workers: workers, servers: 4, serviceTime: 4 * time.Millisecond, warmUp: 6})
		g.runClients(8, 1500*time.Millisecond, func(c, n int) *broker.Request { return g.request(usage, c+n, 2) })
		arrivedBefore := make([]int, 4)
		for i, s := range g.fleet.Servers {
			arrivedBefore[i] = s.Arrivals()
		}
		restarted := g.fleet.Servers[2]
		restarted.Restart()
		g.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Version: 1,
			Servers: []broker.Endpoint{restarted.Endpoint(decision.Ready)}})
		outcomes := g.runClients(8, 1600*time.Millisecond, func(c, n int) *broker.Request { return g.request(usage, c+n, 2) })
		require.NotZero(t, outcomes[broker.Answered])
		maxArrivals[i] = restarted.MaxArrivals(1500 * time.Millisecond)
		require.NotZero(t, maxArrivals[i], "the server received nothing in slow start")
		// The load of a warm server in the same time is a lower bound of a server's capacity. The limit is 2.5 times the
		// fraction of the capacity that a server in slow start has at the end of the window.
		warmRate := float64(g.fleet.Servers[0].Arrivals()-arrivedBefore[0]) / 1.6
		require.Less(t, float64(maxArrivals[i]), 2.5*(0.2+0.8*1.6/6)*warmRate*1.5, "%d workers", workers)
	}
	t.Logf("maximum number of parts in 1.5 s: %d with one worker, %d with four", maxArrivals[0], maxArrivals[1])
}

// TestEndpointUpdatesWhileLeasesAreOutstanding restarts, removes and re-adds servers under load, while workers have leases for
// them.
func TestEndpointUpdatesWhileLeasesAreOutstanding(t *testing.T) {
	g := newWorkerGroup(t, groupOptions{workers: 3, servers: 6, serviceTime: 2 * time.Millisecond, warmUp: 3})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for v := int64(1); ; v++ {
			select {
			case <-stop:
				return
			case <-time.After(60 * time.Millisecond):
			}
			s := g.fleet.Servers[v%6]
			switch v % 3 {
			case 0, 1:
				s.Restart()
				g.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Version: v,
					Servers: []broker.Endpoint{s.Endpoint(decision.Ready)}})
			case 2:
				g.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Version: v,
					Servers: []broker.Endpoint{s.Endpoint(decision.Removed)}})
				time.Sleep(20 * time.Millisecond)
				v += 6 // a newer version with the same v % 6, the server, and v % 3, the kind of update
				g.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Version: v,
					Servers: []broker.Endpoint{s.Endpoint(decision.Ready)}})
			}
		}
	})
	outcomes := g.runClients(8, 2*time.Second, g.mixedRequest)
	close(stop)
	wg.Wait()
	require.NotZero(t, outcomes[broker.Answered])
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	require.LessOrEqual(t, len(g.state.warmingUp), 6)
	require.LessOrEqual(t, g.state.observations.Len(), 6)
}

// delayedDecider is a Decider whose Handle does not return before a given time, as on a preempted processor core.
type delayedDecider struct {
	decision.Decider
	until *atomic.Int64 // in Unix nanoseconds
}

func (d delayedDecider) Handle(now float64, events []decision.Event) []decision.Action {
	actions := d.Decider.Handle(now, events)
	time.Sleep(time.Until(time.Unix(0, d.until.Load()))) // after the decision, which may be outdated when Handle returns
	return actions
}

// TestDrainStopsSendsOfBusyWorker checks that parts that a blocked worker decided to send to a server are not sent if the
// server has started to drain meanwhile, and that Update does not wait for the worker.
func TestDrainStopsSendsOfBusyWorker(t *testing.T) {
	var busyUntil atomic.Int64 // in Unix nanoseconds
	g := newWorkerGroup(t, groupOptions{workers: 2, servers: 4, serviceTime: 2 * time.Millisecond,
		decider: func(w int, settings decision.Settings, seed uint64) decision.Decider {
			if w == 0 {
				return delayedDecider{decision.New(settings, seed), &busyUntil}
			}
			return decision.New(settings, seed)
		}})
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(300 * time.Millisecond)
		busyUntil.Store(time.Now().Add(700 * time.Millisecond).UnixNano())
		time.Sleep(50 * time.Millisecond) // by then the busy worker has decided sends to all servers, which are pending
		s := g.fleet.Servers[1]
		s.RecordDrain()
		g.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Version: 1,
			Servers: []broker.Endpoint{s.Endpoint(decision.Draining)}})
		if lateness := time.Since(time.Unix(0, busyUntil.Load())); lateness >= 0 {
			t.Errorf("Update returned %v after the busy worker had resumed, want before", lateness)
		}
	})
	outcomes := g.runClients(8, 1500*time.Millisecond, func(c, n int) *broker.Request { return g.request(usage, c+n, 4) })
	wg.Wait()
	require.NotZero(t, outcomes[broker.Answered])
	require.LessOrEqual(t, updateTimeout, 200*time.Millisecond, "time that a watch may wait for a busy worker")
}

// TestLoadOfOneConnectionSpreadsOverWorkers checks that queries submitted in sequence, as by one connection, are spread over
// the workers.
func TestLoadOfOneConnectionSpreadsOverWorkers(t *testing.T) {
	var queries [2]atomic.Int64
	g := newWorkerGroup(t, groupOptions{workers: 2, servers: 4, serviceTime: time.Millisecond,
		decider: func(w int, settings decision.Settings, seed uint64) decision.Decider {
			return countingDecider{decision.New(settings, seed), &queries[w]}
		}})
	for n := range 100 {
		require.Equal(t, broker.Answered, g.submit(g.request(usage, n, 2)).Outcome)
	}
	require.Greater(t, queries[0].Load(), int64(25))
	require.Greater(t, queries[1].Load(), int64(25))
	require.Equal(t, []int{0, 0}, g.InFlightByWorker())
}

// countingDecider is a Decider that counts the queries it receives.
type countingDecider struct {
	decision.Decider
	queries *atomic.Int64
}

func (c countingDecider) Handle(now float64, events []decision.Event) []decision.Action {
	for _, e := range events {
		if _, ok := e.(decision.Query); ok {
			c.queries.Add(1)
		}
	}
	return c.Decider.Handle(now, events)
}

// TestNonIdempotentPartsAcrossWorkers runs mostly non-idempotent queries while servers fail and reset connections. Clients
// continue with new queries, which any worker may receive. The record servers detect violations, such as a non-idempotent
// part that is executed twice.
func TestNonIdempotentPartsAcrossWorkers(t *testing.T) {
	g := newWorkerGroup(t, groupOptions{workers: 4, servers: 4, serviceTime: 3 * time.Millisecond})
	for _, s := range g.fleet.Servers[:2] {
		s.SetFailureRatio(0.3)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
				g.fleet.Servers[n%4].ResetConnections()
			}
		}
	})
	outcomes := g.runClients(12, 1500*time.Millisecond, func(c, n int) *broker.Request {
		if n%10 == 0 {
			return g.request(report, c, 4)
		}
		return g.request(charge, c+n, 1+n%2)
	})
	close(stop)
	wg.Wait()
	require.NotZero(t, outcomes[broker.Answered])
}

// TestDuplicateNameIsRejectedAcrossWorkers checks that only one of several concurrent queries with the same ID is served.
func TestDuplicateNameIsRejectedAcrossWorkers(t *testing.T) {
	g := newWorkerGroup(t, groupOptions{workers: 4, servers: 4, serviceTime: 30 * time.Millisecond})
	for range 10 {
		q := g.request(charge, 0, 1)
		var outcomes [5]atomic.Int64
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				duplicate := *q
				duplicate.ReceivedAt = time.Now()
				outcomes[g.submit(&duplicate).Outcome].Add(1)
			})
		}
		wg.Wait()
		require.Equal(t, int64(1), outcomes[broker.Answered].Load())
		require.Equal(t, int64(7), outcomes[broker.Duplicate].Load())
	}
	require.Zero(t, g.InFlight())
}

func TestDisconnectReleasesCapacity(t *testing.T) {
	g := newWorkerGroup(t, groupOptions{workers: 2, servers: 2, concurrencyLimit: 4, serviceTime: 200 * time.Millisecond})
	for range 5 {
		q := g.request(usage, 0, 2)
		g.Submit(q, make(answer, 1))
		g.Disconnect(q)
		require.Eventually(t, func() bool { return g.limiter.Acquired() == 0 && g.InFlight() == 0 }, time.Second, time.Millisecond)
	}
	require.Equal(t, []int{0, 0}, g.InFlightByWorker())
	require.Equal(t, broker.Answered, g.submit(g.request(usage, 0, 1)).Outcome)
}

// TestConcurrencyLimitIsSharedByWorkers checks that the concurrency limit applies to all workers together.
func TestConcurrencyLimitIsSharedByWorkers(t *testing.T) {
	g := newWorkerGroup(t, groupOptions{workers: 4, servers: 4, concurrencyLimit: 9, serviceTime: 100 * time.Millisecond})
	var wg sync.WaitGroup
	var served, rejected atomic.Int64
	for range 8 {
		wg.Go(func() {
			switch res := g.submit(g.request(usage, 0, 2)); res.Outcome { // each query counts as 3 of the limit of 9
			case broker.Answered:
				served.Add(1)
			case broker.Rejected:
				require.Equal(t, 0.5, res.RetryAfter)
				rejected.Add(1)
			}
		})
	}
	wg.Wait()
	require.Equal(t, int64(3), served.Load())
	require.Equal(t, int64(5), rejected.Load())
}

func TestMoreWorkersThanCores(t *testing.T) {
	g := newWorkerGroup(t, groupOptions{workers: 3 * runtime.NumCPU(), servers: 6, serviceTime: 2 * time.Millisecond, warmUp: 3})
	outcomes := g.runClients(24, time.Second, g.mixedRequest)
	require.Greater(t, outcomes[broker.Answered], 9*(outcomes[broker.Failed]+outcomes[broker.DeadlineExceeded]))
}

// TestWorkersWithFewDescriptors checks that four workers that share at most six connections to four servers answer most
// queries.
func TestWorkersWithFewDescriptors(t *testing.T) {
	g := newWorkerGroup(t, groupOptions{workers: 4, servers: 4, maxConns: 6, serviceTime: 2 * time.Millisecond})
	outcomes := g.runClients(12, time.Second, g.mixedRequest)
	require.Greater(t, outcomes[broker.Answered], 9*(outcomes[broker.Failed]+outcomes[broker.DeadlineExceeded]))
	conns := 0
	for _, s := range g.fleet.Servers {
		conns += s.Connections()
	}
	require.LessOrEqual(t, conns, 6+2) // servers may not have noticed yet that connections were closed
}

// panickingDecider is a Decider that panics on a query with two parts.
type panickingDecider struct{ decision.Decider }

func (d panickingDecider) Handle(now float64, events []decision.Event) []decision.Action {
	for _, e := range events {
		if q, ok := e.(decision.Query); ok && q.Parts == 2 {
			panic("requested by the test")
		}
	}
	return d.Decider.Handle(now, events)
}

// TestPanickingWorkerFailsItsQueries checks that the queries in flight at a worker that panics fail at once, and that the other
// worker continues to serve queries.
func TestPanickingWorkerFailsItsQueries(t *testing.T) {
	g := newWorkerGroup(t, groupOptions{workers: 2, servers: 4, serviceTime: 150 * time.Millisecond,
		decider: func(_ int, settings decision.Settings, seed uint64) decision.Decider {
			return panickingDecider{decision.New(settings, seed)}
		}})
	results := make(chan broker.Result, 4)
	for i := range 4 {
		go func() { results <- g.submit(g.request(usage, i, 1), 0) }()
	}
	time.Sleep(20 * time.Millisecond)
	panickedAt := time.Now()
	require.Equal(t, broker.Failed, g.submit(g.request(usage, 0, 2), 0).Outcome)
	for range 4 {
		require.Equal(t, broker.Failed, (<-results).Outcome)
	}
	require.Less(t, time.Since(panickedAt), 200*time.Millisecond)
	<-g.Failed()
	require.Equal(t, broker.Failed, g.submit(g.request(usage, 0, 1), 0).Outcome, "query submitted to a loop that has ended")
	require.True(t, g.Ready())
	for i := range 4 {
		require.Equal(t, broker.Answered, g.submit(g.request(usage, i, 1)).Outcome)
	}
	g.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Version: 1, Servers: g.fleet.Endpoints()})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	g.Drain(ctx)
	require.NoError(t, ctx.Err())
}
