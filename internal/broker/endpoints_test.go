package broker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

func TestDrainStopsNewAttempts(t *testing.T) {
	r := newHarness(t)
	_, part, _, _ := r.take("q", idempotent, 1, time.Second)
	waiting := r.send(part, "s1") // no connection yet when the list speaks
	r.list(decision.DeltaUpdate, "s1", 1, decision.Draining)
	require.False(t, waiting.TryStart())
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	r.do(decision.Send{ID: part, Server: "s1"})
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	r.list(decision.FullUpdate, "s1", 1, decision.Ready) // back; those that a full list lacks are gone
	r.do(decision.Send{ID: part, Server: "s2"})
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	require.Empty(t, r.sent)
}

// A busy loop must not delay a drain: links see it at once.
func TestUpdateBindsLinksBeforeTheLoop(t *testing.T) {
	r := newHarness(t)
	_, part, _, req := r.take("q", idempotent, 1, time.Second)
	waiting := r.send(part, "s1")
	loop := make(blockingClient)
	r.b.Submit(req, loop) // a second of its name
	<-loop
	go r.b.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate, Servers: []broker.Endpoint{{Addr: "s1",
		Server: decision.Server{ID: "s1", ReplicaSet: 1, State: decision.Draining}}}})
	require.Eventually(t, waiting.Server.Unavailable, time.Second, time.Millisecond)
	require.False(t, waiting.TryStart())
	loop <- struct{}{}
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
}
