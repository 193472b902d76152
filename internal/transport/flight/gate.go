package flight

import (
	"context"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/broker"
)

// gate decides, just before a call's ticket is written, whether the call may still start. The ticket alone names the part, so a
// server that has received only the call's header cannot run it. Between the two gRPC waits until the server allows another
// stream on the connection.
//
// It also lets a call start only once: gRPC transparently retries a call that the server did not process, and the broker has not
// decided on such an attempt. For this it implements credentials.PerRPCCredentials, whose GetRequestMetadata gRPC calls for
// each of its attempts before it writes the header.
type gate struct {
	call    *broker.Call
	mu      sync.Mutex
	passed  bool // the call has started
	blocked bool // the call was stopped before its ticket was written
}

var errNotStarted = status.Error(codes.FailedPrecondition, "the call may no longer start")

// GetRequestMetadata implements credentials.PerRPCCredentials. It adds no metadata.
func (g *gate) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.passed {
		return nil, errNotStarted
	}
	if !g.call.MayStart() {
		g.blocked = true
		return nil, errNotStarted
	}
	return nil, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials.
func (g *gate) RequireTransportSecurity() bool { return false }

// start starts the call. The error is errNotStarted if nothing may be written.
func (g *gate) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.call.TryStart() {
		g.blocked = true
		return errNotStarted
	}
	g.passed = true
	return nil
}

// mayHaveRun reports whether the call's ticket may have been written.
func (g *gate) mayHaveRun() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.passed
}

// gateKey is the key of a call's gate in its context.
type gateKey struct{}

// withGate returns a context for a call with a gate.
func withGate(ctx context.Context, g *gate) context.Context {
	return context.WithValue(ctx, gateKey{}, g)
}

// gateStream is a grpc.StreamClientInterceptor. The messages of a call with a gate pass it before they are written.
func gateStream(ctx context.Context, desc *grpc.StreamDesc, conn *grpc.ClientConn, method string, open grpc.Streamer,
	options ...grpc.CallOption) (grpc.ClientStream, error) {
	stream, err := open(ctx, desc, conn, method, options...)
	if g, ok := ctx.Value(gateKey{}).(*gate); ok && err == nil {
		return gatedStream{stream, g}, nil
	}
	return stream, err
}

// gatedStream is the stream of a call with a gate. The call's only message is its ticket.
type gatedStream struct {
	grpc.ClientStream
	gate *gate
}

// SendMsg implements grpc.ClientStream.
func (s gatedStream) SendMsg(message any) error {
	if err := s.gate.start(); err != nil {
		return err
	}
	return s.ClientStream.SendMsg(message)
}
