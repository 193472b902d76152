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

// A call that has started may have run, however it ended, unless the server rejected it.
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
		{errNotStarted, &gate{passed: true}, decision.Error}, // gRPC's transparent retry was stopped
		{rejection, &gate{passed: true}, decision.Overloaded},
		{status.Error(codes.Unavailable, ""), &gate{passed: true}, decision.Reset},
		{status.Error(codes.Internal, ""), &gate{passed: true}, decision.Reset},
		{status.Error(codes.DeadlineExceeded, ""), &gate{passed: true}, decision.TimedOut},
		{status.Error(codes.Aborted, ""), &gate{passed: true}, decision.Error},
	} {
		require.Equal(t, c.want, failedResult(c.err, c.gate).Status, "%v", c.err)
	}
}

// A connection without calls in flight is closed at once if there is another one to the server, else after the idle limit.
func TestReleaseClosesIdleConnections(t *testing.T) {
	l := NewLink(t.Context(), LinkOptions{MaxStreams: 1, IdleTimeout: 50 * time.Millisecond})
	const addr = "127.0.0.1:1" // nothing listens there
	openConns := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.conns[addr])
	}
	first, err := l.acquire(addr)
	require.NoError(t, err)
	second, err := l.acquire(addr) // the first is full
	require.NoError(t, err)
	require.Equal(t, 2, openConns())
	l.release(addr, second)
	require.Equal(t, 1, openConns())
	l.release(addr, first)
	again, err := l.acquire(addr)
	require.NoError(t, err)
	require.Same(t, first, again)
	time.Sleep(80 * time.Millisecond)
	require.Equal(t, 1, openConns()) // a call is in flight
	l.release(addr, first)
	require.Eventually(t, func() bool { return openConns() == 0 }, 2*time.Second, 5*time.Millisecond)
}
