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
	flowControlWindow = 64 << 10 // bytes unread on the stream; so set, gRPC does not widen it
	connectionBuffer  = 4 << 10  // bytes of the connection's buffers, each way
)

// stream is one Follow call on a connection of its own. The follower gives it up when it is silent for too long, so no
// keepalive is needed.
type stream struct {
	distribution.StreamTarget
	ctx     context.Context
	cancel  context.CancelFunc
	reports chan *configpb.Report // of capacity 1: the latest
}

func newStream(ctx context.Context, target distribution.StreamTarget) *stream {
	s := &stream{StreamTarget: target, reports: make(chan *configpb.Report, 1)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// close ends a stream. It may be nil, or closed already.
func (s *stream) close() {
	if s != nil {
		s.cancel()
	}
}

// sendReport has a report sent, in place of one that still waits. One goroutine calls it.
func (s *stream) sendReport(report *configpb.Report) {
	select {
	case <-s.reports:
	default:
	}
	s.reports <- report
}

// runStream runs a stream until it ends, and tells the follower so unless ctx has ended.
func (c *Client) runStream(ctx context.Context, s *stream) {
	defer s.cancel()
	err := c.receive(s)
	if s.ctx.Err() == nil {
		c.options.Log.Debug("the stream of the configuration has ended", "control", s.Address, "error", err)
	}
	c.post(ctx, func(now time.Time, f *distribution.Follower) { f.StreamEnded(now, s.Stream) })
}

// receive connects, has reports sent and takes updates.
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
				return // Recv returns why
			}
		}
	}
}

func dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		// When to connect again is the follower's to decide.
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: time.Minute, Multiplier: 1, MaxDelay: time.Minute},
			MinConnectTimeout: distribution.ConnectTimeout,
		}),
		grpc.WithInitialWindowSize(flowControlWindow), grpc.WithInitialConnWindowSize(flowControlWindow),
		grpc.WithReadBufferSize(connectionBuffer), grpc.WithWriteBufferSize(connectionBuffer),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(distribution.MaxMessage)),
	)
}
