package broker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

func TestNoAnswerBelowMinCompleteness(t *testing.T) {
	h := newHarness(t)
	q, part, c, _ := h.submit("q", partial, 2, time.Second)
	h.send(part, "s1").Finish(callResult(decision.OK))
	awaitEvent[decision.AttemptFinished](h)
	h.perform(decision.Respond{ID: q, Complete: true}) // completeness is 0.5, the minimum 0.8
	require.Equal(t, broker.Result{Outcome: broker.Failed}, <-c)
}

func TestPartialAnswerIsNotMarkedComplete(t *testing.T) {
	h := newHarness(t)
	req := &broker.Request{ID: "q", Class: partial, ReceivedAt: time.Now(), Timeout: time.Second,
		Parts: []broker.Part{{Shard: 1, Weight: 0.85}, {Shard: 2, Weight: 0.15}}}
	c := make(client, 1)
	h.broker.Submit(req, c)
	q := awaitEvent[decision.Query](h)
	h.send(awaitEvent[decision.Part](h).ID, "s1").Finish(callResult(decision.OK))
	awaitEvent[decision.AttemptFinished](h)
	h.perform(decision.Respond{ID: q.ID, Complete: true})
	require.Equal(t, broker.Result{Values: []broker.Value{{1, []byte("v")}}}, <-c)
}

func TestQueryEndsOnceWithinItsDeadline(t *testing.T) {
	h := newHarness(t)
	const timeout, samples = 50 * time.Millisecond, 5 // a busy machine may delay some by more than the core's margin
	var took []time.Duration
	for n := range samples {
		q, _, c, req := h.submit(fmt.Sprint("q", n), idempotent, 1, timeout)
		require.Equal(t, broker.DeadlineExceeded, (<-c).Outcome) // the Decider has not answered it
		took = append(took, time.Since(req.ReceivedAt))
		awaitEvent[decision.ClientDisconnected](h)
		h.perform(decision.Fail{ID: q}, decision.Respond{ID: q}, decision.Reject{ID: q})
		require.Empty(t, c)
	}
	require.Less(t, slices.Min(took), timeout, "%v", took)
}
