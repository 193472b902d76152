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

// newMessage returns a message from member 1 to member 2. modify, unless nil, changes it.
func newMessage(kind raftpb.MessageType, term uint64, modify func(*raftpb.Message)) *raftpb.Message {
	message := &raftpb.Message{Type: kind.Enum(), From: new(uint64(1)), To: new(uint64(2)), Term: new(term)}
	if modify != nil {
		modify(message)
	}
	return message
}

// malformedEnvelopes returns messages with an invalid type, sender, receiver, term or context, by the name of the case.
func malformedEnvelopes() map[string]*raftpb.Message {
	return map[string]*raftpb.Message{
		"nil":                nil,
		"local type":         newMessage(raftpb.MsgHup, 1, nil),
		"forwarded proposal": newMessage(raftpb.MsgProp, 1, nil),
		"leader transfer":    newMessage(raftpb.MsgTimeoutNow, 5, nil),
		"unknown sender":     newMessage(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.From = new(uint64(9)) }),
		"sent by itself":     newMessage(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.From = new(uint64(2)) }),
		"wrong receiver":     newMessage(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.To = new(uint64(3)) }),
		"missing term":       newMessage(raftpb.MsgVote, 0, nil),
		"oversized term":     newMessage(raftpb.MsgVote, ^uint64(0), nil),
		"forced election":    newMessage(raftpb.MsgVote, 5, func(m *raftpb.Message) { m.Context = []byte("CampaignTransfer") }),
		"read with a term":   newMessage(raftpb.MsgReadIndex, 5, nil),
		"empty read":         newMessage(raftpb.MsgReadIndex, 0, nil),
		"heartbeat context":  newMessage(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.Context = []byte("odd") }),
		"response context":   newMessage(raftpb.MsgHeartbeatResp, 5, func(m *raftpb.Message) { m.Context = []byte("odd") }),
	}
}

// malformedAppends returns append messages with invalid entries, by the name of the case.
func malformedAppends(t *testing.T) map[string]*raftpb.Message {
	entryAt := func(index, term uint64) *raftpb.Entry { return &raftpb.Entry{Index: new(index), Term: new(term)} }
	entryOf := func(kind raftpb.EntryType, data []byte) *raftpb.Entry {
		return &raftpb.Entry{Index: new(uint64(2)), Term: new(uint64(5)), Type: kind.Enum(), Data: data}
	}
	newAppend := func(entries ...*raftpb.Entry) *raftpb.Message {
		return newMessage(raftpb.MsgApp, 5, func(m *raftpb.Message) {
			m.Index, m.LogTerm, m.Entries = new(uint64(1)), new(uint64(1)), entries
		})
	}
	removal, err := proto.Marshal(&raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: new(uint64(3))},
	}})
	require.NoError(t, err)
	return map[string]*raftpb.Message{
		"index gap":          newAppend(entryAt(3, 5)),
		"future term":        newAppend(entryAt(2, 6)),
		"decreasing terms":   newAppend(entryAt(2, 5), entryAt(3, 4)),
		"ConfChange v1":      newAppend(entryOf(raftpb.EntryConfChange, nil)),
		"undecodable change": newAppend(entryOf(raftpb.EntryConfChangeV2, []byte{0xff})),
		"member removal":     newAppend(entryOf(raftpb.EntryConfChangeV2, removal)),
		"oversized entry":    newAppend(entryOf(raftpb.EntryNormal, make([]byte, revision.MaxCommandBytes+1))),
	}
}

// malformedSnapshots returns snapshot messages with invalid snapshots, by the name of the case.
func malformedSnapshots() map[string]*raftpb.Message {
	withSnapshot := func(voters []uint64, modify func(*raftpb.Snapshot)) *raftpb.Message {
		return newMessage(raftpb.MsgSnap, 5, func(m *raftpb.Message) {
			m.Snapshot = BootstrapSnapshot(voters, testLearners)
			modify(m.Snapshot)
		})
	}
	return map[string]*raftpb.Message{
		"missing snapshot": newMessage(raftpb.MsgSnap, 5, nil),
		"undecodable data": withSnapshot(testVoters, func(s *raftpb.Snapshot) { s.Data = []byte("something else") }),
		"no voters":        withSnapshot(nil, func(*raftpb.Snapshot) {}),
		"wrong index":      withSnapshot(testVoters, func(s *raftpb.Snapshot) { s.Metadata.Index = new(uint64(7)) }),
	}
}

func TestStepRejectsMalformedMessages(t *testing.T) {
	malformed := malformedEnvelopes()
	maps.Copy(malformed, malformedAppends(t))
	maps.Copy(malformed, malformedSnapshots())
	require.Len(t, malformed, 25, "case names must be unique")
	for name, message := range malformed {
		storage := newMemoryDisk(BootstrapSnapshot(testVoters, testLearners), noFault)
		node, err := New(Options{ID: 2, Members: testMembers}, storage, epoch)
		require.NoError(t, err)
		require.ErrorIs(t, node.Step(message), ErrMalformedMessage, name)
		require.NoError(t, node.Err(), name)
		require.Nil(t, node.Ready(), "%s: a rejected message must have no effect", name)
	}
}

func TestDecodeMessageRejectsUndecodableAndOversized(t *testing.T) {
	_, err := DecodeMessage([]byte{0xff})
	require.ErrorIs(t, err, ErrMalformedMessage)
	_, err = DecodeMessage(make([]byte, MaxMessageBytes+1))
	require.ErrorIs(t, err, ErrMalformedMessage)
}

// FuzzStep passes arbitrary messages to a raft follower or leader, which must neither panic nor lose a revision.
func FuzzStep(f *testing.F) {
	heartbeat := newMessage(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.Commit = new(uint64(1)) })
	appendMessage := newMessage(raftpb.MsgApp, 5, func(m *raftpb.Message) {
		m.Index, m.LogTerm, m.Commit = new(uint64(1)), new(uint64(1)), new(uint64(3))
		m.Entries = []*raftpb.Entry{{Index: new(uint64(2)), Term: new(uint64(5)), Data: []byte("entry")}}
	})
	snapshot := newMessage(raftpb.MsgSnap, 5, func(m *raftpb.Message) {
		m.Snapshot = BootstrapSnapshot(testVoters, testLearners)
	})
	heartbeatResponse := newMessage(raftpb.MsgHeartbeatResp, 2, func(m *raftpb.Message) { m.Context = make([]byte, 8) })
	vote := newMessage(raftpb.MsgVote, 9, func(m *raftpb.Message) { m.Index, m.LogTerm = new(uint64(9)), new(uint64(9)) })
	for _, message := range []*raftpb.Message{heartbeat, appendMessage, snapshot, heartbeatResponse, vote} {
		data, err := EncodeMessage(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data, false)
		f.Add(data, data, true)
	}
	f.Fuzz(func(t *testing.T, first, second []byte, isLeader bool) {
		c := newCluster(t)
		if isLeader {
			require.NoError(t, c.nodes[2].raw.Campaign())
			c.deliverAll()
			c.propose(1, "document")
		}
		node := c.nodes[2]
		before := node.Machine().Number()
		for _, data := range [][]byte{first, second, first} {
			message, err := DecodeMessage(data)
			if err != nil {
				continue
			}
			err = node.Step(message) // may fail, but must not panic
			require.Equal(t, node.Err() != nil, err != nil && errors.Is(err, node.Err()))
			for ready := node.Ready(); ready != nil; ready = node.Ready() {
				saveToMemory(t, c.storages[2], ready)
				node.Advance()
			}
		}
		require.GreaterOrEqual(t, node.Machine().Number(), before)
	})
}

// TestHeartbeatStopsMemberWithMissingEntries restarts a member with an empty log after it acknowledged an entry. The commit
// index in the next heartbeat reveals the loss.
func TestHeartbeatStopsMemberWithMissingEntries(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	c.propose(1, "kept elsewhere")
	c.run(time.Second)
	restartedID := c.otherVoter()
	c.storages[restartedID] = raft.NewMemoryStorage()
	require.NoError(t, c.storages[restartedID].ApplySnapshot(BootstrapSnapshot(testVoters, testLearners)))
	require.NoError(t, c.storages[restartedID].SetHardState(&raftpb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}))
	c.start(restartedID)
	err := c.nodes[restartedID].Step(&raftpb.Message{
		Type: raftpb.MsgHeartbeat.Enum(), From: new(c.leader().options.ID), To: new(restartedID),
		Term: new(c.leader().leaderState.leaderTerm), Commit: new(c.leader().Machine().Applied()),
	})
	require.ErrorIs(t, err, ErrMissingEntries)
	require.ErrorIs(t, c.nodes[restartedID].Err(), ErrMissingEntries)
	require.Nil(t, c.nodes[restartedID].Ready())
}
