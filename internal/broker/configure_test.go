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

// Settings before and after a change: the classes' deadlines in seconds, with latency objectives of half as much, and the
// concurrency limits, which fit one query of one part (oldLimit) or of two parts (newLimit).
const (
	oldDeadline = 0.6
	newDeadline = 2.4
	oldLimit    = 2
	newLimit    = 3
)

// classes returns an idempotent class, and a class with an idempotency key and a minimum completeness of 0.5. Both have the
// deadline, in seconds.
func classes(deadline float64) []decision.Class {
	return []decision.Class{
		{LatencyObjective: deadline / 2, Deadline: deadline, PriorityWeight: 1, CompletenessThreshold: 1, MinCompleteness: 1},
		{LatencyObjective: deadline / 2, Deadline: deadline, PriorityWeight: 1, CompletenessThreshold: 1, MinCompleteness: 0.5,
			Idempotency: decision.IdempotentWithKey, IdempotencyWindow: 0.2},
	}
}

// pausingDecider is a Decider that records all batches. It blocks on a batch with a TimerFired until the test resumes it.
type pausingDecider struct {
	batches chan []decision.Event
	resume  chan struct{}          // receives a value when the test resumes the Decider
	actions chan []decision.Action // returned after a pause
}

func (d *pausingDecider) Handle(_ float64, events []decision.Event) []decision.Action {
	d.batches <- slices.Clone(events)
	if slices.ContainsFunc(events, func(e decision.Event) bool { _, ok := e.(decision.TimerFired); return ok }) {
		<-d.resume
		return <-d.actions
	}
	return nil
}

// pausableBroker is a core with the old settings whose loop a test can pause.
type pausableBroker struct {
	*testing.T
	*pausingDecider
	link
	broker         *broker.Broker
	initialClasses []decision.Class // passed to broker.New
}

// newPausableBroker starts a core with the old settings. It stops when the test ends.
func newPausableBroker(t *testing.T) *pausableBroker {
	p := &pausableBroker{T: t,
		pausingDecider: &pausingDecider{make(chan []decision.Event, 1000), make(chan struct{}), make(chan []decision.Action, 10)},
		link:           link{make(chan *broker.Call, 10), make(chan *broker.Call, 10)}}
	settings := decision.Settings{ReplicaSets: 1, ReplicationFactor: 1, MaxAttempts: 3, RetryAfterSupported: true, MaxRetryAfter: 0.5,
		Classes: classes(oldDeadline)}
	p.initialClasses = settings.Classes
	p.broker = broker.New(broker.Options{Settings: settings, ConcurrencyLimit: oldLimit}, p.pausingDecider, p.link)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.broker.Run(ctx)
	return p
}

// pause blocks the loop and returns a function that resumes it with actions. Everything posted during the pause is then
// handled in one batch, in order.
func (p *pausableBroker) pause() (resume func(...decision.Action)) {
	p.broker.Notify(decision.TimerFired{Token: 7})
	for {
		batch := p.nextBatch()
		if slices.Contains(batch, decision.Event(decision.TimerFired{Token: 7})) {
			return func(actions ...decision.Action) {
				p.actions <- actions
				p.resume <- struct{}{}
			}
		}
	}
}

// nextBatch returns the next batch of events that the Decider received.
func (p *pausableBroker) nextBatch() []decision.Event {
	p.Helper()
	select {
	case batch := <-p.batches:
		return batch
	case <-time.After(2 * time.Second):
		require.FailNow(p, "the Decider received no batch within 2 s")
		return nil
	}
}

// submit submits a query without a timeout of its own and with equal parts at the shards from 0.
func (p *pausableBroker) submit(name string, class, parts int) client {
	c := make(client, 1)
	r := &broker.Request{ID: name, Class: class, TimeoutUnset: true, ReceivedAt: time.Now(), Payload: []byte("x")}
	for i := range parts {
		r.Parts = append(r.Parts, broker.Part{Shard: i, Weight: 1 / float64(parts)})
	}
	require.NoError(p, r.Normalize(0))
	p.broker.Submit(r, c)
	return c
}

// awaitResult returns the final result of a query. It fails the test after 5 s.
func (p *pausableBroker) awaitResult(c client) broker.Result {
	p.Helper()
	select {
	case r := <-c:
		return r
	case <-time.After(5 * time.Second):
		require.FailNow(p, "the client got no final result within 5 s")
		return broker.Result{}
	}
}

// configureAsync posts a change and returns a function that waits for its result.
func (p *pausableBroker) configureAsync(c broker.Change) func() error {
	return p.broker.ConfigureAsync(c, func() {})
}

// A paused loop has queries, a change and another query in its inbox. Deadline and limit of each query follow the settings in
// force at its position in the inbox, and the Decider gets the change after the queries posted before the change.
func TestConfigureAppliesInInboxOrder(t *testing.T) {
	p := newPausableBroker(t)
	resume := p.pause()
	acceptedQuery := p.submit("accepted", 0, 1)
	tooLargeQuery := p.submit("beyond-the-old-limit", 0, 2)
	queryAtOldLimit := p.submit("at-the-old-limit", 1, 1)
	wait := p.configureAsync(broker.Change{Classes: classes(newDeadline), ConcurrencyLimit: newLimit})
	queryAtNewLimit := p.submit("at-the-new-limit", 0, 2)
	resume()
	require.NoError(t, wait())
	require.Equal(t, broker.Rejected, p.awaitResult(tooLargeQuery).Outcome)
	require.Equal(t, broker.Rejected, p.awaitResult(queryAtOldLimit).Outcome, "the accepted query uses the whole old limit")
	require.Equal(t, broker.Rejected, p.awaitResult(queryAtNewLimit).Outcome, "the query in flight counts against the new limit")
	batch := p.nextBatch()
	queryAt := slices.IndexFunc(batch, func(e decision.Event) bool { _, ok := e.(decision.Query); return ok })
	changeAt := slices.IndexFunc(batch, func(e decision.Event) bool { _, ok := e.(decision.ClassesChanged); return ok })
	require.True(t, queryAt >= 0 && queryAt < changeAt, "%v", batch)
	require.Equal(t, classes(newDeadline), batch[changeAt].(decision.ClassesChanged).Classes)
	queryBefore := batch[queryAt].(decision.Query)
	require.InDelta(t, oldDeadline, queryBefore.Deadline-queryBefore.ReceivedAt, 1e-3)
	require.Equal(t, broker.DeadlineExceeded, p.awaitResult(acceptedQuery).Outcome)

	laterQuery := p.submit("after", 0, 2)
	var queryAfter *decision.Query
	for queryAfter == nil {
		for _, e := range p.nextBatch() {
			if q, ok := e.(decision.Query); ok {
				queryAfter = &q
			}
		}
	}
	require.Equal(t, 2, queryAfter.Parts)
	require.InDelta(t, newDeadline, queryAfter.Deadline-queryAfter.ReceivedAt, 1e-3)
	require.Equal(t, broker.DeadlineExceeded, p.awaitResult(laterQuery).Outcome)
}

// A query that precedes a change in the inbox is accepted or rejected, and timed out, under the old settings, whether the
// change raises or lowers the limit.
func TestConfigureAppliesAllFieldsTogether(t *testing.T) {
	for _, tc := range []struct {
		name  string
		limit int
		want  broker.Outcome
	}{{"larger limit", newLimit, broker.Rejected}, {"smaller limit", 1, broker.DeadlineExceeded}} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPausableBroker(t)
			resume := p.pause()
			parts := 1
			if tc.limit > oldLimit {
				parts = 2
			}
			query := p.submit("before", 0, parts)
			wait := p.configureAsync(broker.Change{Classes: classes(newDeadline), ConcurrencyLimit: tc.limit})
			resume()
			require.NoError(t, wait())
			start := time.Now()
			require.Equal(t, tc.want, p.awaitResult(query).Outcome)
			require.Less(t, time.Since(start).Seconds(), newDeadline/2)
		})
	}
}

// A query that is in flight when a change is applied keeps its deadline and the completeness and idempotency settings of its
// class.
func TestConfigureKeepsSettingsOfQueriesInFlight(t *testing.T) {
	for _, tc := range []struct {
		name     string
		old, new float64
	}{{"longer deadlines", oldDeadline, newDeadline}, {"shorter deadlines", newDeadline, oldDeadline}} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPausableBroker(t)
			require.NoError(t, p.broker.Configure(broker.Change{Classes: classes(tc.old), ConcurrencyLimit: 20}))
			p.broker.Update(broker.EndpointUpdate{Mode: decision.FullUpdate, Servers: []broker.Endpoint{
				{Addr: "s0", Server: decision.Server{ID: "s0"}}}})
			start := time.Now()
			unansweredQuery := p.submit("unanswered", 0, 1)
			halfAnsweredQuery := p.submit("half-answered", 1, 2)
			var queryID, partID decision.RequestID
			for partID == 0 {
				for _, e := range p.nextBatch() {
					if q, ok := e.(decision.Query); ok && q.Class == 1 {
						queryID = q.ID
					}
					if pt, ok := e.(decision.Part); ok && queryID != 0 && partID == 0 {
						partID = pt.ID
					}
				}
			}
			require.NoError(t, p.broker.Configure(broker.Change{Classes: classes(tc.new), ConcurrencyLimit: 20}))
			require.Equal(t, newDeadline, p.broker.LongestDeadline().Seconds(), "the longest deadline of the classes in force and of queries in flight")
			p.pause()(decision.Send{ID: partID, Server: "s0"})
			call := <-p.sentCalls
			require.InDelta(t, tc.old, call.Deadline.Sub(start).Seconds(), 0.2)
			require.True(t, call.TryStart())
			call.Finish(callResult(decision.OK))
			p.pause()(decision.Respond{ID: queryID, Complete: true})
			answer := p.awaitResult(halfAnsweredQuery)
			require.Equal(t, broker.Answered, answer.Outcome, "one of two equal parts reaches the minimum completeness of 0.5")
			require.Len(t, answer.Values, 1)
			require.Equal(t, broker.DeadlineExceeded, p.awaitResult(unansweredQuery).Outcome)
			require.InDelta(t, tc.old, time.Since(start).Seconds(), 0.25)
			require.Equal(t, tc.new, p.broker.LongestDeadline().Seconds(), "no query is in flight")
		})
	}
}

// An invalid change has no effect and is not passed to the Decider. Nor is a change that leaves the classes equal.
func TestConfigureRejectsInvalidChangeWithoutEffect(t *testing.T) {
	p := newPausableBroker(t)
	withClass := func(modify func(*decision.Class)) broker.Change {
		modified := classes(newDeadline)
		modify(&modified[1])
		return broker.Change{Classes: modified, ConcurrencyLimit: newLimit}
	}
	const immutable = "settings.classes[1]: differs"
	for name, tc := range map[string]struct {
		change broker.Change
		want   string // substring of the error
	}{
		"fewer classes": {broker.Change{Classes: classes(newDeadline)[:1], ConcurrencyLimit: newLimit},
			"settings.classes: has 1 entries instead of 2"},
		"more classes": {broker.Change{Classes: append(classes(newDeadline), classes(newDeadline)[0]), ConcurrencyLimit: newLimit},
			"settings.classes: has 3 entries instead of 2"},
		"limit":          {broker.Change{Classes: classes(newDeadline), ConcurrencyLimit: -1}, "settings.caps.openCap: -1"},
		"idempotency":    {withClass(func(c *decision.Class) { c.Idempotency = decision.NonIdempotent }), immutable},
		"window":         {withClass(func(c *decision.Class) { c.IdempotencyWindow = 9 }), immutable},
		"threshold":      {withClass(func(c *decision.Class) { c.CompletenessThreshold = 0.1 }), immutable},
		"minimum":        {withClass(func(c *decision.Class) { c.MinCompleteness = 0.1 }), immutable},
		"second phase":   {withClass(func(c *decision.Class) { c.SecondPhaseFanout = 3 }), immutable},
		"work objective": {withClass(func(c *decision.Class) { c.ObjectivePerWork = 3 }), immutable},
		"objective":      {withClass(func(c *decision.Class) { c.LatencyObjective = 0 }), "settings.classes[1].objectiveS: 0 is not above 0"},
		"deadline":       {withClass(func(c *decision.Class) { c.Deadline = -1 }), "settings.classes[1].deadlineS: -1 is not above 0"},
	} {
		require.ErrorContains(t, p.broker.Configure(tc.change), tc.want, name)
	}
	require.NoError(t, p.broker.Configure(broker.Change{Classes: classes(oldDeadline), ConcurrencyLimit: oldLimit}))
	require.Equal(t, oldDeadline, p.broker.LongestDeadline().Seconds())
	require.Equal(t, broker.Rejected, p.awaitResult(p.submit("beyond", 0, 2)).Outcome)
	p.pause()()
	require.Empty(t, p.batches, "the Decider received a change that is invalid or leaves the classes equal")
}

// Configure returns an error and does not block if the loop has ended.
func TestConfigureAfterLoopEndedFails(t *testing.T) {
	b := broker.New(broker.Options{Settings: decision.Settings{Classes: classes(oldDeadline)}}, &pausingDecider{}, link{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.Run(ctx)
	require.ErrorIs(t, b.Configure(broker.Change{Classes: classes(newDeadline)}), broker.ErrEnded)
	require.Zero(t, b.LongestDeadline())
}

// Applying a change does not modify the classes of an earlier change, of New or of the caller, which others may still read.
func TestConfigureDoesNotWriteToOldClasses(t *testing.T) {
	p := newPausableBroker(t)
	change := broker.Change{Classes: classes(newDeadline), ConcurrencyLimit: newLimit}
	require.NoError(t, p.broker.Configure(change))
	received := p.nextBatch()[0].(decision.ClassesChanged).Classes
	require.NoError(t, p.broker.Configure(broker.Change{Classes: classes(9), ConcurrencyLimit: newLimit}))
	require.Equal(t, classes(oldDeadline), p.initialClasses)
	require.Equal(t, classes(newDeadline), received)
	require.Equal(t, classes(newDeadline), change.Classes)
	change.Classes[0].Deadline = 99 // the core does not use the caller's slice
	require.Equal(t, 9., p.broker.LongestDeadline().Seconds())
	require.Equal(t, classes(newDeadline), received)
}
