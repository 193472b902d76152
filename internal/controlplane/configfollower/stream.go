package configfollower

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/distribution"
)

const (
	// flowControlWindow is the HTTP/2 flow-control window of the stream and of its connection, in bytes. It holds one
	// document. gRPC does not grow a window whose size is set explicitly.
	flowControlWindow = 64 << 10
	// connectionBufferSize is the size of the connection's read and write buffer, in bytes.
	connectionBufferSize = 4 << 10
	// reconnectDelay is gRPC's backoff before it reconnects. It exceeds the time for which a failed connection is kept, so
	// that gRPC never reconnects: the follower opens a new connection earlier.
	reconnectDelay = time.Minute
)

// stream is one Follow call on its own connection. It needs no keepalive: the follower closes it if no update arrives in
// time.
type stream struct {
	distribution.StreamTarget
	ctx     context.Context
	cancel  context.CancelFunc
	reports chan *configpb.Report // capacity 1: the latest report, if it has not been sent yet
}

func newStream(ctx context.Context, target distribution.StreamTarget) *stream {
	s := &stream{StreamTarget: target, reports: make(chan *configpb.Report, 1)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// close closes the stream. It has no effect if the stream is nil or closed.
func (s *stream) close() {
	if s != nil {
		s.cancel()
	}
}

// sendReport queues a report, and replaces one that has not been sent yet. It must not be called concurrently.
func (s *stream) sendReport(report *configpb.Report) {
	select {
	case <-s.reports:
	default:
	}
	s.reports <- report
}

// runStream runs a stream until it ends, and then posts the end of the stream to Run unless ctx has ended.
func (c *Client) runStream(ctx context.Context, s *stream) {
	defer s.cancel()
	err := c.receive(s)
	if s.ctx.Err() == nil {
		c.options.Log.Debug("configuration stream ended", "control", s.Address, "error", err)
	}
	c.post(ctx, func(now time.Time, f *distribution.Follower) { f.StreamEnded(now, s.Stream) })
}

// receive connects, starts a goroutine that sends reports, and posts the received updates to Run until the stream ends.
func (c *Client) receive(s *stream) error {
	conn, err := dial(s.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	call, err := configpb.NewControlClient(conn).Follow(s.ctx)
	if err != nil {
		return err
	}
	senderDone := make(chan struct{})
	defer func() {
		s.cancel()
		<-senderDone
	}()
	go func() {
		defer close(senderDone)
		send(s, call)
	}()
	for {
		update, err := call.Recv()
		if err != nil {
			return err
		}
		c.post(s.ctx, func(now time.Time, f *distribution.Follower) { f.UpdateReceived(now, s.Stream, update) })
	}
}

// send sends reports until the stream ends.
func send(s *stream, call grpc.BidiStreamingClient[configpb.Report, configpb.Update]) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case report := <-s.reports:
			if call.Send(report) != nil {
				return // the error is returned by Recv
			}
		}
	}
}

// dial returns a connection that neither retries calls nor reconnects: the follower decides when to reconnect.
func dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectDelay, Multiplier: 1, MaxDelay: reconnectDelay},
			MinConnectTimeout: distribution.ConnectTimeout,
		}),
		grpc.WithInitialWindowSize(flowControlWindow),
		grpc.WithInitialConnWindowSize(flowControlWindow),
		grpc.WithReadBufferSize(connectionBufferSize),
		grpc.WithWriteBufferSize(connectionBufferSize),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(distribution.MaxMessage)),
	)
}
