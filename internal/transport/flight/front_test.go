package flight

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/httpwire"
)

// silentLink begins every call and hears no answer.
type silentLink struct{ sent chan *broker.Call }

func (l silentLink) Send(c *broker.Call) {
	c.TryStart()
	l.sent <- c
}
func (l silentLink) Cancel(*broker.Call)             {}
func (l silentLink) CheckHealth(*broker.HealthCheck) {}

// serverStream is the server's end of a call that a test makes without a socket.
type serverStream struct {
	flight.FlightService_DoGetServer
	ctx context.Context
}

func (s serverStream) Context() context.Context { return s.ctx }

// An unsafe part that is out when the client's time ends has the query failed, by the broker's own word and before
// that time. The test's time is virtual: on a real clock a busy machine delays the word past the deadline.
func TestDoGetAbortsNonIdempotentQueryBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := decision.Settings{ReplicaSets: 1, ReplicationFactor: 1, CancelAllowed: true, Tick: 0.005, Classes: []decision.Class{
			{LatencyObjective: 1, Deadline: 5, PriorityWeight: 2, Idempotency: decision.NonIdempotent, CompletenessThreshold: 1, MinCompleteness: 1}}}
		link := silentLink{make(chan *broker.Call, 2)}
		b := broker.New(broker.Options{Settings: set, Log: slog.New(slog.DiscardHandler)}, decision.New(set, 1), link)
		running, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		go b.Run(running)
		b.Update(broker.EndpointUpdate{Mode: decision.FullUpdate, Servers: []broker.Endpoint{
			{Addr: "s0", Server: decision.Server{ID: "s0", State: decision.Ready}}}})
		front := NewFront(Options{Classes: map[string]int{"charge-post": 0}}, b)
		text, err := json.Marshal(Ticket{ID: "q1", Class: "charge-post", Body: httpwire.Body{
			Query: "x", Targets: []httpwire.Target{{Weight: 1}}}})
		require.NoError(t, err)
		const timeout = 300 * time.Millisecond
		begin := time.Now()
		ctx, cancel := context.WithDeadline(t.Context(), begin.Add(timeout))
		defer cancel()
		err = front.DoGet(&flight.Ticket{Ticket: text}, serverStream{ctx: ctx})
		require.Equal(t, codes.Aborted, status.Code(err), "%v", err)
		require.Less(t, time.Since(begin), timeout)
		require.Greater(t, time.Since(begin), timeout-50*time.Millisecond)
		require.Len(t, link.sent, 1)
		require.False(t, (<-link.sent).Deadline.After(begin.Add(timeout)))
	})
}
