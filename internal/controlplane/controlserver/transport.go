package controlserver

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/consensus"
)

const (
	// keepaliveInterval is how often a peer is sent something at least.
	keepaliveInterval = time.Second
	// reachableTimeout is how long a peer counts as reachable after it was heard: three of sayAlive.
	reachableTimeout = 3 * keepaliveInterval

	// Waits between attempts to reach a peer, by gRPC for connections and by the transport for streams. Peers are
	// three, so short waits cost little.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
	connectTimeout    = 3 * time.Second

	// A connection that answers no ping is given up after both: 10 s is the least that gRPC allows.
	pingInterval = 10 * time.Second
	pingTimeout  = 3 * time.Second
)

// peer is another control machine.
type peer struct {
	name   string
	outbox *outbox
	conn   *grpc.ClientConn
}

// transport sends messages of the replicated log to the other control machines: one stream for each.
type transport struct {
	fleet  uint64 // fingerprint
	self   uint64
	logger *slog.Logger
	peers  map[uint64]*peer

	cancel  context.CancelFunc
	streams sync.WaitGroup
}

// peerAddress is where another control machine is reached.
type peerAddress struct {
	id      uint64
	name    string
	address string // host:port
}

// newTransport starts sending to the peers. It has to be closed.
func newTransport(fleet, self uint64, peers []peerAddress, log *slog.Logger) (*transport, error) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &transport{fleet: fleet, self: self, logger: log, peers: map[uint64]*peer{}, cancel: cancel}
	for _, p := range peers {
		conn, err := dial(p.address)
		if err != nil {
			t.close()
			return nil, fmt.Errorf("control machine %s at %s: %w", p.name, p.address, err)
		}
		t.peers[p.id] = &peer{name: p.name, outbox: newOutbox(), conn: conn}
	}
	for _, p := range t.peers {
		t.streams.Add(1)
		go func() {
			defer t.streams.Done()
			t.run(ctx, p)
		}()
	}
	return t, nil
}

func dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: minReconnectDelay, Multiplier: 1.6, Jitter: 0.5, MaxDelay: maxReconnectDelay,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithIdleTimeout(0),
	)
}

// close ends all streams and returns once they have ended.
func (t *transport) close() {
	t.cancel()
	for _, p := range t.peers {
		p.conn.Close()
	}
	t.streams.Wait()
}

// send queues a message for its receiver, without waiting. A message to a machine that is no peer is dropped.
func (t *transport) send(message *raftpb.Message) {
	p := t.peers[message.GetTo()]
	if p == nil {
		return
	}
	data, err := consensus.EncodeMessage(message)
	if err != nil {
		panic(fmt.Sprintf("controlserver: a message that cannot be encoded: %v", err))
	}
	p.outbox.push(data)
}

// run keeps a stream to a peer open until the context ends.
func (t *transport) run(ctx context.Context, p *peer) {
	wait := minReconnectDelay
	for ctx.Err() == nil {
		began := time.Now()
		err := t.runStream(ctx, p)
		if ctx.Err() != nil {
			return
		}
		t.logger.Warn("stream to a control machine ended", "peer", p.name, "error", err)
		if time.Since(began) > reachableTimeout {
			wait = minReconnectDelay
		}
		select {
		case <-time.After(wait/2 + rand.N(wait/2)):
		case <-ctx.Done():
		}
		wait = min(2*wait, maxReconnectDelay)
	}
}

// runStream opens one stream and sends what the outbox holds until that fails.
func (t *transport) runStream(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := configpb.NewConsensusClient(p.conn).Send(ctx, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	why := make(chan error, 1)
	go func() { // a stream that ends says so here, also while there is nothing to send
		why <- stream.RecvMsg(&configpb.Received{})
		cancel()
	}()
	t.sendQueued(ctx, p, stream)
	cancel()
	return <-why
}

// sendQueued sends what the outbox holds until the stream or the context ends.
func (t *transport) sendQueued(ctx context.Context, p *peer,
	stream grpc.ClientStreamingClient[configpb.Envelope, configpb.Received]) {
	alive := time.NewTicker(keepaliveInterval)
	defer alive.Stop()
	for {
		message, ok := p.outbox.pop()
		if !ok {
			select {
			case <-p.outbox.ready:
				continue
			case <-alive.C: // an envelope without a message
			case <-ctx.Done():
				return
			}
		}
		if stream.Send(&configpb.Envelope{Fleet: t.fleet, From: t.self, Message: message}) != nil {
			return
		}
	}
}

// droppedCount returns how many messages were dropped because their peer did not take them in time.
func (t *transport) droppedCount() (count uint64) {
	for _, p := range t.peers {
		count += p.outbox.droppedCount()
	}
	return count
}
