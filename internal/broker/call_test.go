package broker_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

func TestCallThatNeverStartedCannotHaveRun(t *testing.T) {
	r := newHarness(t)
	_, part, _, _ := r.take("q", nonIdempotent, 1, time.Second)
	r.do(decision.Send{ID: part, Server: "s1", Timeout: 0.02})
	waiting := <-r.sent
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	require.False(t, waiting.TryStart())
	r.send(part, "s2")
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
