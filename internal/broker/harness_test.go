package broker_test

import (
	"context"
	"testing"
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

// Handle records the events, and returns the next scripted actions if there is an endpoint update among them.
func (s scriptedDecider) Handle(_ float64, events []decision.Event) []decision.Action {
	updated := false
	for _, e := range events {
		s.events <- e
		_, isUpdate := e.(decision.EndpointUpdate)
		updated = updated || isUpdate
	}
	if updated && len(s.actions) > 0 {
		return <-s.actions
	}
	return nil
}

// link records the calls that are sent and cancelled, and answers each health check with OK.
type link struct{ sent, cancelled chan *broker.Call }

func (l link) Send(c *broker.Call) { l.sent <- c }

func (l link) Cancel(c *broker.Call) { l.cancelled <- c }

func (l link) CheckHealth(p *broker.HealthCheck) {
	p.Finish(broker.ResultOf(decision.OK))
}

// client receives the result of its query.
type client chan broker.Result

func (c client) Finish(r broker.Result) { c <- r }

// harness is a broker with a scripted Decider and a recording link, in the test that it embeds.
type harness struct {
	*testing.T
	scriptedDecider
	link
	broker *broker.Broker
}

// The classes of the harness, by their index. All have a deadline of 4 s.
const (
	idempotent = iota
	nonIdempotent
	partial           // minimum completeness 0.8
	idempotentWithKey // idempotency window 0.2 s
	twoPhase          // second-phase fan-out 2
	twoPhasePartial   // and minimum completeness 0.5
)

// newHarness starts a core with default options.
func newHarness(t *testing.T) *harness { return newHarnessWith(t, broker.Options{}) }

// newHarnessWith starts a core with options, but with the Settings of the harness and a ConcurrencyLimit of 7. Servers s0, s1
// and s2 are ready, one in each of the replica sets 0 to 2. The core ends with the test.
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

// updateEndpoints posts an endpoint update; entries are id, replica set and state of each server.
func (h *harness) updateEndpoints(mode decision.UpdateMode, entries ...any) {
	update := broker.EndpointUpdate{Mode: mode}
	for i := 0; i < len(entries); i += 3 {
		update.Servers = append(update.Servers, broker.Endpoint{Addr: entries[i].(string), Server: decision.Server{
			ID: entries[i].(string), ReplicaSet: entries[i+1].(int), State: entries[i+2].(decision.State)}})
	}
	h.broker.Update(update)
	awaitEvent[decision.EndpointUpdate](h)
}

// awaitEvent returns the next event of a type and drops those before it. It fails the test after 2 s.
func awaitEvent[E decision.Event](h *harness) E {
	h.Helper()
	for timeout := time.After(2 * time.Second); ; {
		select {
		case e := <-h.events:
			if e, ok := e.(E); ok {
				return e
			}
		case <-timeout:
			require.FailNow(h, "no such event within 2 s")
		}
	}
}

// submit submits a query of equal parts at shards 1, 2 and so on, and returns the ids of the query and of its
// first part, its client and its request.
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

// perform has the Decider return actions, at an endpoint update that changes nothing.
func (h *harness) perform(actions ...decision.Action) {
	h.actions <- actions
	h.updateEndpoints(decision.DeltaUpdate)
}

// send has the Decider send an attempt of a part to a server, and returns the call that the link gets.
func (h *harness) send(id decision.RequestID, server string) *broker.Call {
	h.perform(decision.Send{ID: id, Server: server})
	return <-h.sent
}

// callResult returns the result of a call with a status and the value v.
func callResult(status decision.Status) broker.CallResult {
	return broker.CallResult{Status: status, LoadReport: decision.NoLoadReport, Value: []byte("v")}
}

// blockingClient blocks the loop in Finish: the test receives once to wait for that, and sends once to release it.
type blockingClient chan struct{}

func (s blockingClient) Finish(broker.Result) { s <- struct{}{}; <-s }
