package broker_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// oldDeadline and newDeadline are the deadlines in seconds of the classes before and after a change; latency objectives are half.
// oldLimit and newLimit are the concurrency limits: one query of one part, and one of two parts.
const (
	oldDeadline = 0.6
	newDeadline = 2.4
	oldLimit    = 2
	newLimit    = 3
)

// classes returns an idempotent class and one with a minimum completeness, both with a deadline in seconds.
func classes(deadline float64) []decision.Class {
	return []decision.Class{
		{LatencyObjective: deadline / 2, Deadline: deadline, PriorityWeight: 1, CompletenessThreshold: 1, MinCompleteness: 1},
		{LatencyObjective: deadline / 2, Deadline: deadline, PriorityWeight: 1, CompletenessThreshold: 1, MinCompleteness: 0.5,
			Idempotency: decision.IdempotentWithKey, IdempotencyWindow: 0.2},
	}
}

// pausingDecider is a Decider that records all events, and blocks in each batch with a TimerFired until the test resumes it.
type pausingDecider struct {
	batches chan []decision.Event
	resumed chan struct{}
	actions chan []decision.Action
}

func (d *pausingDecider) Handle(_ float64, events []decision.Event) []decision.Action {
	d.batches <- slices.Clone(events)
	if slices.ContainsFunc(events, func(e decision.Event) bool { _, ok := e.(decision.TimerFired); return ok }) {
		<-d.resumed
		return <-d.actions
	}
	return nil
}

// pausableBroker is a core whose loop a test can pause, under the old settings.
type pausableBroker struct {
	*testing.T
	*pausingDecider
	link
	broker *broker.Broker
	start  []decision.Class // passed to broker.New
}

// newPausableBroker starts a broker with a concurrency limit of oldLimit; it ends with the test.
func newPausableBroker(t *testing.T) *pausableBroker {
	h := &pausableBroker{T: t,
		pausingDecider: &pausingDecider{make(chan []decision.Event, 1000), make(chan struct{}), make(chan []decision.Action, 10)},
		link:           link{make(chan *broker.Call, 10), make(chan *broker.Call, 10)}}
	settings := decision.Settings{ReplicaSets: 1, ReplicationFactor: 1, MaxAttempts: 3, RetryAfterSupported: true, MaxRetryAfter: 0.5,
		Classes: classes(oldDeadline)}
	h.start = settings.Classes
	h.broker = broker.New(broker.Options{Settings: settings, ConcurrencyLimit: oldLimit}, h.pausingDecider, h.link)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h.broker.Run(ctx)
	return h
}

// pause pauses the loop and returns the function that resumes it: all that was posted meanwhile is handled in one batch, in order.
func (h *pausableBroker) pause() (resume func(...decision.Action)) {
	h.broker.Notify(decision.TimerFired{Token: 7})
	for {
		batch := h.nextBatch()
		if slices.Contains(batch, decision.Event(decision.TimerFired{Token: 7})) {
			return func(actions ...decision.Action) {
				h.actions <- actions
				h.resumed <- struct{}{}
			}
		}
	}
}

// nextBatch returns the next batch of events that the Decider received.
func (h *pausableBroker) nextBatch() []decision.Event {
	h.Helper()
	select {
	case b := <-h.batches:
		return b
	case <-time.After(2 * time.Second):
		require.FailNow(h, "no batch within 2 s")
		return nil
	}
}

// submit submits a query that states no timeout and has parts at shards 0, 1 ... .
func (h *pausableBroker) submit(name string, class, parts int) client {
	c := make(client, 1)
	r := &broker.Request{ID: name, Class: class, TimeoutUnset: true, ReceivedAt: time.Now(), Payload: []byte("x")}
	for i := range parts {
		r.Parts = append(r.Parts, broker.Part{Shard: i, Weight: 1 / float64(parts)})
	}
	require.NoError(h, r.Normalize(0))
	h.broker.Submit(r, c)
	return c
}

// awaitResult returns the result of a query.
func (h *pausableBroker) awaitResult(c client) broker.Result {
	h.Helper()
	select {
	case r := <-c:
		return r
	case <-time.After(5 * time.Second):
		require.FailNow(h, "no result within 5 s")
		return broker.Result{}
	}
}

// configureAsync posts a change and returns a function that waits until it is applied.
func (h *pausableBroker) configureAsync(c broker.Change) func() error {
	return h.broker.ConfigureAsync(c, func() {})
}

// Queries, a change and more queries are in the inbox at once: each query is accepted under the settings before or after the
// change, by its position: deadline, limit and event; and the Decider gets the change between them.
func TestConfigureAppliesAtOnePoint(t *testing.T) {
	h := newPausableBroker(t)
	resume := h.pause()
	accepted := h.submit("before", 0, 1)
	rejected := h.submit("beyond-the-old-limit", 0, 2)
	full := h.submit("full-before", 1, 1)
	wait := h.configureAsync(broker.Change{Classes: classes(newDeadline), ConcurrencyLimit: newLimit})
	stillFull := h.submit("full-still", 0, 2)
	resume()
	require.NoError(t, wait())
	require.Equal(t, broker.Rejected, h.awaitResult(rejected).Outcome)
	require.Equal(t, broker.Rejected, h.awaitResult(full).Outcome, "one query of one part uses the old limit")
	require.Equal(t, broker.Rejected, h.awaitResult(stillFull).Outcome, "queries in flight count against the new limit")
	batch := h.nextBatch()
	queryAt := slices.IndexFunc(batch, func(e decision.Event) bool { _, ok := e.(decision.Query); return ok })
	changeAt := slices.IndexFunc(batch, func(e decision.Event) bool { _, ok := e.(decision.ClassesChanged); return ok })
	require.True(t, queryAt >= 0 && queryAt < changeAt, "%v", batch)
	require.Equal(t, classes(newDeadline), batch[changeAt].(decision.ClassesChanged).Classes)
	early := batch[queryAt].(decision.Query)
	require.InDelta(t, oldDeadline, early.Deadline-early.ReceivedAt, 1e-3)
	require.Equal(t, broker.DeadlineExceeded, h.awaitResult(accepted).Outcome)

	after := h.submit("after", 0, 2)
	var late *decision.Query
	for late == nil {
		for _, e := range h.nextBatch() {
			if q, ok := e.(decision.Query); ok {
				late = &q
			}
		}
	}
	require.Equal(t, 2, late.Parts)
	require.InDelta(t, newDeadline, late.Deadline-late.ReceivedAt, 1e-3)
	require.Equal(t, broker.DeadlineExceeded, h.awaitResult(after).Outcome)
}

// A query before a change in the inbox is accepted under the settings before, also if the change lowers the limit.
func TestConfigureAppliesAllFieldsTogether(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit int
		want  broker.Outcome
	}{{"larger limit", newLimit, broker.Rejected}, {"smaller limit", 1, broker.DeadlineExceeded}} {
		t.Run(c.name, func(t *testing.T) {
			h := newPausableBroker(t)
			resume := h.pause()
			parts := 1
			if c.limit > oldLimit {
				parts = 2
			}
			query := h.submit("before", 0, parts)
			wait := h.configureAsync(broker.Change{Classes: classes(newDeadline), ConcurrencyLimit: c.limit})
			resume()
			require.NoError(t, wait())
			from := time.Now()
			require.Equal(t, c.want, h.awaitResult(query).Outcome)
			require.Less(t, time.Since(from).Seconds(), newDeadline/2)
		})
	}
}

// A query in flight over a change keeps its deadline, minimum completeness and window.
func TestConfigureKeepsSettingsOfQueriesInFlight(t *testing.T) {
	for _, c := range []struct {
		name     string
		old, new float64
	}{{"longer deadlines", oldDeadline, newDeadline}, {"shorter deadlines", newDeadline, oldDeadline}} {
		t.Run(c.name, func(t *testing.T) {
			h := newPausableBroker(t)
			require.NoError(t, h.broker.Configure(broker.Change{Classes: classes(c.old), ConcurrencyLimit: 20}))
			h.broker.Update(broker.EndpointUpdate{Mode: decision.FullUpdate, Servers: []broker.Endpoint{
				{Addr: "s0", Server: decision.Server{ID: "s0"}}}})
			start := time.Now()
			silent := h.submit("silent", 0, 1)
			half := h.submit("half", 1, 2)
			var first, name decision.RequestID
			for first == 0 {
				for _, e := range h.nextBatch() {
					if q, ok := e.(decision.Query); ok && q.Class == 1 {
						name = q.ID
					}
					if p, ok := e.(decision.Part); ok && name != 0 && first == 0 {
						first = p.ID
					}
				}
			}
			require.NoError(t, h.broker.Configure(broker.Change{Classes: classes(c.new), ConcurrencyLimit: 20}))
			require.Equal(t, newDeadline, h.broker.LongestDeadline().Seconds(), "the longest in flight or in force")
			h.pause()(decision.Send{ID: first, Server: "s0"})
			call := <-h.sent
			require.InDelta(t, c.old, call.Deadline.Sub(start).Seconds(), 0.2)
			require.True(t, call.TryStart())
			call.Finish(callResult(decision.OK))
			h.pause()(decision.Respond{ID: name, Complete: true})
			answered := h.awaitResult(half)
			require.Equal(t, broker.Answered, answered.Outcome, "half is its minimum completeness")
			require.Len(t, answered.Values, 1)
			require.Equal(t, broker.DeadlineExceeded, h.awaitResult(silent).Outcome)
			require.InDelta(t, c.old, time.Since(start).Seconds(), 0.25)
			require.Equal(t, c.new, h.broker.LongestDeadline().Seconds(), "no query is in flight")
		})
	}
}

// An invalid change changes nothing and is not passed to the Decider; nor is one that leaves the classes as they are.
func TestConfigureRejectsInvalidChangeWithoutEffect(t *testing.T) {
	h := newPausableBroker(t)
	spoil := func(f func(*decision.Class)) broker.Change {
		c := classes(newDeadline)
		f(&c[1])
		return broker.Change{Classes: c, ConcurrencyLimit: newLimit}
	}
	const immutable = "settings.classes[1]: differs"
	for name, c := range map[string]struct {
		change broker.Change
		want   string // in the error
	}{
		"fewer classes": {broker.Change{Classes: classes(newDeadline)[:1], ConcurrencyLimit: newLimit},
			"settings.classes: has 1 entries instead of 2"},
		"more classes": {broker.Change{Classes: append(classes(newDeadline), classes(newDeadline)[0]), ConcurrencyLimit: newLimit},
			"settings.classes: has 3 entries instead of 2"},
		"limit":          {broker.Change{Classes: classes(newDeadline), ConcurrencyLimit: -1}, "settings.caps.openCap: -1"},
		"idempotency":    {spoil(func(c *decision.Class) { c.Idempotency = decision.NonIdempotent }), immutable},
		"window":         {spoil(func(c *decision.Class) { c.IdempotencyWindow = 9 }), immutable},
		"threshold":      {spoil(func(c *decision.Class) { c.CompletenessThreshold = 0.1 }), immutable},
		"minimum":        {spoil(func(c *decision.Class) { c.MinCompleteness = 0.1 }), immutable},
		"second phase":   {spoil(func(c *decision.Class) { c.SecondPhaseFanout = 3 }), immutable},
		"work objective": {spoil(func(c *decision.Class) { c.ObjectivePerWork = 3 }), immutable},
		"objective":      {spoil(func(c *decision.Class) { c.LatencyObjective = 0 }), "settings.classes[1].objectiveS: 0 is not above 0"},
		"deadline":       {spoil(func(c *decision.Class) { c.Deadline = -1 }), "settings.classes[1].deadlineS: -1 is not above 0"},
	} {
		require.ErrorContains(t, h.broker.Configure(c.change), c.want, name)
	}
	require.NoError(t, h.broker.Configure(broker.Change{Classes: classes(oldDeadline), ConcurrencyLimit: oldLimit}))
	require.Equal(t, oldDeadline, h.broker.LongestDeadline().Seconds())
	require.Equal(t, broker.Rejected, h.awaitResult(h.submit("beyond", 0, 2)).Outcome)
	h.pause()()
	require.Empty(t, h.batches, "the Decider received a change")
}

// A change posted to a loop that has ended is an error and does not block.
func TestConfigureAfterLoopEndedFails(t *testing.T) {
	b := broker.New(broker.Options{Settings: decision.Settings{Classes: classes(oldDeadline)}}, &pausingDecider{}, link{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.Run(ctx)
	require.ErrorIs(t, b.Configure(broker.Change{Classes: classes(newDeadline)}), broker.ErrEnded)
	require.Zero(t, b.LongestDeadline())
}

// Neither a change nor the next one writes to classes that a Decider or the caller may still read.
func TestConfigureDoesNotWriteToOldClasses(t *testing.T) {
	h := newPausableBroker(t)
	c := broker.Change{Classes: classes(newDeadline), ConcurrencyLimit: newLimit}
	require.NoError(t, h.broker.Configure(c))
	received := h.nextBatch()[0].(decision.ClassesChanged).Classes
	require.NoError(t, h.broker.Configure(broker.Change{Classes: classes(9), ConcurrencyLimit: newLimit}))
	require.Equal(t, classes(oldDeadline), h.start)
	require.Equal(t, classes(newDeadline), received)
	require.Equal(t, classes(newDeadline), c.Classes)
	c.Classes[0].Deadline = 99 // the caller may write to its own slice
	require.Equal(t, 9., h.broker.LongestDeadline().Seconds())
	require.Equal(t, classes(newDeadline), received)
}
