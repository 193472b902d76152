package flight

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cloverhook"
	"cloverhook/internal/broker"
)

func TestStatusOfEachOutcome(t *testing.T) {
	seen := map[codes.Code]bool{}
	for _, o := range []broker.Outcome{broker.Refused, broker.Failed, broker.Overdue, broker.Duplicate} {
		err := statusOf(broker.Result{Outcome: o, RetryAfter: 0.5})
		require.Equal(t, o == broker.Refused, refused(err))
		require.False(t, seen[status.Code(err)], "two outcomes have one code")
		seen[status.Code(err)] = true
	}
	require.False(t, refused(status.Error(codes.Unavailable, "gRPC's own, of a broken connection")))
}

// What ends a call that has begun may have run, unless the server says that it has not.
func TestBrokenCalls(t *testing.T) {
	refusal := statusOf(broker.Result{Outcome: broker.Refused})
	for _, c := range []struct {
		err  error
		gate *gate
		want cloverhook.Status
	}{
		{status.Error(codes.Unavailable, ""), &gate{}, cloverhook.Unreachable},
		{status.Error(codes.DeadlineExceeded, ""), &gate{}, cloverhook.Unreachable},
		{errShut, &gate{shut: true}, cloverhook.NotSent},
		{errShut, &gate{passed: true}, cloverhook.Error}, // gRPC wanted to send it again by itself
		{refusal, &gate{passed: true}, cloverhook.Overloaded},
		{status.Error(codes.Unavailable, ""), &gate{passed: true}, cloverhook.Reset},
		{status.Error(codes.Internal, ""), &gate{passed: true}, cloverhook.Reset},
		{status.Error(codes.DeadlineExceeded, ""), &gate{passed: true}, cloverhook.TimedOut},
		{status.Error(codes.Aborted, ""), &gate{passed: true}, cloverhook.Error},
	} {
		require.Equal(t, c.want, broken(c.err, c.gate).Status, "%v", c.err)
	}
}
