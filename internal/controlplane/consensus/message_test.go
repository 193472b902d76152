package consensus

import (
	"errors"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/revision"
)

// addressed returns a message from member 1 to member 2.
func addressed(kind raftpb.MessageType, term uint64, change func(*raftpb.Message)) *raftpb.Message {
	message := &raftpb.Message{Type: kind.Enum(), From: new(uint64(1)), To: new(uint64(2)), Term: new(term)}
	if change != nil {
		change(message)
	}
	return message
}

// malformedEnvelopes returns messages with a malformed type, address, term or context, by what is malformed.
func malformedEnvelopes() map[string]*raftpb.Message {
	return map[string]*raftpb.Message{
		"nil":                nil,
		"local type":         addressed(raftpb.MsgHup, 1, nil),
		"forwarded proposal": addressed(raftpb.MsgProp, 1, nil),
		"leader transfer":    addressed(raftpb.MsgTimeoutNow, 5, nil),
		"unknown sender":     addressed(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.From = new(uint64(9)) }),
		"sent by itself":     addressed(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.From = new(uint64(2)) }),
		"another receiver":   addressed(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.To = new(uint64(3)) }),
		"missing term":       addressed(raftpb.MsgVote, 0, nil),
		"oversized term":     addressed(raftpb.MsgVote, ^uint64(0), nil),
		"forced election":    addressed(raftpb.MsgVote, 5, func(m *raftpb.Message) { m.Context = []byte("CampaignTransfer") }),
		"read with a term":   addressed(raftpb.MsgReadIndex, 5, nil),
		"empty read":         addressed(raftpb.MsgReadIndex, 0, nil),
		"heartbeat context":  addressed(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.Context = []byte("odd") }),
		"response context":   addressed(raftpb.MsgHeartbeatResp, 5, func(m *raftpb.Message) { m.Context = []byte("odd") }),
	}
}

// malformedAppends returns appends with malformed entries, by what is malformed.
func malformedAppends(t *testing.T) map[string]*raftpb.Message {
	entryAt := func(index, term uint64) *raftpb.Entry { return &raftpb.Entry{Index: new(index), Term: new(term)} }
	entryOf := func(kind raftpb.EntryType, data []byte) *raftpb.Entry {
		return &raftpb.Entry{Index: new(uint64(2)), Term: new(uint64(5)), Type: kind.Enum(), Data: data}
	}
	appending := func(entries ...*raftpb.Entry) *raftpb.Message {
		return addressed(raftpb.MsgApp, 5, func(m *raftpb.Message) {
			m.Index, m.LogTerm, m.Entries = new(uint64(1)), new(uint64(1)), entries
		})
	}
	removal, err := proto.Marshal(&raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: new(uint64(3))},
	}})
	require.NoError(t, err)
	return map[string]*raftpb.Message{
		"gap":                appending(entryAt(3, 5)),
		"future term":        appending(entryAt(2, 6)),
		"decreasing terms":   appending(entryAt(2, 5), entryAt(3, 4)),
		"old change type":    appending(entryOf(raftpb.EntryConfChange, nil)),
		"undecodable change": appending(entryOf(raftpb.EntryConfChangeV2, []byte{0xff})),
		"member removal":     appending(entryOf(raftpb.EntryConfChangeV2, removal)),
		"oversized entry":    appending(entryOf(raftpb.EntryNormal, make([]byte, revision.MaxCommandBytes+1))),
	}
}

// malformedSnapshots returns messages with malformed snapshots, by what is malformed.
func malformedSnapshots() map[string]*raftpb.Message {
	withSnapshot := func(voters []uint64, change func(*raftpb.Snapshot)) *raftpb.Message {
		return addressed(raftpb.MsgSnap, 5, func(m *raftpb.Message) {
			m.Snapshot = BootstrapSnapshot(voters, testLearners)
			change(m.Snapshot)
		})
	}
	return map[string]*raftpb.Message{
		"missing snapshot": addressed(raftpb.MsgSnap, 5, nil),
		"foreign snapshot": withSnapshot(testVoters, func(s *raftpb.Snapshot) { s.Data = []byte("something else") }),
		"no voters":        withSnapshot(nil, func(*raftpb.Snapshot) {}),
		"other index":      withSnapshot(testVoters, func(s *raftpb.Snapshot) { s.Metadata.Index = new(uint64(7)) }),
	}
}

func TestStepRejectsMalformedMessages(t *testing.T) {
	malformed := malformedEnvelopes()
	maps.Copy(malformed, malformedAppends(t))
	maps.Copy(malformed, malformedSnapshots())
	require.Len(t, malformed, 25, "no case replaces another")
	for name, message := range malformed {
		storage := newMemoryDisk(BootstrapSnapshot(testVoters, testLearners), noFault)
		node, err := New(Options{ID: 2, Members: testMembers}, storage, epoch)
		require.NoError(t, err)
		require.ErrorIs(t, node.Step(message), ErrMalformedMessage, name)
		require.NoError(t, node.Err(), name)
		require.Nil(t, node.Ready(), "%s: it has changed nothing", name)
	}
}

func TestDecodeMessageRejectsUndecodableAndOversized(t *testing.T) {
	_, err := DecodeMessage([]byte{0xff})
	require.ErrorIs(t, err, ErrMalformedMessage)
	_, err = DecodeMessage(make([]byte, MaxMessageBytes+1))
	require.ErrorIs(t, err, ErrMalformedMessage)
}

// FuzzStep steps a follower or a leader with arbitrary messages: it neither panics nor loses a revision.
func FuzzStep(f *testing.F) {
	heartbeat := addressed(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.Commit = new(uint64(1)) })
	appending := addressed(raftpb.MsgApp, 5, func(m *raftpb.Message) {
		m.Index, m.LogTerm, m.Commit = new(uint64(1)), new(uint64(1)), new(uint64(3))
		m.Entries = []*raftpb.Entry{{Index: new(uint64(2)), Term: new(uint64(5)), Data: []byte("entry")}}
	})
	snapshot := addressed(raftpb.MsgSnap, 5, func(m *raftpb.Message) {
		m.Snapshot = BootstrapSnapshot(testVoters, testLearners)
	})
	response := addressed(raftpb.MsgHeartbeatResp, 2, func(m *raftpb.Message) { m.Context = make([]byte, 8) })
	vote := addressed(raftpb.MsgVote, 9, func(m *raftpb.Message) { m.Index, m.LogTerm = new(uint64(9)), new(uint64(9)) })
	for _, message := range []*raftpb.Message{heartbeat, appending, snapshot, response, vote} {
		data, err := EncodeMessage(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data, false)
		f.Add(data, data, true)
	}
	f.Fuzz(func(t *testing.T, first, other []byte, leads bool) {
		c := newCluster(t)
		if leads {
			require.NoError(t, c.nodes[2].raw.Campaign())
			c.deliverAll()
			c.propose(1, "document")
		}
		node := c.nodes[2]
		before := node.Machine().Number()
		for _, data := range [][]byte{first, other, first} {
			message, err := DecodeMessage(data)
			if err != nil {
				continue
			}
			err = node.Step(message) // any error, but no panic
			require.Equal(t, node.Err() != nil, err != nil && errors.Is(err, node.Err()))
			for ready := node.Ready(); ready != nil; ready = node.Ready() {
				saveToMemory(t, c.storages[2], ready)
				node.Advance()
			}
		}
		require.GreaterOrEqual(t, node.Machine().Number(), before)
	})
}

func TestHeartbeatStopsMemberWithMissingEntries(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	c.propose(1, "kept elsewhere")
	c.run(time.Second)
	lost := c.otherVoter()
	c.storages[lost] = raft.NewMemoryStorage()
	require.NoError(t, c.storages[lost].ApplySnapshot(BootstrapSnapshot(testVoters, testLearners)))
	require.NoError(t, c.storages[lost].SetHardState(&raftpb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}))
	c.start(lost)
	err := c.nodes[lost].Step(&raftpb.Message{
		Type: raftpb.MsgHeartbeat.Enum(), From: new(c.leader().options.ID), To: new(lost),
		Term: new(c.leader().leaderState.leaderTerm), Commit: new(c.leader().Machine().Applied()),
	})
	require.ErrorIs(t, err, ErrMissingEntries)
	require.ErrorIs(t, c.nodes[lost].Err(), ErrMissingEntries)
	require.Nil(t, c.nodes[lost].Ready())
}
