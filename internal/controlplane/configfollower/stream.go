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
	// flowControlWindow is the HTTP/2 window of the stream and of its connection, in bytes: one document. gRPC does not
	// enlarge a window that is set.
	flowControlWindow = 64 << 10
	// connectionBuffer is the size of the connection's read buffer and of its write buffer, in bytes.
	connectionBuffer = 4 << 10
	// noReconnect is a backoff of gRPC that no connection lives to see: the follower opens a new one before.
	noReconnect = time.Minute
)

// stream is one Follow call on a connection of its own. It needs no keepalive: the follower closes it when its updates
// time out.
type stream struct {
	distribution.StreamTarget
	ctx     context.Context
	cancel  context.CancelFunc
	reports chan *configpb.Report // of capacity 1: the latest report that is not sent yet
}

func newStream(ctx context.Context, target distribution.StreamTarget) *stream {
	s := &stream{StreamTarget: target, reports: make(chan *configpb.Report, 1)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// close closes a stream. It has no effect on one that is nil or closed.
func (s *stream) close() {
	if s != nil {
		s.cancel()
	}
}

// sendReport queues a report, replacing one that is not sent yet. It must not be called concurrently.
func (s *stream) sendReport(report *configpb.Report) {
	select {
	case <-s.reports:
	default:
	}
	s.reports <- report
}

// runStream runs a stream until it ends, and posts its end unless ctx has ended.
func (c *Client) runStream(ctx context.Context, s *stream) {
	defer s.cancel()
	err := c.receive(s)
	if s.ctx.Err() == nil {
		c.options.Log.Debug("the stream of the configuration has ended", "control", s.Address, "error", err)
	}
	c.post(ctx, func(now time.Time, f *distribution.Follower) { f.StreamEnded(now, s.Stream) })
}

// receive connects, starts the sender of reports, and posts updates until the stream ends.
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
				return // Recv returns the error
			}
		}
	}
}

// dial returns a connection that neither retries calls nor reconnects: the follower decides when to connect.
func dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: noReconnect, Multiplier: 1, MaxDelay: noReconnect},
			MinConnectTimeout: distribution.ConnectTimeout,
		}),
		grpc.WithInitialWindowSize(flowControlWindow),
		grpc.WithInitialConnWindowSize(flowControlWindow),
		grpc.WithReadBufferSize(connectionBuffer),
		grpc.WithWriteBufferSize(connectionBuffer),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(distribution.MaxMessage)),
	)
}
