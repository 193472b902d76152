package controlserver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/consensus"
)

func heartbeat(t *testing.T, from, to uint64) []byte {
	data, err := consensus.EncodeMessage(&raftpb.Message{
		Type: raftpb.MsgHeartbeat.Enum(), From: new(from), To: new(to), Term: new(uint64(1)),
	})
	require.NoError(t, err)
	return data
}

func TestReceiverCountsDroppedEnvelopes(t *testing.T) {
	fleet := plane.FleetFingerprint("f")
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		name     string
		envelope *configpb.Envelope
		counts   EnvelopeCounts
	}{
		{"valid", &configpb.Envelope{Fleet: fleet, From: 2, Message: heartbeat(t, 2, 1)}, EnvelopeCounts{Accepted: 1}},
		{"keepalive", &configpb.Envelope{Fleet: fleet, From: 2}, EnvelopeCounts{}},
		{"other fleet", &configpb.Envelope{Fleet: fleet + 1, From: 2, Message: heartbeat(t, 2, 1)},
			EnvelopeCounts{Foreign: 1}},
		{"unknown sender", &configpb.Envelope{Fleet: fleet, From: 9, Message: heartbeat(t, 9, 1)}, EnvelopeCounts{Foreign: 1}},
		{"sent by this control machine", &configpb.Envelope{Fleet: fleet, From: 1, Message: heartbeat(t, 1, 1)},
			EnvelopeCounts{Foreign: 1}},
		{"message of another sender", &configpb.Envelope{Fleet: fleet, From: 2, Message: heartbeat(t, 3, 1)},
			EnvelopeCounts{Foreign: 1}},
		{"other receiver", &configpb.Envelope{Fleet: fleet, From: 2, Message: heartbeat(t, 2, 3)},
			EnvelopeCounts{Foreign: 1}},
		{"unreadable", &configpb.Envelope{Fleet: fleet, From: 2, Message: []byte{0xff, 0xff}},
			EnvelopeCounts{Unreadable: 1}},
		{"oversized", &configpb.Envelope{Fleet: fleet, From: 2, Message: make([]byte, consensus.MaxMessageBytes+1)},
			EnvelopeCounts{Oversized: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReceiver(fleet, 1, []peerAddress{{id: 2}, {id: 3}}, nil)
			message := r.openEnvelope(now, c.envelope)
			require.Equal(t, c.counts, r.envelopeCounts())
			require.Equal(t, c.counts.Accepted == 1, message != nil)
		})
	}
}

func TestReceiverReportsReachablePeers(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := newReceiver(7, 1, []peerAddress{{id: 2}, {id: 3}}, nil)
	require.False(t, r.reachable(now, 2))
	r.openEnvelope(now, &configpb.Envelope{Fleet: 7, From: 2})
	require.True(t, r.reachable(now.Add(reachableTimeout), 2))
	require.False(t, r.reachable(now.Add(reachableTimeout+time.Millisecond), 2))
	require.False(t, r.reachable(now, 3))
	r.openEnvelope(now, &configpb.Envelope{Fleet: 8, From: 3})
	require.False(t, r.reachable(now, 3), "the envelope is of another fleet")
}
