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

// silentLink starts every call, passes it to the test and never finishes it.
type silentLink struct{ sent chan *broker.Call }

func (l silentLink) Send(c *broker.Call) {
	c.TryStart()
	l.sent <- c
}
func (l silentLink) Cancel(*broker.Call)             {}
func (l silentLink) CheckHealth(*broker.HealthCheck) {}

// serverStream is the server's end of a DoGet without a connection. Only Context may be called.
type serverStream struct {
	flight.FlightService_DoGetServer
	ctx context.Context
}

func (s serverStream) Context() context.Context { return s.ctx }

// nonIdempotentSettings returns settings with one non-idempotent class.
func nonIdempotentSettings() decision.Settings {
	return decision.Settings{
		ReplicaSets:       1,
		ReplicationFactor: 1,
		CancelAllowed:     true,
		Tick:              0.005,
		Classes: []decision.Class{{
			LatencyObjective:      1,
			Deadline:              5,
			PriorityWeight:        2,
			Idempotency:           decision.NonIdempotent,
			CompletenessThreshold: 1,
			MinCompleteness:       1,
		}},
	}
}

// A query whose non-idempotent part is in flight near the client's deadline ends with Aborted before the deadline. It runs on
// synctest's clock: with the real clock, a busy host may delay the status past the deadline.
func TestDoGetAbortsNonIdempotentQueryBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := nonIdempotentSettings()
		link := silentLink{make(chan *broker.Call, 2)}
		b := broker.New(broker.Options{Settings: settings, Log: slog.New(slog.DiscardHandler)}, decision.New(settings, 1), link)
		brokerCtx, stop := context.WithCancel(t.Context())
		defer synctest.Wait() // the bubble ends once Run has returned
		defer stop()
		go b.Run(brokerCtx)
		server := decision.Server{ID: "s0", State: decision.Ready}
		b.Update(broker.EndpointUpdate{
			Mode:    decision.FullUpdate,
			Servers: []broker.Endpoint{{Addr: "s0", Server: server}},
		})
		front := NewFront(Options{Classes: map[string]int{"charge-post": 0}}, b)
		body := httpwire.Body{Query: "x", Targets: []httpwire.Target{{Weight: 1}}}
		text, err := json.Marshal(Ticket{ID: "q1", Class: "charge-post", Body: body})
		require.NoError(t, err)
		const timeout = 300 * time.Millisecond
		startedAt := time.Now()
		ctx, cancel := context.WithDeadline(t.Context(), startedAt.Add(timeout))
		defer cancel()
		err = front.DoGet(&flight.Ticket{Ticket: text}, serverStream{ctx: ctx})
		require.Equal(t, codes.Aborted, status.Code(err), "%v", err)
		require.Less(t, time.Since(startedAt), timeout)
		require.Greater(t, time.Since(startedAt), timeout-50*time.Millisecond)
		require.Len(t, link.sent, 1)
		require.False(t, (<-link.sent).Deadline.After(startedAt.Add(timeout)))
	})
}
