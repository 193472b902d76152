package broker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

func TestLateResultEndsNothing(t *testing.T) {
	h := newHarness(t)
	q, part, c, _ := h.submit("q", idempotent, 1, time.Second)
	old := h.send(part, "s1")
	require.True(t, old.TryStart())
	h.perform(decision.Cancel{ID: part, Attempt: 0})
	require.Equal(t, old, <-h.cancelled)
	require.Equal(t, decision.Cancelled, awaitEvent[decision.AttemptFinished](h).Status)
	young := h.send(part, "s2")
	old.Finish(broker.CallResult{Status: decision.OK, Value: []byte("old")})
	young.Finish(broker.CallResult{Status: decision.OK, Value: []byte("new")})
	require.Equal(t, 1, awaitEvent[decision.AttemptFinished](h).Attempt)
	h.perform(decision.Respond{ID: q, Complete: true})
	require.Equal(t, broker.Result{Complete: true, Values: []broker.Value{{1, []byte("new")}}}, <-c)
}
