package broker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

func TestUnstartedCallTimesOutAsNotSent(t *testing.T) {
	h := newHarness(t)
	_, part, _, _ := h.submit("q", nonIdempotent, 1, time.Second)
	h.perform(decision.Send{ID: part, Server: "s1", Timeout: 0.02})
	queued := <-h.sentCalls
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	require.False(t, queued.TryStart())
	h.send(part, "s2")
}

// When a client disconnects while an attempt is queued for a connection, the core ends the attempt without an action of the
// Decider. Nor does an attempt start after the front has detected the disconnect and before the loop has handled it.
func TestNoAttemptStartsAfterDisconnect(t *testing.T) {
	h := newHarness(t)
	_, part, _, request := h.submit("q", nonIdempotent, 1, time.Second)
	queued := h.send(part, "s1")
	h.broker.Disconnect(request)
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	awaitEvent[decision.ClientDisconnected](h)
	require.False(t, queued.TryStart())
	require.Same(t, queued, <-h.cancelledCalls)

	_, part, _, request = h.submit("q2", idempotent, 1, time.Second)
	conn := &fakeConn{}
	request.Conn = conn
	queued = h.send(part, "s1")
	conn.set(broker.ClientDisconnected) // detected by the front, but Disconnect not called yet
	require.False(t, queued.TryStart())
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	h.perform(decision.Send{ID: part, Server: "s2"})
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	require.Empty(t, h.sentCalls)
	h.broker.Disconnect(request)
	awaitEvent[decision.ClientDisconnected](h)

	disconnected := &broker.Request{ID: "q3", ReceivedAt: time.Now(), Timeout: time.Second, Parts: []broker.Part{{Shard: 1, Weight: 1}}, Conn: &fakeConn{}}
	disconnected.Conn.(*fakeConn).set(broker.ClientDisconnected)
	answer := make(client, 1)
	h.broker.Submit(disconnected, answer)
	h.updateEndpoints(decision.DeltaUpdate)
	require.Empty(t, answer)
	require.Empty(t, h.events, "the Decider received an event for a query whose client had disconnected")
}

// A query ends while an attempt is queued for a connection and the Decider does not cancel the attempt.
func TestNoAttemptStartsAfterQueryEnded(t *testing.T) {
	h := newHarness(t)
	query, part, answer, _ := h.submit("q", idempotent, 1, time.Second)
	queued := h.send(part, "s1")
	h.perform(decision.Reject{ID: query, RetryAfter: 0.5})
	require.Equal(t, broker.Rejected, (<-answer).Outcome)
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	require.False(t, queued.TryStart())
}

// Servers drop duplicates only within the idempotency window. A retry that is still queued for a connection when the window
// ends must not start.
func TestNoRetryAfterIdempotencyWindow(t *testing.T) {
	h := newHarness(t)
	_, part, _, _ := h.submit("q", idempotentWithKey, 1, 2*time.Second)
	first := h.send(part, "s1")
	require.True(t, first.TryStart())
	first.Finish(callResult(decision.Reset))
	awaitEvent[decision.AttemptFinished](h)
	retry := h.send(part, "s2") // within the idempotency window, which ends 0.2 s after the first attempt was sent
	time.Sleep(220 * time.Millisecond)
	require.False(t, retry.TryStart())
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	h.perform(decision.Send{ID: part, Server: "s1"})
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	require.Empty(t, h.sentCalls)

	_, part, _, _ = h.submit("q2", idempotentWithKey, 1, 2*time.Second)
	h.send(part, "s1").Finish(callResult(decision.Unreachable)) // cannot have run, so no window begins
	awaitEvent[decision.AttemptFinished](h)
	time.Sleep(220 * time.Millisecond)
	require.True(t, h.send(part, "s2").TryStart())
}
