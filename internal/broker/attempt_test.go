package broker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

func TestLateResultEndsNothing(t *testing.T) {
	r := newHarness(t)
	q, part, c, _ := r.take("q", idempotent, 1, time.Second)
	old := r.send(part, "s1")
	require.True(t, old.TryStart())
	r.do(decision.Cancel{ID: part, Attempt: 0})
	require.Equal(t, old, <-r.cancelled)
	require.Equal(t, decision.Cancelled, event[decision.AttemptFinished](r).Status)
	young := r.send(part, "s2")
	old.Finish(broker.CallResult{Status: decision.OK, Value: []byte("old")})
	young.Finish(broker.CallResult{Status: decision.OK, Value: []byte("new")})
	require.Equal(t, 1, event[decision.AttemptFinished](r).Attempt)
	r.do(decision.Respond{ID: q, Complete: true})
	require.Equal(t, broker.Result{Complete: true, Values: []broker.Value{{1, []byte("new")}}}, <-c)
}
