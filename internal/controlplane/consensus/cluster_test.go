package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
)

var (
	epoch        = time.Unix(1_000_000_000, 0)
	testMembers  = []uint64{1, 2, 3, 4}
	testVoters   = []uint64{1, 2, 3}
	testLearners = []uint64{4}
)

// cluster is four nodes on a network without delay, for tests of single behaviours.
type cluster struct {
	t           testing.TB
	now         time.Time
	nodes       map[uint64]*Node                   // by member id
	storages    map[uint64]*raft.MemoryStorage     // by member id
	partitioned map[uint64]bool                    // members whose messages, sent and received, are dropped
	drop        func(message *raftpb.Message) bool // drops a message if it returns true; nil: drops none
	applied     map[uint64][]Applied               // results of Advance, by member id
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{
		t:           t,
		now:         epoch,
		nodes:       make(map[uint64]*Node),
		storages:    make(map[uint64]*raft.MemoryStorage),
		partitioned: make(map[uint64]bool),
		applied:     make(map[uint64][]Applied),
	}
	for _, id := range testMembers {
		c.storages[id] = raft.NewMemoryStorage()
		require.NoError(t, c.storages[id].ApplySnapshot(BootstrapSnapshot(testVoters, testLearners)))
		require.NoError(t, c.storages[id].SetHardState(&raftpb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}))
		c.start(id)
	}
	return c
}

// start creates the node of a member from its storage.
func (c *cluster) start(id uint64) {
	c.t.Helper()
	options := Options{ID: id, Members: testMembers, Incarnation: uint64(c.now.UnixNano())}
	node, err := New(options, c.storages[id], c.now)
	require.NoError(c.t, err)
	c.nodes[id] = node
}

// run advances the clock by a duration in steps of DefaultTickInterval, ticks all nodes and delivers their messages.
func (c *cluster) run(duration time.Duration) {
	c.t.Helper()
	for end := c.now.Add(duration); c.now.Before(end); {
		c.now = c.now.Add(DefaultTickInterval)
		for _, id := range testMembers {
			c.nodes[id].Tick(c.now)
		}
		c.deliverAll()
	}
}

// deliverAll processes the Ready of all nodes until no node has one.
func (c *cluster) deliverAll() {
	c.t.Helper()
	for busy := true; busy; {
		busy = false
		for _, id := range testMembers {
			for ready := c.nodes[id].Ready(); ready != nil; ready = c.nodes[id].Ready() {
				busy = true
				c.processReady(id, ready)
			}
		}
	}
}

// processReady persists a Ready, delivers its messages and advances the node.
func (c *cluster) processReady(id uint64, ready *Ready) {
	c.t.Helper()
	saveToMemory(c.t, c.storages[id], ready)
	for _, message := range ready.Messages {
		dropped := c.drop != nil && c.drop(message)
		if c.partitioned[id] || c.partitioned[message.GetTo()] || dropped {
			continue
		}
		require.NoError(c.t, c.nodes[message.GetTo()].Step(proto.CloneOf(message)))
	}
	c.applied[id] = append(c.applied[id], c.nodes[id].Advance())
}

// saveToMemory persists a Ready in a storage.
func saveToMemory(t testing.TB, storage *raft.MemoryStorage, ready *Ready) {
	t.Helper()
	if !raft.IsEmptySnap(ready.Snapshot) {
		require.NoError(t, storage.ApplySnapshot(ready.Snapshot))
	}
	require.NoError(t, storage.Append(ready.Entries))
	if !raft.IsEmptyHardState(ready.HardState) {
		require.NoError(t, storage.SetHardState(ready.HardState))
	}
	if compaction := ready.Compaction; compaction != nil {
		metadata := compaction.Snapshot.GetMetadata()
		_, err := storage.CreateSnapshot(metadata.GetIndex(), metadata.GetConfState(), compaction.Snapshot.GetData())
		require.NoError(t, err)
		if first, _ := storage.FirstIndex(); compaction.FirstIndex > first {
			require.NoError(t, storage.Compact(compaction.FirstIndex-1))
		}
	}
}

// leader returns the leader that is not partitioned. It fails the test if there is not exactly one.
func (c *cluster) leader() *Node {
	c.t.Helper()
	var found *Node
	for _, id := range testMembers {
		if node := c.nodes[id]; !c.partitioned[id] && node.leaderState.leaderTerm != 0 {
			require.Nil(c.t, found, "more than one leader")
			found = node
		}
	}
	require.NotNil(c.t, found, "no leader")
	return found
}

// propose proposes a document to the leader and delivers all messages.
func (c *cluster) propose(request uint64, document string) {
	c.t.Helper()
	require.NoError(c.t, c.leader().Propose(&configpb.Command{Request: request, Document: []byte(document)}))
	c.deliverAll()
}

// outcomes returns the outcomes of all proposals to a member.
func (c *cluster) outcomes(id uint64) []ProposalOutcome {
	var outcomes []ProposalOutcome
	for _, applied := range c.applied[id] {
		outcomes = append(outcomes, applied.Proposals...)
	}
	return outcomes
}

// otherVoter returns a voter that is not the leader.
func (c *cluster) otherVoter() uint64 {
	c.t.Helper()
	leader := c.leader()
	for _, id := range leader.confState.GetVoters() {
		if id != leader.options.ID {
			return id
		}
	}
	c.t.Fatalf("no voter other than the leader %d", leader.options.ID)
	return 0
}

// voters returns the voters in the leader's configuration.
func (c *cluster) voters() []uint64 { return c.leader().confState.GetVoters() }
