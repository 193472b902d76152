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
	r := newHarness(t)
	q, part, c, _ := r.take("q", partial, 2, time.Second)
	r.send(part, "s1").Finish(done(decision.OK))
	event[decision.AttemptFinished](r)
	r.do(decision.Respond{ID: q, Complete: true}) // half of it: the floor is 0.8
	require.Equal(t, broker.Result{Outcome: broker.Failed}, <-c)
}

func TestPartialAnswerIsNotMarkedComplete(t *testing.T) {
	r := newHarness(t)
	req := &broker.Request{ID: "q", Class: partial, ReceivedAt: time.Now(), Timeout: time.Second,
		Parts: []broker.Part{{Shard: 1, Weight: 0.85}, {Shard: 2, Weight: 0.15}}}
	c := make(client, 1)
	r.b.Submit(req, c)
	q := event[decision.Query](r)
	r.send(event[decision.Part](r).ID, "s1").Finish(done(decision.OK))
	event[decision.AttemptFinished](r)
	r.do(decision.Respond{ID: q.ID, Complete: true})
	require.Equal(t, broker.Result{Values: []broker.Value{{1, []byte("v")}}}, <-c)
}

func TestEachQueryEndsInTimeAndOnce(t *testing.T) {
	r := newHarness(t)
	const timeout, tries = 50 * time.Millisecond, 5 // of which a busy machine may delay some by more than the core's lead
	var took []time.Duration
	for n := range tries {
		q, _, c, req := r.take(fmt.Sprint("q", n), idempotent, 1, timeout)
		require.Equal(t, broker.DeadlineExceeded, (<-c).Outcome) // the Decider has forgotten it
		took = append(took, time.Since(req.ReceivedAt))
		event[decision.ClientDisconnected](r)
		r.do(decision.Fail{ID: q}, decision.Respond{ID: q}, decision.Reject{ID: q})
		require.Empty(t, c)
	}
	require.Less(t, slices.Min(took), timeout, "%v", took)
}
