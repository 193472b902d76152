package controlserver

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"

	"mothrouter/internal/controlplane/configpb"
)

const eventTimeout = 10 * time.Second // limit for waiting for an expected event

func listen(t *testing.T, address string) net.Listener {
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

func newTestTransport(t *testing.T, address string) *transport {
	sender, err := newTransport(7, 2, []peerAddress{{id: 1, name: "one", address: address}}, discardLogger())
	require.NoError(t, err)
	t.Cleanup(sender.close)
	return sender
}

func heartbeatTo(to, commit uint64) *raftpb.Message {
	return &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: new(uint64(2)), To: new(to), Term: new(uint64(1)),
		Commit: new(commit)}
}

// serve runs a server of the Consensus service until stop is called.
func serve(l net.Listener, deliver func(context.Context, *raftpb.Message) error) (stop func()) {
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxPeerMessageBytes))
	configpb.RegisterConsensusServer(server, newReceiver(7, 1, []peerAddress{{id: 2}}, deliver))
	go server.Serve(l)
	return server.Stop
}

func TestTransportReconnectsToRestartedPeer(t *testing.T) {
	l := listen(t, "127.0.0.1:0")
	address := l.Addr().String()
	received := make(chan uint64, 100)
	deliver := func(_ context.Context, m *raftpb.Message) error {
		received <- m.GetCommit()
		return nil
	}
	stop := serve(l, deliver)
	sender := newTestTransport(t, address)
	sender.send(heartbeatTo(1, 1))
	require.Equal(t, uint64(1), receive(t, received))
	stop()
	l = listen(t, address)
	defer serve(l, deliver)()
	sender.send(heartbeatTo(9, 5)) // not a peer: dropped
	require.Eventually(t, func() bool {
		sender.send(heartbeatTo(1, 2))
		return len(received) > 0
	}, eventTimeout, 50*time.Millisecond)
	require.Equal(t, uint64(2), receive(t, received))
}

func receive(t *testing.T, from <-chan uint64) uint64 {
	select {
	case commit := <-from:
		return commit
	case <-time.After(eventTimeout):
		t.Fatal("no message within the timeout")
		return 0
	}
}

// TestTransportBoundsQueueOfStuckPeer sends to a peer that accepts connections but does not read messages. send must not
// block, and the oldest messages must be dropped.
func TestTransportBoundsQueueOfStuckPeer(t *testing.T) {
	unblock := make(chan struct{})
	l := listen(t, "127.0.0.1:0")
	stop := serve(l, func(ctx context.Context, _ *raftpb.Message) error {
		select {
		case <-unblock:
		case <-ctx.Done():
		}
		return ctx.Err()
	})
	defer stop()
	defer close(unblock)
	sender := newTestTransport(t, l.Addr().String())
	message := heartbeatTo(1, 1)
	message.Context = make([]byte, 1<<20)
	startedAt := time.Now()
	const sent = 3 * MaxQueuedBytes >> 20
	for range sent {
		sender.send(message)
	}
	require.Less(t, time.Since(startedAt), eventTimeout)
	require.Greater(t, sender.droppedCount(), uint64(sent/2))
	queue := sender.peers[1].outbox
	queue.mu.Lock()
	defer queue.mu.Unlock()
	require.LessOrEqual(t, queue.bytes, MaxQueuedBytes)
}
