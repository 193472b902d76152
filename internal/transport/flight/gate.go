package flight

import (
	"context"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/broker"
)

// gate decides, just before a call's header is written, whether the call may still start. It implements
// credentials.PerRPCCredentials, whose GetRequestMetadata gRPC calls at that moment. It lets a call start once: gRPC
// transparently retries a call that the server did not process, and the broker has not decided on such an attempt.
type gate struct {
	call    *broker.Call
	mu      sync.Mutex
	passed  bool // the call has started
	blocked bool // the call was stopped before anything was written
}

var errNotStarted = status.Error(codes.FailedPrecondition, "the call may no longer start")

// GetRequestMetadata implements credentials.PerRPCCredentials. It adds no metadata.
func (g *gate) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.passed {
		return nil, errNotStarted
	}
	if !g.call.TryStart() {
		g.blocked = true
		return nil, errNotStarted
	}
	g.passed = true
	return nil, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials.
func (g *gate) RequireTransportSecurity() bool { return false }

// mayHaveRun reports whether the call's header may have been written.
func (g *gate) mayHaveRun() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.passed
}
