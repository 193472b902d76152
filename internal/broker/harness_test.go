package broker_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// scriptedDecider is a Decider that returns the actions set by the test, whether or not the rules allow them.
type scriptedDecider struct {
	events  chan decision.Event
	actions chan []decision.Action
}

// Handle records the events. If there is an endpoint update among them, it returns the next scripted actions.
func (d scriptedDecider) Handle(_ float64, events []decision.Event) []decision.Action {
	updated := false
	for _, e := range events {
		d.events <- e
		_, isUpdate := e.(decision.EndpointUpdate)
		updated = updated || isUpdate
	}
	if updated && len(d.actions) > 0 {
		return <-d.actions
	}
	return nil
}

// link is a fake Link. It records sent and cancelled calls, and answers each health check with OK.
type link struct{ sentCalls, cancelledCalls chan *broker.Call }

func (l link) Send(c *broker.Call) { l.sentCalls <- c }

func (l link) Cancel(c *broker.Call) { l.cancelledCalls <- c }

func (l link) CheckHealth(check *broker.HealthCheck) {
	check.Finish(broker.ResultOf(decision.OK))
}

// client is a Client that passes the final result of its query to the test.
type client chan broker.Result

func (c client) Finish(r broker.Result) { c <- r }

// harness is a core with a scripted Decider and a fake link, for the test that it embeds.
type harness struct {
	*testing.T
	scriptedDecider
	link
	broker *broker.Broker
}

// Class indexes of the harness. All classes have a deadline of 4 s.
const (
	idempotent = iota
	nonIdempotent
	partial           // minimum completeness 0.8
	idempotentWithKey // idempotency window 0.2 s
	twoPhase          // second-phase fan-out 2
	twoPhasePartial   // second-phase fan-out 2, minimum completeness 0.5
)

// newHarness starts a core with the default options of the harness.
func newHarness(t *testing.T) *harness { return newHarnessWith(t, broker.Options{}) }

// newHarnessWith starts a core with options, except that Settings are those of the harness and ConcurrencyLimit is 7. Servers
// s0, s1 and s2 are ready, in replica sets 0, 1 and 2. The core stops when the test ends.
func newHarnessWith(t *testing.T, options broker.Options) *harness {
	h := &harness{T: t, scriptedDecider: scriptedDecider{make(chan decision.Event, 100), make(chan []decision.Action, 10)},
		link: link{make(chan *broker.Call, 10), make(chan *broker.Call, 10)}}
	settings := decision.Settings{ReplicaSets: 4, ReplicationFactor: 2, MaxAttempts: 3, RetryAfterSupported: true, MaxRetryAfter: 0.5,
		ReportMode: decision.ReportPiggyback, Classes: []decision.Class{
			{Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 1},
			{Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 1, Idempotency: decision.NonIdempotent},
			{Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 0.8},
			{Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 1, Idempotency: decision.IdempotentWithKey, IdempotencyWindow: 0.2},
			{Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 1, SecondPhaseFanout: 2},
			{Deadline: 4, CompletenessThreshold: 1, MinCompleteness: 0.5, SecondPhaseFanout: 2}}}
	options.Settings = settings
	options.ConcurrencyLimit = 7
	h.broker = broker.New(options, h.scriptedDecider, h.link)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h.broker.Run(ctx)
	h.updateEndpoints(decision.CachedUpdate, "s0", 0, decision.Ready, "s1", 1, decision.Ready, "s2", 2, decision.Ready)
	return h
}

// updateEndpoints posts an endpoint update and waits until the Decider has received it. The entries are the id, replica set and
// state of each server.
func (h *harness) updateEndpoints(mode decision.UpdateMode, entries ...any) {
	update := broker.EndpointUpdate{Mode: mode}
	for i := 0; i < len(entries); i += 3 {
		update.Servers = append(update.Servers, broker.Endpoint{Addr: entries[i].(string), Server: decision.Server{
			ID: entries[i].(string), ReplicaSet: entries[i+1].(int), State: entries[i+2].(decision.State)}})
	}
	h.broker.Update(update)
	awaitEvent[decision.EndpointUpdate](h)
}

// awaitEvent returns the next event of type E and discards events before it. It fails the test after 2 s.
func awaitEvent[E decision.Event](h *harness) E {
	h.Helper()
	for timeout := time.After(2 * time.Second); ; {
		select {
		case e := <-h.events:
			if e, ok := e.(E); ok {
				return e
			}
		case <-timeout:
			require.FailNowf(h, "event is missing", "the Decider received no %T within 2 s", *new(E))
		}
	}
}

// submit submits a query of equal parts at the shards from 1. It returns the ids of the query and of its first part, the
// client and the request.
func (h *harness) submit(name string, class, parts int, timeout time.Duration) (
	query, firstPart decision.RequestID, answer client, request *broker.Request) {
	request = &broker.Request{ID: name, Class: class, ReceivedAt: time.Now(), Timeout: timeout, Payload: []byte("x")}
	for i := range parts {
		request.Parts = append(request.Parts, broker.Part{Shard: i + 1, Weight: 1 / float64(parts)})
	}
	require.NoError(h, request.Normalize(24))
	answer = make(client, 1)
	h.broker.Submit(request, answer)
	query = awaitEvent[decision.Query](h).ID
	firstPart = awaitEvent[decision.Part](h).ID
	for range parts - 1 {
		awaitEvent[decision.Part](h)
	}
	return query, firstPart, answer, request
}

// perform makes the Decider return actions. It triggers the Decider with an empty endpoint update.
func (h *harness) perform(actions ...decision.Action) {
	h.actions <- actions
	h.updateEndpoints(decision.DeltaUpdate)
}

// send makes the Decider send an attempt of a part to a server, and returns the call that the link receives.
func (h *harness) send(id decision.RequestID, server string) *broker.Call {
	h.perform(decision.Send{ID: id, Server: server})
	return <-h.sentCalls
}

// callResult returns a call result with a status, the value "v" and no score.
func callResult(status decision.Status) broker.CallResult {
	return broker.CallResult{Status: status, LoadReport: decision.NoLoadReport, Value: []byte("v")}
}

// blockingClient is a Client that blocks the loop in Finish. The test receives once to wait for Finish, and sends once to
// unblock it.
type blockingClient chan struct{}

func (c blockingClient) Finish(broker.Result) { c <- struct{}{}; <-c }

// fakeConn is a ClientConn whose state the test sets.
type fakeConn struct{ state atomic.Int32 }

func (c *fakeConn) State() broker.ClientState { return broker.ClientState(c.state.Load()) }

func (c *fakeConn) set(state broker.ClientState) { c.state.Store(int32(state)) }
