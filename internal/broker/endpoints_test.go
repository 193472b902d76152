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
	waiting := h.send(part, "s1") // has no connection yet at the time of the update
	h.updateEndpoints(decision.DeltaUpdate, "s1", 1, decision.Draining)
	require.False(t, waiting.TryStart())
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	h.perform(decision.Send{ID: part, Server: "s1"})
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	h.updateEndpoints(decision.FullUpdate, "s1", 1, decision.Ready) // ready again; servers missing from a full update are removed
	h.perform(decision.Send{ID: part, Server: "s2"})
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	require.Empty(t, h.sent)
}

// A busy loop does not delay a drain: links observe it at once.
func TestUpdateAppliesToLinksBeforeTheLoop(t *testing.T) {
	h := newHarness(t)
	_, part, _, request := h.submit("q", idempotent, 1, time.Second)
	waiting := h.send(part, "s1")
	loop := make(blockingClient)
	h.broker.Submit(request, loop) // a duplicate id, which the loop answers at once
	<-loop
	go h.broker.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Servers: []broker.Endpoint{{Addr: "s1",
		Server: decision.Server{ID: "s1", ReplicaSet: 1, State: decision.Draining}}}})
	require.Eventually(t, waiting.Server.Unavailable, time.Second, time.Millisecond)
	require.False(t, waiting.TryStart())
	loop <- struct{}{}
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
}
