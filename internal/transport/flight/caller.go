package flight

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"mothrouter/internal/broker"
	"mothrouter/internal/transport/presence"
)

// presenceInterval is how often a call that waits for its client's confirmation checks it.
const presenceInterval = time.Millisecond

// caller is the client of one call. It implements broker.ClientConn.
type caller struct {
	ctx  context.Context   // of the call; done once the call is cancelled or the connection has closed
	conn *presence.Tracker // nil: the connection is not tracked
}

// callerOf returns the client of the call with a context of gRPC.
func callerOf(ctx context.Context) caller {
	c := caller{ctx: ctx}
	if p, ok := peer.FromContext(ctx); ok {
		if addr, ok := p.Addr.(presence.Addr); ok {
			c.conn = addr.Tracker
		}
	}
	return c
}

// State implements broker.ClientConn.
func (c caller) State() broker.ClientState {
	switch {
	case c.ctx.Err() != nil:
		return broker.ClientDisconnected
	case c.conn == nil:
		return broker.ClientConnected
	}
	return c.conn.State()
}

// await waits until the client is confirmed to be connected. The error is the status of a call whose client has left, or whose time
// is up. gRPC hands calls over as it reads them; the client's close or cancellation may stand behind a call.
func (c caller) await() error {
	ticker := time.NewTicker(presenceInterval)
	defer ticker.Stop()
	for c.ctx.Err() == nil {
		switch c.State() {
		case broker.ClientConnected:
			return nil
		case broker.ClientDisconnected:
			return status.Error(codes.Canceled, "the client has closed the connection")
		}
		select {
		case <-ticker.C:
		case <-c.ctx.Done():
		}
	}
	return status.FromContextError(c.ctx.Err()).Err()
}
