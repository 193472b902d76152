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
	query, part, answer, _ := h.submit("q", partial, 2, time.Second)
	h.send(part, "s1").Finish(callResult(decision.OK))
	awaitEvent[decision.AttemptFinished](h)
	h.perform(decision.Respond{ID: query, Complete: true}) // completeness is 0.5, below the minimum of 0.8
	require.Equal(t, broker.Result{Outcome: broker.Failed}, <-answer)
}

func TestPartialAnswerIsNotMarkedComplete(t *testing.T) {
	h := newHarness(t)
	request := &broker.Request{ID: "q", Class: partial, ReceivedAt: time.Now(), Timeout: time.Second,
		Parts: []broker.Part{{Shard: 1, Weight: 0.85}, {Shard: 2, Weight: 0.15}}}
	answer := make(client, 1)
	h.broker.Submit(request, answer)
	query := awaitEvent[decision.Query](h)
	h.send(awaitEvent[decision.Part](h).ID, "s1").Finish(callResult(decision.OK))
	awaitEvent[decision.AttemptFinished](h)
	h.perform(decision.Respond{ID: query.ID, Complete: true})
	require.Equal(t, broker.Result{Values: []broker.Value{{1, []byte("v")}}}, <-answer)
}

func TestQueryEndsOnceWithinItsDeadline(t *testing.T) {
	h := newHarness(t)
	const timeout = 50 * time.Millisecond
	const samples = 5 // a busy machine may delay some answers by more than deadlineMargin
	var latencies []time.Duration
	for n := range samples {
		query, _, answer, request := h.submit(fmt.Sprint("q", n), idempotent, 1, timeout)
		require.Equal(t, broker.DeadlineExceeded, (<-answer).Outcome) // without an action of the Decider
		latencies = append(latencies, time.Since(request.ReceivedAt))
		awaitEvent[decision.ClientDisconnected](h)
		h.perform(decision.Fail{ID: query}, decision.Respond{ID: query}, decision.Reject{ID: query})
		require.Empty(t, answer)
	}
	require.Less(t, slices.Min(latencies), timeout, "latencies: %v", latencies)
}
