package consensus

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/revision"
)

func TestNewRejectsInvalidOptionsAndStorage(t *testing.T) {
	storage := newMemoryDisk(BootstrapSnapshot(testVoters, testLearners), noFault)
	for name, options := range map[string]Options{
		"not a member":   {ID: 5, Members: testMembers},
		"member 0":       {ID: 1, Members: []uint64{0, 1}},
		"member twice":   {ID: 1, Members: []uint64{1, 1}},
		"lost too early": {ID: 1, Members: testMembers, VoterTimeout: time.Second},
		"negative ticks": {ID: 1, Members: testMembers, TickInterval: -1},
	} {
		_, err := New(options, storage, epoch)
		require.ErrorIs(t, err, ErrInvalidOptions, name)
	}
	_, err := New(Options{ID: 1, Members: []uint64{1, 2, 3}}, storage, epoch)
	require.ErrorIs(t, err, ErrInvalidStorage, "the storage has a member more")
	_, err = New(Options{ID: 1, Members: testMembers}, raft.NewMemoryStorage(), epoch)
	require.ErrorIs(t, err, ErrInvalidStorage, "an empty storage")
}

// addressed returns a message from member 1 to member 2.
func addressed(kind raftpb.MessageType, term uint64, change func(*raftpb.Message)) *raftpb.Message {
	message := &raftpb.Message{Type: kind.Enum(), From: new(uint64(1)), To: new(uint64(2)), Term: new(term)}
	if change != nil {
		change(message)
	}
	return message
}

func TestStepRejectsMalformedMessages(t *testing.T) {
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
	for name, message := range map[string]*raftpb.Message{
		"none":             nil,
		"local":            addressed(raftpb.MsgHup, 1, nil),
		"proposal":         addressed(raftpb.MsgProp, 1, nil),
		"transfer":         addressed(raftpb.MsgTimeoutNow, 5, nil),
		"stranger":         addressed(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.From = new(uint64(9)) }),
		"of itself":        addressed(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.From = new(uint64(2)) }),
		"to another":       addressed(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.To = new(uint64(3)) }),
		"without term":     addressed(raftpb.MsgVote, 0, nil),
		"huge term":        addressed(raftpb.MsgVote, ^uint64(0), nil),
		"forced election":  addressed(raftpb.MsgVote, 5, func(m *raftpb.Message) { m.Context = []byte("CampaignTransfer") }),
		"read of term":     addressed(raftpb.MsgReadIndex, 5, nil),
		"empty read":       addressed(raftpb.MsgReadIndex, 0, nil),
		"odd context":      addressed(raftpb.MsgHeartbeat, 5, func(m *raftpb.Message) { m.Context = []byte("odd") }),
		"odd response":     addressed(raftpb.MsgHeartbeatResp, 5, func(m *raftpb.Message) { m.Context = []byte("odd") }),
		"gap":              appending(entryAt(3, 5)),
		"future entry":     appending(entryAt(2, 6)),
		"falling terms":    appending(entryAt(2, 5), entryAt(3, 4)),
		"old change":       appending(entryOf(raftpb.EntryConfChange, nil)),
		"undecoded change": appending(entryOf(raftpb.EntryConfChangeV2, []byte{0xff})),
		"removal":          appending(entryOf(raftpb.EntryConfChangeV2, removal)),
		"huge entry":       appending(entryOf(raftpb.EntryNormal, make([]byte, revision.MaxCommandBytes+1))),
		"no snapshot":      addressed(raftpb.MsgSnap, 5, nil),
		"foreign snapshot": addressed(raftpb.MsgSnap, 5, func(m *raftpb.Message) {
			m.Snapshot = BootstrapSnapshot(testVoters, testLearners)
			m.Snapshot.Data = []byte("something else")
		}),
		"snapshot without voters": addressed(raftpb.MsgSnap, 5, func(m *raftpb.Message) {
			m.Snapshot = BootstrapSnapshot(nil, testLearners)
		}),
		"snapshot of other index": addressed(raftpb.MsgSnap, 5, func(m *raftpb.Message) {
			m.Snapshot = BootstrapSnapshot(testVoters, testLearners)
			m.Snapshot.Metadata.Index = new(uint64(7))
		}),
	} {
		storage := newMemoryDisk(BootstrapSnapshot(testVoters, testLearners), noFault)
		node, err := New(Options{ID: 2, Members: testMembers}, storage, epoch)
		require.NoError(t, err)
		require.ErrorIs(t, node.Step(message), ErrMalformedMessage, name)
		require.NoError(t, node.Err(), name)
		require.Nil(t, node.Ready(), "%s: it has changed nothing", name)
	}
	_, err = DecodeMessage([]byte{0xff})
	require.ErrorIs(t, err, ErrMalformedMessage)
	_, err = DecodeMessage(make([]byte, MaxMessageBytes+1))
	require.ErrorIs(t, err, ErrMalformedMessage)
}

// FuzzStep gives a follower, and a leader, messages of any content. They never panic, and neither loses a revision.
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
			c.propose(1, "kept")
		}
		node := c.nodes[2]
		before := node.Machine().Number()
		for _, data := range [][]byte{first, other, first} {
			message, err := DecodeMessage(data)
			if err != nil {
				continue
			}
			err = node.Step(message) // any error will do, but no panic
			require.Equal(t, node.Err() != nil, err != nil && errors.Is(err, node.Err()))
			for ready := node.Ready(); ready != nil; ready = node.Ready() {
				saveToMemory(t, c.storages[2], ready)
				node.Advance()
			}
		}
		require.GreaterOrEqual(t, node.Machine().Number(), before)
	})
}
