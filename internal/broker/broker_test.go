package broker_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// scriptedDecider returns the actions that the test gives it, whether or not the rules allow them.
type scriptedDecider struct {
	events  chan decision.Event
	actions chan []decision.Action
}

func (s scriptedDecider) Handle(_ float64, events []decision.Event) []decision.Action {
	woken := false
	for _, e := range events {
		s.events <- e
		_, list := e.(decision.EndpointUpdate)
		woken = woken || list
	}
	if woken && len(s.actions) > 0 {
		return <-s.actions
	}
	return nil
}

// link records its calls.
type link struct{ sent, cancelled chan *broker.Call }

func (l link) Send(c *broker.Call)   { l.sent <- c }
func (l link) Cancel(c *broker.Call) { l.cancelled <- c }
func (l link) CheckHealth(p *broker.HealthCheck) {
	p.Finish(broker.ResultOf(decision.OK))
}

type client chan broker.Result

func (c client) Finish(r broker.Result) { c <- r }

type harness struct {
	*testing.T
	scriptedDecider
	link
	b *broker.Broker
}

const (
	idempotent = iota
	nonIdempotent
	partial
	idempotentWithKey
	twoPhase
	twoPhasePartial
)

func newHarness(t *testing.T) *harness { return newHarnessWith(t, broker.Options{}) }

// newHarnessWith starts a core with options whose Settings and ConcurrencyLimit are the harness's.
func newHarnessWith(t *testing.T, options broker.Options) *harness {
	r := &harness{T: t, scriptedDecider: scriptedDecider{make(chan decision.Event, 100), make(chan []decision.Action, 10)},
		link: link{make(chan *broker.Call, 10), make(chan *broker.Call, 10)}}
	set := decision.Settings{ReplicaSets: 4, ReplicationFactor: 2, MaxAttempts: 3, RetryAfterSupported: true, MaxRetryAfter: 0.5,
		ReportMode: decision.ReportPiggyback, Classes: []decision.Class{
			{Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 1},
			{Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 1, Idempotency: decision.NonIdempotent},
			{Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 0.8},
			{Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 1, Idempotency: decision.IdempotentWithKey, IdempotencyWindow: 0.2},
			{Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 1, SecondPhaseFanout: 2},
			{Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 0.5, SecondPhaseFanout: 2}}}
	options.Settings = set
	options.ConcurrencyLimit = 7
	r.b = broker.New(options, r.scriptedDecider, r.link)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.b.Run(ctx)
	r.list(decision.CachedUpdate, "s0", 0, decision.Ready, "s1", 1, decision.Ready, "s2", 2, decision.Ready)
	return r
}

// list posts an endpoint update; entries are id, replica set and state of each server.
func (r *harness) list(mode decision.UpdateMode, entries ...any) {
	l := broker.EndpointUpdate{Mode: mode}
	for i := 0; i < len(entries); i += 3 {
		l.Servers = append(l.Servers, broker.Endpoint{Addr: entries[i].(string), Server: decision.Server{
			ID: entries[i].(string), ReplicaSet: entries[i+1].(int), State: entries[i+2].(decision.State)}})
	}
	r.b.Update(l)
	event[decision.EndpointUpdate](r)
}

// event returns the next event of a type.
func event[E decision.Event](r *harness) E {
	r.Helper()
	for limit := time.After(2 * time.Second); ; {
		select {
		case e := <-r.events:
			if e, ok := e.(E); ok {
				return e
			}
		case <-limit:
			require.FailNow(r, "no such event came")
		}
	}
}

// take submits a query of equal parts at shards 1, 2 and so on, and returns the ids of the query and of its first part.
func (r *harness) take(name string, class, parts int, patience time.Duration) (decision.RequestID, decision.RequestID, client, *broker.Request) {
	req := &broker.Request{ID: name, Class: class, ReceivedAt: time.Now(), Timeout: patience, Payload: []byte("x")}
	for i := range parts {
		req.Parts = append(req.Parts, broker.Part{Shard: i + 1, Weight: 1 / float64(parts)})
	}
	require.NoError(r, req.Normalize(24))
	c := make(client, 1)
	r.b.Submit(req, c)
	q := event[decision.Query](r)
	first := event[decision.Part](r).ID
	for range parts - 1 {
		event[decision.Part](r)
	}
	return q.ID, first, c, req
}

// do has the Decider return actions, at an endpoint update that changes nothing.
func (r *harness) do(actions ...decision.Action) {
	r.actions <- actions
	r.list(decision.DeltaUpdate)
}

func (r *harness) send(id decision.RequestID, server string) *broker.Call {
	r.do(decision.Send{ID: id, Server: server})
	return <-r.sent
}

func done(status decision.Status) broker.CallResult {
	return broker.CallResult{Status: status, LoadReport: decision.NoLoadReport, Value: []byte("v")}
}

func TestRulesStopForbiddenSends(t *testing.T) {
	r := newHarness(t)
	_, part, _, _ := r.take("q", nonIdempotent, 1, time.Second)
	stopped := func(server string) {
		t.Helper()
		r.do(decision.Send{ID: part, Server: server})
		require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
		require.Empty(t, r.sent)
	}
	stopped("unheard-of")
	stopped("s0") // shard 1 is held by cells 1 and 2
	r.send(part, "s2").Finish(done(decision.OK))
	require.Equal(t, decision.OK, event[decision.AttemptFinished](r).Status)
}

func TestNonIdempotentPartsThatMayHaveRunAreNotRetried(t *testing.T) {
	for status, again := range map[decision.Status]bool{
		decision.Overloaded: true, decision.Unreachable: true, decision.NotSent: true,
		decision.Error: false, decision.Reset: false, decision.TimedOut: false,
	} {
		r := newHarness(t)
		q, part, c, _ := r.take("q", nonIdempotent, 1, time.Second)
		call := r.send(part, "s1")
		require.True(t, call.TryStart())
		call.Finish(done(status))
		event[decision.AttemptFinished](r)
		r.do(decision.Send{ID: part, Server: "s2"})
		if again {
			(<-r.sent).Finish(done(decision.Overloaded))
		}
		event[decision.AttemptFinished](r)
		require.Empty(t, r.sent)
		// Nor is such a query refused: that would tell the client that a repeat is harmless.
		r.do(decision.Reject{ID: q, RetryAfter: 0.5})
		want := broker.Result{Outcome: broker.Failed}
		if again {
			want = broker.Result{Outcome: broker.Rejected, RetryAfter: 0.5}
		}
		require.Equal(t, want, <-c)
	}
}

func TestOneAttemptAtATimeAndNoMoreThanAllowed(t *testing.T) {
	r := newHarness(t)
	_, part, _, _ := r.take("q", idempotent, 1, time.Second)
	call := r.send(part, "s1")
	r.do(decision.Send{ID: part, Server: "s2"}) // while one is out
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	call.Finish(done(decision.Error))
	event[decision.AttemptFinished](r)
	r.send(part, "s2").Finish(done(decision.Error))
	event[decision.AttemptFinished](r)
	r.do(decision.Send{ID: part, Server: "s1"}) // the fourth of three
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	require.Empty(t, r.sent)
}

func TestDrainStopsNewAttempts(t *testing.T) {
	r := newHarness(t)
	_, part, _, _ := r.take("q", idempotent, 1, time.Second)
	waiting := r.send(part, "s1") // no connection yet when the list speaks
	r.list(decision.DeltaUpdate, "s1", 1, decision.Draining)
	require.False(t, waiting.TryStart())
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	r.do(decision.Send{ID: part, Server: "s1"})
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	r.list(decision.FullUpdate, "s1", 1, decision.Ready) // back; those that a full list lacks are gone
	r.do(decision.Send{ID: part, Server: "s2"})
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	require.Empty(t, r.sent)
}

func TestLateResultEndsNothing(t *testing.T) {
	r := newHarness(t)
	q, part, c, _ := r.take("q", idempotent, 1, time.Second)
	old := r.send(part, "s1")
	require.True(t, old.TryStart())
	r.do(decision.Cancel{ID: part, Attempt: 0})
	require.Equal(t, old, <-r.cancelled)
	require.Equal(t, decision.Cancelled, event[decision.AttemptFinished](r).Status)
	young := r.send(part, "s2")
	old.Finish(broker.CallResult{Status: decision.OK, Value: []byte("old")})
	young.Finish(broker.CallResult{Status: decision.OK, Value: []byte("new")})
	require.Equal(t, 1, event[decision.AttemptFinished](r).Attempt)
	r.do(decision.Respond{ID: q, Complete: true})
	require.Equal(t, broker.Result{Complete: true, Values: []broker.Value{{1, []byte("new")}}}, <-c)
}

func TestCallThatNeverStartedCannotHaveRun(t *testing.T) {
	r := newHarness(t)
	_, part, _, _ := r.take("q", nonIdempotent, 1, time.Second)
	r.do(decision.Send{ID: part, Server: "s1", Timeout: 0.02})
	waiting := <-r.sent
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	require.False(t, waiting.TryStart())
	r.send(part, "s2")
}

func TestNoAnswerBelowMinCompleteness(t *testing.T) {
	r := newHarness(t)
	q, part, c, _ := r.take("q", partial, 2, time.Second)
	r.send(part, "s1").Finish(done(decision.OK))
	event[decision.AttemptFinished](r)
	r.do(decision.Respond{ID: q, Complete: true}) // half of it: the floor is 0.8
	require.Equal(t, broker.Result{Outcome: broker.Failed}, <-c)
}

func TestPartialAnswerIsNotMarkedComplete(t *testing.T) {
	r := newHarness(t)
	req := &broker.Request{ID: "q", Class: partial, ReceivedAt: time.Now(), Timeout: time.Second,
		Parts: []broker.Part{{Shard: 1, Weight: 0.85}, {Shard: 2, Weight: 0.15}}}
	c := make(client, 1)
	r.b.Submit(req, c)
	q := event[decision.Query](r)
	r.send(event[decision.Part](r).ID, "s1").Finish(done(decision.OK))
	event[decision.AttemptFinished](r)
	r.do(decision.Respond{ID: q.ID, Complete: true})
	require.Equal(t, broker.Result{Values: []broker.Value{{1, []byte("v")}}}, <-c)
}

func TestEachQueryEndsInTimeAndOnce(t *testing.T) {
	r := newHarness(t)
	const timeout, tries = 50 * time.Millisecond, 5 // of which a busy machine may delay some by more than the core's lead
	var took []time.Duration
	for n := range tries {
		q, _, c, req := r.take(fmt.Sprint("q", n), idempotent, 1, timeout)
		require.Equal(t, broker.DeadlineExceeded, (<-c).Outcome) // the Decider has forgotten it
		took = append(took, time.Since(req.ReceivedAt))
		event[decision.ClientDisconnected](r)
		r.do(decision.Fail{ID: q}, decision.Respond{ID: q}, decision.Reject{ID: q})
		require.Empty(t, c)
	}
	require.Less(t, slices.Min(took), timeout, "%v", took)
}

func TestConcurrencyLimitAndDuplicateNames(t *testing.T) {
	r := newHarness(t) // 7 queries and parts
	_, _, first, req := r.take("q", idempotent, 4, time.Second)
	more := make(client, 1)
	r.b.Submit(&broker.Request{ID: "q", ReceivedAt: time.Now(), Timeout: time.Second, Parts: make([]broker.Part, 1)}, more)
	require.Equal(t, broker.Duplicate, (<-more).Outcome)
	r.b.Submit(&broker.Request{ID: "q2", ReceivedAt: time.Now(), Timeout: time.Second, Parts: make([]broker.Part, 2)}, more)
	require.Equal(t, broker.Result{Outcome: broker.Rejected, RetryAfter: 0.5}, <-more)
	r.b.Disconnect(req)
	event[decision.ClientDisconnected](r)
	r.take("q", idempotent, 5, time.Second)
	require.Empty(t, first)
}

func TestNormalizeNamesTheField(t *testing.T) {
	for want, change := range map[string]func(*broker.Request){
		"id":                   func(r *broker.Request) { r.ID = "a b" },
		"deadline":             func(r *broker.Request) { r.Timeout = 0 },
		"targets: a":           func(r *broker.Request) { r.Parts = nil },
		"targets[1].partition": func(r *broker.Request) { r.Parts[1].Shard = 1 },
		"targets[1].share":     func(r *broker.Request) { r.Parts[1].Weight = -1 },
		"targets[0].est_us":    func(r *broker.Request) { r.Parts[0].Work = -1 },
		"targets: the shares":  func(r *broker.Request) { r.Parts[0].Weight = 0.1 },
	} {
		r := &broker.Request{ID: "q", Timeout: time.Second, Parts: []broker.Part{{Shard: 1, Weight: 0.5}, {Shard: 2, Weight: 0.4999}}}
		require.NoError(t, r.Normalize(24))
		require.InDelta(t, 1, r.Parts[0].Weight+r.Parts[1].Weight, 1e-9) // rounded shares still make a whole
		change(r)
		require.ErrorContains(t, r.Normalize(24), want)
	}
}

// The client has gone while an attempt waits for its connection. The core itself ends it, whatever the Decider does;
// and before the loop has heard of it, nothing begins either.
func TestNoAttemptStartsAfterDisconnect(t *testing.T) {
	r := newHarness(t)
	_, part, _, req := r.take("q", nonIdempotent, 1, time.Second)
	waiting := r.send(part, "s1")
	r.b.Disconnect(req)
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	event[decision.ClientDisconnected](r)
	require.False(t, waiting.TryStart())
	require.Same(t, waiting, <-r.cancelled)

	_, part, _, req = r.take("q2", idempotent, 1, time.Second)
	req.Disconnected = new(atomic.Bool)
	waiting = r.send(part, "s1")
	req.Disconnected.Store(true) // the front knows; the loop is busy
	require.False(t, waiting.TryStart())
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	r.do(decision.Send{ID: part, Server: "s2"})
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	require.Empty(t, r.sent)
	r.b.Disconnect(req)
	event[decision.ClientDisconnected](r)

	gone := &broker.Request{ID: "q3", ReceivedAt: time.Now(), Timeout: time.Second, Parts: []broker.Part{{Shard: 1, Weight: 1}}, Disconnected: new(atomic.Bool)}
	gone.Disconnected.Store(true)
	c := make(client, 1)
	r.b.Submit(gone, c)
	r.list(decision.DeltaUpdate)
	require.Empty(t, c)
	require.Empty(t, r.events, "the Decider has not heard of it")
}

// A query has its answer while an attempt waits for a connection; the Decider does not cancel it.
func TestNoAttemptStartsAfterTheQueryEnded(t *testing.T) {
	r := newHarness(t)
	q, part, c, _ := r.take("q", idempotent, 1, time.Second)
	waiting := r.send(part, "s1")
	r.do(decision.Reject{ID: q, RetryAfter: 0.5})
	require.Equal(t, broker.Rejected, (<-c).Outcome)
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	require.False(t, waiting.TryStart())
}

// Servers drop duplicates within the window only. A retry that has waited for its connection beyond it must not start.
func TestNoRetryAfterIdempotencyWindow(t *testing.T) {
	r := newHarness(t)
	_, part, _, _ := r.take("q", idempotentWithKey, 1, 2*time.Second)
	first := r.send(part, "s1")
	require.True(t, first.TryStart())
	first.Finish(done(decision.Reset))
	event[decision.AttemptFinished](r)
	again := r.send(part, "s2") // within the window of 0.2 s
	time.Sleep(220 * time.Millisecond)
	require.False(t, again.TryStart())
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	r.do(decision.Send{ID: part, Server: "s1"})
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	require.Empty(t, r.sent)

	_, part, _, _ = r.take("q2", idempotentWithKey, 1, 2*time.Second)
	r.send(part, "s1").Finish(done(decision.Unreachable)) // cannot have run: no window
	event[decision.AttemptFinished](r)
	time.Sleep(220 * time.Millisecond)
	require.True(t, r.send(part, "s2").TryStart())
}

// Every query in flight or accepted later has its answer before the process is killed: from the answered parts, rejected or
// failed.
func TestShutdownDeadlineAnswersEveryQuery(t *testing.T) {
	// On a virtual clock: a busy machine is late by more than the test allows.
	synctest.Test(t, testShutdownDeadlineAnswersEveryQuery)
}

func testShutdownDeadlineAnswersEveryQuery(t *testing.T) {
	r := newHarness(t)
	_, part, in, _ := r.take("q", partial, 1, 4*time.Second)
	r.send(part, "s1").Finish(done(decision.OK))
	event[decision.AttemptFinished](r)
	_, part, ran, _ := r.take("q2", nonIdempotent, 1, 4*time.Second)
	require.True(t, r.send(part, "s1").TryStart())
	end := time.Now().Add(100 * time.Millisecond)
	r.b.SetShutdownDeadline(end)
	q, _, later, _ := r.take("q3", idempotent, 1, 4*time.Second)
	require.NotZero(t, q)
	require.Equal(t, broker.Result{Complete: true, Values: []broker.Value{{1, []byte("v")}}}, <-in)
	require.Equal(t, broker.Result{Outcome: broker.Failed}, <-ran)
	require.Equal(t, broker.Result{Outcome: broker.Rejected, RetryAfter: 0.5}, <-later)
	require.WithinRange(t, time.Now(), end.Add(-50*time.Millisecond), end)
	last := make(client, 1)
	r.b.Submit(&broker.Request{ID: "q4", ReceivedAt: time.Now(), Timeout: time.Second, Parts: make([]broker.Part, 1)}, last)
	require.Equal(t, broker.Rejected, (<-last).Outcome, "at once")
}

// blockingClient blocks the loop in Finish: the test receives once to wait for that, and sends once to release it.
type blockingClient chan struct{}

func (s blockingClient) Finish(broker.Result) { s <- struct{}{}; <-s }

// A busy loop must not delay a drain: links see it at once.
func TestUpdateBindsLinksBeforeTheLoop(t *testing.T) {
	r := newHarness(t)
	_, part, _, req := r.take("q", idempotent, 1, time.Second)
	waiting := r.send(part, "s1")
	loop := make(blockingClient)
	r.b.Submit(req, loop) // a second of its name
	<-loop
	go r.b.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Servers: []broker.Endpoint{{Addr: "s1",
		Server: decision.Server{ID: "s1", ReplicaSet: 1, State: decision.Draining}}}})
	require.Eventually(t, waiting.Server.Unavailable, time.Second, time.Millisecond)
	require.False(t, waiting.TryStart())
	loop <- struct{}{}
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
}

// A health check that has waited for a connection is checked again, like a call.
func TestNoHealthCheckOfADrainingServer(t *testing.T) {
	r := newHarness(t)
	probes := make(chan *broker.HealthCheck, 1)
	r.b = broker.New(broker.Options{Settings: decision.Settings{ReplicaSets: 4, ReplicationFactor: 2}}, r.scriptedDecider, keeps{r.link, probes})
	go r.b.Run(t.Context())
	r.list(decision.FullUpdate, "s0", 0, decision.Ready, "s1", 1, decision.Ready)
	r.do(decision.CheckHealth{Server: "s0"}, decision.CheckHealth{Server: "s1"})
	stays, leaves := <-probes, <-probes
	r.list(decision.DeltaUpdate, "s1", 1, decision.Draining)
	require.True(t, stays.TryStart())
	require.False(t, leaves.TryStart())
	require.Equal(t, decision.NotSent, event[decision.HealthChecked](r).Status)
}

type keeps struct {
	link
	probes chan *broker.HealthCheck
}

func (k keeps) CheckHealth(p *broker.HealthCheck) { k.probes <- p }
