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
	// keepaliveInterval is the maximum time between two envelopes to a peer.
	keepaliveInterval = time.Second
	// reachableTimeout is the time after its last envelope for which a peer counts as reachable: three keepalives.
	reachableTimeout = 3 * keepaliveInterval

	// Bounds of the backoff between attempts to reach a peer, by gRPC for connections and by the transport for streams. There
	// are three peers, so a short backoff costs little.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
	connectTimeout    = 3 * time.Second // minimum timeout of one connection attempt

	// A connection whose peer does not respond to a keepalive ping is closed after pingInterval and pingTimeout. 10 s is
	// gRPC's minimum.
	pingInterval = 10 * time.Second
	pingTimeout  = 3 * time.Second
)

// peer is another control machine.
type peer struct {
	name   string
	outbox *outbox
	conn   *grpc.ClientConn
}

// transport sends raft messages to the other control machines, over one stream to each.
type transport struct {
	fleet  uint64 // fingerprint
	self   uint64 // raft id
	logger *slog.Logger
	peers  map[uint64]*peer // by raft id

	cancel  context.CancelFunc
	streams sync.WaitGroup
}

// peerAddress is the address of another control machine.
type peerAddress struct {
	id      uint64 // raft id
	name    string
	address string // host:port
}

// newTransport creates the connections to the peers and starts their streams. The caller must close the transport.
func newTransport(fleet, self uint64, peers []peerAddress, log *slog.Logger) (*transport, error) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &transport{fleet: fleet, self: self, logger: log, peers: map[uint64]*peer{}, cancel: cancel}
	for _, p := range peers {
		conn, err := dial(p.address)
		if err != nil {
			t.close()
			return nil, fmt.Errorf("creating the connection to control machine %s at %s: %w", p.name, p.address, err)
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

// dial returns a connection to a control machine that reconnects automatically.
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

// close closes the connections and returns when all streams have ended.
func (t *transport) close() {
	t.cancel()
	for _, p := range t.peers {
		p.conn.Close()
	}
	t.streams.Wait()
}

// send queues a message for its receiver and does not block. A message to an unknown peer is dropped.
func (t *transport) send(message *raftpb.Message) {
	p := t.peers[message.GetTo()]
	if p == nil {
		return
	}
	data, err := consensus.EncodeMessage(message)
	if err != nil {
		panic(fmt.Sprintf("controlserver: encoding a message to member %d: %v", message.GetTo(), err))
	}
	p.outbox.push(data)
}

// run keeps a stream to a peer open, with backoff after a failure, until the context ends.
func (t *transport) run(ctx context.Context, p *peer) {
	backoffDelay := minReconnectDelay
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := t.runStream(ctx, p)
		if ctx.Err() != nil {
			return
		}
		t.logger.Warn("stream to a control machine ended", "peer", p.name, "error", err)
		if time.Since(startedAt) > reachableTimeout {
			backoffDelay = minReconnectDelay
		}
		select {
		case <-time.After(backoffDelay/2 + rand.N(backoffDelay/2)):
		case <-ctx.Done():
		}
		backoffDelay = min(2*backoffDelay, maxReconnectDelay)
	}
}

// runStream opens one stream and sends queued messages until the stream fails. It returns the error of the stream.
func (t *transport) runStream(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := configpb.NewConsensusClient(p.conn).Send(ctx, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	streamErr := make(chan error, 1)
	go func() { // detects the end of the stream even if there is nothing to send
		streamErr <- stream.RecvMsg(&configpb.Received{})
		cancel()
	}()
	t.sendQueued(ctx, p, stream)
	cancel()
	return <-streamErr
}

// sendQueued sends queued messages, and keepalives in between, until the stream or the context ends.
func (t *transport) sendQueued(ctx context.Context, p *peer,
	stream grpc.ClientStreamingClient[configpb.Envelope, configpb.Received]) {
	keepaliveTicker := time.NewTicker(keepaliveInterval)
	defer keepaliveTicker.Stop()
	for {
		message, ok := p.outbox.pop()
		if !ok {
			select {
			case <-p.outbox.wakeup:
				continue
			case <-keepaliveTicker.C: // sends an envelope without a message
			case <-ctx.Done():
				return
			}
		}
		if stream.Send(&configpb.Envelope{Fleet: t.fleet, From: t.self, Message: message}) != nil {
			return
		}
	}
}

// droppedCount returns the number of messages dropped so far from the outboxes of all peers.
func (t *transport) droppedCount() uint64 {
	var total uint64
	for _, p := range t.peers {
		total += p.outbox.droppedCount()
	}
	return total
}
