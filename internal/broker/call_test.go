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
	h := newHarness(t)
	_, part, _, _ := h.submit("q", nonIdempotent, 1, time.Second)
	h.perform(decision.Send{ID: part, Server: "s1", Timeout: 0.02})
	waiting := <-h.sent
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	require.False(t, waiting.TryStart())
	h.send(part, "s2")
}

// The client disconnects while an attempt waits for its connection. The core ends the attempt, whatever the Decider does, and
// none starts before the loop has handled the disconnect either.
func TestNoAttemptStartsAfterDisconnect(t *testing.T) {
	h := newHarness(t)
	_, part, _, request := h.submit("q", nonIdempotent, 1, time.Second)
	waiting := h.send(part, "s1")
	h.broker.Disconnect(request)
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	awaitEvent[decision.ClientDisconnected](h)
	require.False(t, waiting.TryStart())
	require.Same(t, waiting, <-h.cancelled)

	_, part, _, request = h.submit("q2", idempotent, 1, time.Second)
	request.Disconnected = new(atomic.Bool)
	waiting = h.send(part, "s1")
	request.Disconnected.Store(true) // the front has noticed; the loop has not been notified
	require.False(t, waiting.TryStart())
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	h.perform(decision.Send{ID: part, Server: "s2"})
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	require.Empty(t, h.sent)
	h.broker.Disconnect(request)
	awaitEvent[decision.ClientDisconnected](h)

	disconnected := &broker.Request{ID: "q3", ReceivedAt: time.Now(), Timeout: time.Second, Parts: []broker.Part{{Shard: 1, Weight: 1}}, Disconnected: new(atomic.Bool)}
	disconnected.Disconnected.Store(true)
	answer := make(client, 1)
	h.broker.Submit(disconnected, answer)
	h.updateEndpoints(decision.DeltaUpdate)
	require.Empty(t, answer)
	require.Empty(t, h.events, "the Decider gets no event of it")
}

// A query is finished while an attempt waits for a connection; the Decider does not cancel it.
func TestNoAttemptStartsAfterQueryEnded(t *testing.T) {
	h := newHarness(t)
	query, part, answer, _ := h.submit("q", idempotent, 1, time.Second)
	waiting := h.send(part, "s1")
	h.perform(decision.Reject{ID: query, RetryAfter: 0.5})
	require.Equal(t, broker.Rejected, (<-answer).Outcome)
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	require.False(t, waiting.TryStart())
}

// Servers drop duplicates within the window only. A retry that has waited for its connection beyond it must not start.
func TestNoRetryAfterIdempotencyWindow(t *testing.T) {
	h := newHarness(t)
	_, part, _, _ := h.submit("q", idempotentWithKey, 1, 2*time.Second)
	first := h.send(part, "s1")
	require.True(t, first.TryStart())
	first.Finish(callResult(decision.Reset))
	awaitEvent[decision.AttemptFinished](h)
	retry := h.send(part, "s2") // within the window of 0.2 s
	time.Sleep(220 * time.Millisecond)
	require.False(t, retry.TryStart())
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	h.perform(decision.Send{ID: part, Server: "s1"})
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	require.Empty(t, h.sent)

	_, part, _, _ = h.submit("q2", idempotentWithKey, 1, 2*time.Second)
	h.send(part, "s1").Finish(callResult(decision.Unreachable)) // cannot have run: no window
	awaitEvent[decision.AttemptFinished](h)
	time.Sleep(220 * time.Millisecond)
	require.True(t, h.send(part, "s2").TryStart())
}
