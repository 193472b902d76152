package flight

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/broker"
)

// Each outcome has its own gRPC code, and only Rejected is recognized as a rejection.
func TestStatusOfDistinguishesOutcomes(t *testing.T) {
	usedCodes := map[codes.Code]bool{}
	for _, o := range []broker.Outcome{broker.Rejected, broker.Failed, broker.DeadlineExceeded, broker.Duplicate} {
		err := statusOf(broker.Result{Outcome: o, RetryAfter: 0.5})
		require.Equal(t, o == broker.Rejected, isRejected(err))
		require.False(t, usedCodes[status.Code(err)], "two outcomes share a code")
		usedCodes[status.Code(err)] = true
	}
	require.False(t, isRejected(status.Error(codes.Unavailable, "connection error")))
}
