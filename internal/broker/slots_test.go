package broker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

func TestConcurrencyLimitAndDuplicateIDs(t *testing.T) {
	h := newHarness(t) // 7 slots, one for each query and each part
	_, _, answer, request := h.submit("q", idempotent, 4, time.Second)
	rejectedAnswer := make(client, 1)
	h.broker.Submit(&broker.Request{ID: "q", ReceivedAt: time.Now(), Timeout: time.Second, Parts: make([]broker.Part, 1)}, rejectedAnswer)
	require.Equal(t, broker.Duplicate, (<-rejectedAnswer).Outcome)
	h.broker.Submit(&broker.Request{ID: "q2", ReceivedAt: time.Now(), Timeout: time.Second, Parts: make([]broker.Part, 2)}, rejectedAnswer)
	require.Equal(t, broker.Result{Outcome: broker.Rejected, RetryAfter: 0.5}, <-rejectedAnswer)
	h.broker.Disconnect(request)
	awaitEvent[decision.ClientDisconnected](h)
	h.submit("q", idempotent, 5, time.Second)
	require.Empty(t, answer)
}
