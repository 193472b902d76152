package flight

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// holdingServer is a record server that passes the ids of its parts to the test, and holds each until the test releases it.
type holdingServer struct {
	flight.BaseFlightServer
	received chan string
	release  chan struct{}
}

// DoGet fails a part once it is released.
func (s *holdingServer) DoGet(ticket *flight.Ticket, _ flight.FlightService_DoGetServer) error {
	var part PartTicket
	if err := json.Unmarshal(ticket.Ticket, &part); err != nil {
		return err
	}
	s.received <- part.ID
	<-s.release
	return status.Error(codes.Aborted, "released")
}

// startHoldingServer starts a holdingServer that allows one stream a connection, and returns its address.
func startHoldingServer(t *testing.T) (s *holdingServer, addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s = &holdingServer{received: make(chan string, 99), release: make(chan struct{})}
	server := grpc.NewServer(grpc.MaxConcurrentStreams(1))
	flight.RegisterFlightServiceServer(server, s)
	go server.Serve(l)
	t.Cleanup(server.Stop)
	return s, l.Addr().String()
}

// submitParts submits queries of one part each to a broker with one record server, and returns the function that passes it the
// server's state.
func submitParts(t *testing.T, addr string, queries ...string) (update func(decision.State)) {
	settings := nonIdempotentSettings()
	link := NewLink(t.Context(), LinkOptions{MaxStreams: 100, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	b := broker.New(broker.Options{Settings: settings, Log: slog.New(slog.DiscardHandler)}, decision.New(settings, 1), link)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go b.Run(ctx)
	update = func(state decision.State) {
		server := decision.Server{ID: "s0", State: state}
		b.Update(broker.EndpointUpdate{Mode: decision.FullUpdate, Servers: []broker.Endpoint{{Addr: addr, Server: server}}})
	}
	update(decision.Ready)
	for _, id := range queries {
		b.Submit(&broker.Request{
			ID: id, ReceivedAt: time.Now(), Timeout: 3 * time.Second, Parts: []broker.Part{{Weight: 1}},
		}, make(client, 1))
	}
	return update
}

// Guards against parts that begin at a draining server, because they passed the last check before they waited in gRPC for a stream.
func TestPartThatWaitsForStreamIsNotSentAfterDrain(t *testing.T) {
	for name, c := range map[string]struct {
		state decision.State
		parts int // that the server receives
	}{"ready": {decision.Ready, 2}, "draining": {decision.Draining, 1}} {
		t.Run(name, func(t *testing.T) {
			s, addr := startHoldingServer(t)
			update := submitParts(t, addr, "first", "second")
			<-s.received
			time.Sleep(100 * time.Millisecond) // the other part waits for a stream
			require.Empty(t, s.received)
			update(c.state)
			close(s.release)
			time.Sleep(300 * time.Millisecond)
			require.Len(t, s.received, c.parts-1)
		})
	}
}
