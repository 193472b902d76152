package controlserver

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/consensus"
)

// maxPeerMessageBytes is the maximum size of a gRPC message from a peer: 1 MiB above the limit of a raft message, so that
// a slightly oversized envelope is counted and dropped without ending its stream.
const maxPeerMessageBytes = consensus.MaxMessageBytes + 1<<20

// EnvelopeCounts counts the received envelopes by result.
type EnvelopeCounts struct {
	Accepted   uint64 // with a message for the replica
	Foreign    uint64 // from another fleet, from a sender that is no peer, or for another control machine
	Oversized  uint64 // with a message larger than consensus.MaxMessageBytes
	Unreadable uint64 // with a message that cannot be decoded
}

// receiver implements the Consensus service: it checks the envelopes of peers and passes their messages to the replica.
type receiver struct {
	configpb.UnimplementedConsensusServer
	fleet   uint64                                       // fingerprint
	self    uint64                                       // raft id
	deliver func(context.Context, *raftpb.Message) error // may block

	mu             sync.Mutex // guards the fields below
	counts         EnvelopeCounts
	lastEnvelopeAt map[uint64]time.Time // by raft id, with an entry for each peer; zero: none yet
}

func newReceiver(fleet, self uint64, peers []peerAddress,
	deliver func(context.Context, *raftpb.Message) error) *receiver {
	r := &receiver{fleet: fleet, self: self, deliver: deliver, lastEnvelopeAt: map[uint64]time.Time{}}
	for _, p := range peers {
		r.lastEnvelopeAt[p.id] = time.Time{}
	}
	return r
}

// Send receives envelopes until the stream ends. It does not read ahead of the replica, so that gRPC's flow control exerts
// backpressure on the peer.
func (r *receiver) Send(stream grpc.ClientStreamingServer[configpb.Envelope, configpb.Received]) error {
	for {
		envelope, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&configpb.Received{})
		}
		if err != nil {
			if status.Code(err) == codes.ResourceExhausted {
				r.updateCounts(func(c *EnvelopeCounts) { c.Oversized++ })
			}
			return err
		}
		message := r.openEnvelope(time.Now(), envelope)
		if message == nil {
			continue
		}
		if err := r.deliver(stream.Context(), message); err != nil {
			return err
		}
	}
}

// openEnvelope counts an envelope and returns its message, or nil if the envelope is a keepalive or invalid.
func (r *receiver) openEnvelope(now time.Time, envelope *configpb.Envelope) *raftpb.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, member := r.lastEnvelopeAt[envelope.GetFrom()]; !member || envelope.GetFleet() != r.fleet {
		r.counts.Foreign++
		return nil
	}
	r.lastEnvelopeAt[envelope.GetFrom()] = now
	switch size := len(envelope.GetMessage()); {
	case size == 0: // a keepalive
		return nil
	case size > consensus.MaxMessageBytes:
		r.counts.Oversized++
		return nil
	}
	message, err := consensus.DecodeMessage(envelope.GetMessage())
	if err != nil {
		r.counts.Unreadable++
		return nil
	}
	if message.GetFrom() != envelope.GetFrom() || message.GetTo() != r.self {
		r.counts.Foreign++
		return nil
	}
	r.counts.Accepted++
	return message
}

// updateCounts calls change with the counts while it holds mu.
func (r *receiver) updateCounts(change func(*EnvelopeCounts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.counts)
}

// envelopeCounts returns the counts so far.
func (r *receiver) envelopeCounts() EnvelopeCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// reachable reports whether a peer has sent an envelope within reachableTimeout.
func (r *receiver) reachable(now time.Time, id uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	receivedAt := r.lastEnvelopeAt[id]
	return !receivedAt.IsZero() && now.Sub(receivedAt) <= reachableTimeout
}
