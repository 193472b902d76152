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

// maxPeerMessageBytes is the largest message that is read from a peer at all: one envelope that is a little too large
// is counted and dropped without the loss of its stream.
const maxPeerMessageBytes = consensus.MaxMessageBytes + 1<<20

// EnvelopeCounts are the envelopes that were received, by what became of them.
type EnvelopeCounts struct {
	Accepted   uint64
	Foreign    uint64 // of another fleet, of no member, or for another machine
	Oversized  uint64
	Unreadable uint64
}

// receiver serves the Consensus service: it checks what peers send and hands the messages on.
type receiver struct {
	configpb.UnimplementedConsensusServer
	fleet   uint64 // fingerprint
	self    uint64
	deliver func(context.Context, *raftpb.Message) error // may wait

	mu             sync.Mutex // guards what follows
	counts         EnvelopeCounts
	lastEnvelopeAt map[uint64]time.Time // by each peer; zero: never
}

func newReceiver(fleet, self uint64, peers []peerAddress,
	deliver func(context.Context, *raftpb.Message) error) *receiver {
	r := &receiver{fleet: fleet, self: self, deliver: deliver, lastEnvelopeAt: map[uint64]time.Time{}}
	for _, p := range peers {
		r.lastEnvelopeAt[p.id] = time.Time{}
	}
	return r
}

// Send reads envelopes until the stream ends. While the messages before are not taken it reads no further.
func (r *receiver) Send(stream grpc.ClientStreamingServer[configpb.Envelope, configpb.Received]) error {
	for {
		envelope, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&configpb.Received{})
		}
		if err != nil {
			if status.Code(err) == codes.ResourceExhausted {
				r.count(func(c *EnvelopeCounts) { c.Oversized++ })
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

// openEnvelope returns the message of an envelope, or nil where it has none or was dropped.
func (r *receiver) openEnvelope(now time.Time, envelope *configpb.Envelope) *raftpb.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, member := r.lastEnvelopeAt[envelope.GetFrom()]; !member || envelope.GetFleet() != r.fleet {
		r.counts.Foreign++
		return nil
	}
	r.lastEnvelopeAt[envelope.GetFrom()] = now
	switch size := len(envelope.GetMessage()); {
	case size == 0: // says only that the peer is there
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

func (r *receiver) count(change func(*EnvelopeCounts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.counts)
}

func (r *receiver) envelopes() EnvelopeCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// reachable tells whether a peer was heard lately.
func (r *receiver) reachable(now time.Time, id uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	heard := r.lastEnvelopeAt[id]
	return !heard.IsZero() && now.Sub(heard) <= reachableTimeout
}
