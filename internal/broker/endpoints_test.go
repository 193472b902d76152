package broker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

func TestDrainStopsNewAttempts(t *testing.T) {
	h := newHarness(t)
	_, part, _, _ := h.submit("q", idempotent, 1, time.Second)
	queued := h.send(part, "s1") // still without a connection when the update arrives
	h.updateEndpoints(decision.DeltaUpdate, "s1", 1, decision.Draining)
	require.False(t, queued.TryStart())
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	h.perform(decision.Send{ID: part, Server: "s1"})
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	h.updateEndpoints(decision.FullUpdate, "s1", 1, decision.Ready) // s1 is ready again; s0 and s2 are removed
	h.perform(decision.Send{ID: part, Server: "s2"})
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	require.Empty(t, h.sentCalls)
}

// A busy loop does not delay a drain: links see it as soon as Update is called.
func TestDrainReachesLinksWhileLoopIsBusy(t *testing.T) {
	h := newHarness(t)
	_, part, _, request := h.submit("q", idempotent, 1, time.Second)
	queued := h.send(part, "s1")
	blocker := make(blockingClient)
	h.broker.Submit(request, blocker) // the loop calls Finish at once, since the id is a duplicate
	<-blocker
	go h.broker.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Servers: []broker.Endpoint{{Addr: "s1",
		Server: decision.Server{ID: "s1", ReplicaSet: 1, State: decision.Draining}}}})
	require.Eventually(t, queued.Server.Unavailable, time.Second, time.Millisecond)
	require.False(t, queued.TryStart())
	blocker <- struct{}{}
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
}
