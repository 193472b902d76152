package broker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// submitUnconfirmed submits a query of one part whose client is unconfirmed, and has the Decider send the part.
func submitUnconfirmed(h *harness, timeout time.Duration) (conn *fakeConn, part decision.RequestID) {
	conn = &fakeConn{}
	_, part, _, request := h.submit("q", idempotent, 1, timeout)
	request.Conn = conn
	conn.set(broker.ClientUnconfirmed)
	h.perform(decision.Send{ID: part, Server: "s1"})
	return conn, part
}

// Guards against attempts for a client whose disconnect stands behind bytes that have not been read: an attempt, first or later,
// waits until the client is confirmed.
func TestAttemptWaitsForConfirmationOfClient(t *testing.T) {
	h := newHarness(t)
	conn, part := submitUnconfirmed(h, time.Second)
	time.Sleep(2 * broker.MaxUnconfirmed)
	require.Empty(t, h.sentCalls)
	confirmedAt := time.Now()
	conn.set(broker.ClientConnected)
	call := <-h.sentCalls
	require.True(t, call.TryStart())
	time.Sleep(10 * time.Millisecond)
	call.Finish(broker.ResultOf(decision.Error))
	finished := awaitEvent[decision.AttemptFinished](h)
	require.Equal(t, decision.Error, finished.Status)
	require.LessOrEqual(t, finished.Latency, time.Since(confirmedAt).Seconds(), "the wait counts as the server's")

	conn.set(broker.ClientUnconfirmed)
	h.perform(decision.Send{ID: part, Server: "s2"})
	time.Sleep(2 * broker.MaxUnconfirmed)
	require.Empty(t, h.sentCalls)
	conn.set(broker.ClientConnected)
	queued := <-h.sentCalls
	conn.set(broker.ClientUnconfirmed) // while it waits for a connection
	require.False(t, queued.TryStart())
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
}

// An attempt that waits for its client's confirmation is never sent if the client has disconnected, and its query ends.
func TestWaitingAttemptIsNotSentAfterDisconnect(t *testing.T) {
	h := newHarness(t)
	conn, part := submitUnconfirmed(h, 4*time.Second)
	conn.set(broker.ClientDisconnected)
	require.False(t, (<-h.sentCalls).TryStart())
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	h.perform(decision.Send{ID: part, Server: "s2"})
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	awaitEvent[decision.ClientDisconnected](h) // the front has not reported the disconnect
	require.Empty(t, h.sentCalls)
}

// An attempt that waits for its client's confirmation up to its timeout has not been sent.
func TestWaitingAttemptTimesOutAsNotSent(t *testing.T) {
	h := newHarness(t)
	_, _ = submitUnconfirmed(h, 100*time.Millisecond)
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, h.sentCalls)
}

// Guards against clients that send more than is read and hold the slots of others until their deadlines.
func TestAttemptWaitsForConfirmationForShortTime(t *testing.T) {
	h := newHarness(t)
	startedAt := time.Now()
	_, _ = submitUnconfirmed(h, 4*time.Second)
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	require.Less(t, time.Since(startedAt), time.Second)
	require.Empty(t, h.sentCalls)
}
