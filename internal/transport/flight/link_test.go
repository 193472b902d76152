package flight

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

func TestStatusOfDistinguishesOutcomes(t *testing.T) {
	seen := map[codes.Code]bool{}
	for _, o := range []broker.Outcome{broker.Rejected, broker.Failed, broker.DeadlineExceeded, broker.Duplicate} {
		err := statusOf(broker.Result{Outcome: o, RetryAfter: 0.5})
		require.Equal(t, o == broker.Rejected, isRejected(err))
		require.False(t, seen[status.Code(err)], "two outcomes have one code")
		seen[status.Code(err)] = true
	}
	require.False(t, isRejected(status.Error(codes.Unavailable, "gRPC's own, of a broken connection")))
}

// What ends a call that has begun may have run, unless the server says that it has not.
func TestFailedResultStatus(t *testing.T) {
	rejection := statusOf(broker.Result{Outcome: broker.Rejected})
	for _, c := range []struct {
		err  error
		gate *gate
		want decision.Status
	}{
		{status.Error(codes.Unavailable, ""), &gate{}, decision.Unreachable},
		{status.Error(codes.DeadlineExceeded, ""), &gate{}, decision.Unreachable},
		{errNotStarted, &gate{blocked: true}, decision.NotSent},
		{errNotStarted, &gate{passed: true}, decision.Error}, // gRPC wanted to send it again by itself
		{rejection, &gate{passed: true}, decision.Overloaded},
		{status.Error(codes.Unavailable, ""), &gate{passed: true}, decision.Reset},
		{status.Error(codes.Internal, ""), &gate{passed: true}, decision.Reset},
		{status.Error(codes.DeadlineExceeded, ""), &gate{passed: true}, decision.TimedOut},
		{status.Error(codes.Aborted, ""), &gate{passed: true}, decision.Error},
	} {
		require.Equal(t, c.want, failedResult(c.err, c.gate).Status, "%v", c.err)
	}
}

// A server that is gone must leave no connection behind.
func TestReleaseClosesIdleConnections(t *testing.T) {
	l := NewLink(t.Context(), LinkOptions{MaxStreams: 1, IdleTimeout: 50 * time.Millisecond})
	openConns := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.conns["127.0.0.1:1"])
	}
	first, err := l.acquire("127.0.0.1:1")
	require.NoError(t, err)
	second, err := l.acquire("127.0.0.1:1") // the first is full
	require.NoError(t, err)
	require.Equal(t, 2, openConns())
	l.release("127.0.0.1:1", second)
	require.Equal(t, 1, openConns())
	l.release("127.0.0.1:1", first)
	again, err := l.acquire("127.0.0.1:1")
	require.NoError(t, err)
	require.Same(t, first, again)
	time.Sleep(80 * time.Millisecond)
	require.Equal(t, 1, openConns()) // in use
	l.release("127.0.0.1:1", first)
	require.Eventually(t, func() bool { return openConns() == 0 }, 2*time.Second, 5*time.Millisecond)
}
