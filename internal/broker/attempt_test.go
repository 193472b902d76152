package broker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

func TestLateResultOfCancelledAttemptIsIgnored(t *testing.T) {
	h := newHarness(t)
	query, part, answer, _ := h.submit("q", idempotent, 1, time.Second)
	cancelled := h.send(part, "s1")
	require.True(t, cancelled.TryStart())
	h.perform(decision.Cancel{ID: part, Attempt: 0})
	require.Equal(t, cancelled, <-h.cancelledCalls)
	require.Equal(t, decision.Cancelled, awaitEvent[decision.AttemptFinished](h).Status)
	current := h.send(part, "s2")
	cancelled.Finish(broker.CallResult{Status: decision.OK, Value: []byte("old")})
	current.Finish(broker.CallResult{Status: decision.OK, Value: []byte("new")})
	require.Equal(t, 1, awaitEvent[decision.AttemptFinished](h).Attempt)
	h.perform(decision.Respond{ID: query, Complete: true})
	require.Equal(t, broker.Result{Complete: true, Values: []broker.Value{{1, []byte("new")}}}, <-answer)
}
