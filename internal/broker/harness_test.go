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

// blockingClient blocks the loop in Finish: the test receives once to wait for that, and sends once to release it.
type blockingClient chan struct{}

func (s blockingClient) Finish(broker.Result) { s <- struct{}{}; <-s }
