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

// cluster is four nodes on a network without delay, for tests of one behaviour.
type cluster struct {
	t           testing.TB
	now         time.Time
	nodes       map[uint64]*Node
	storages    map[uint64]*raft.MemoryStorage
	partitioned map[uint64]bool // members whose messages are dropped
	drop        func(message *raftpb.Message) bool
	applied     map[uint64][]Applied
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{
		t: t, now: epoch,
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

func (c *cluster) start(id uint64) {
	c.t.Helper()
	options := Options{ID: id, Members: testMembers, Incarnation: uint64(c.now.UnixNano())}
	node, err := New(options, c.storages[id], c.now)
	require.NoError(c.t, err)
	c.nodes[id] = node
}

// run advances the clock in ticks of all nodes and delivers their messages.
func (c *cluster) run(span time.Duration) {
	c.t.Helper()
	for end := c.now.Add(span); c.now.Before(end); {
		c.now = c.now.Add(DefaultTickInterval)
		for _, id := range testMembers {
			c.nodes[id].Tick(c.now)
		}
		c.deliverAll()
	}
}

// deliverAll processes Ready of all nodes until none is left.
func (c *cluster) deliverAll() {
	c.t.Helper()
	for busy := true; busy; {
		busy = false
		for _, id := range testMembers {
			for ready := c.nodes[id].Ready(); ready != nil; ready = c.nodes[id].Ready() {
				busy = true
				c.drive(id, ready)
			}
		}
	}
}

// drive persists a Ready, delivers its messages and advances the node.
func (c *cluster) drive(id uint64, ready *Ready) {
	c.t.Helper()
	saveToMemory(c.t, c.storages[id], ready)
	for _, message := range ready.Messages {
		lost := c.drop != nil && c.drop(message)
		if c.partitioned[id] || c.partitioned[message.GetTo()] || lost {
			continue
		}
		require.NoError(c.t, c.nodes[message.GetTo()].Step(proto.CloneOf(message)))
	}
	c.applied[id] = append(c.applied[id], c.nodes[id].Advance())
}

func saveToMemory(t testing.TB, disk *raft.MemoryStorage, ready *Ready) {
	t.Helper()
	if !raft.IsEmptySnap(ready.Snapshot) {
		require.NoError(t, disk.ApplySnapshot(ready.Snapshot))
	}
	require.NoError(t, disk.Append(ready.Entries))
	if !raft.IsEmptyHardState(ready.HardState) {
		require.NoError(t, disk.SetHardState(ready.HardState))
	}
	if compaction := ready.Compaction; compaction != nil {
		metadata := compaction.Snapshot.GetMetadata()
		_, err := disk.CreateSnapshot(metadata.GetIndex(), metadata.GetConfState(), compaction.Snapshot.GetData())
		require.NoError(t, err)
		if first, _ := disk.FirstIndex(); compaction.FirstIndex > first {
			require.NoError(t, disk.Compact(compaction.FirstIndex-1))
		}
	}
}

// leader returns the only leader that is not partitioned, or fails.
func (c *cluster) leader() *Node {
	c.t.Helper()
	var found *Node
	for _, id := range testMembers {
		if node := c.nodes[id]; !c.partitioned[id] && node.leaderState.leaderTerm != 0 {
			require.Nil(c.t, found, "two leaders")
			found = node
		}
	}
	require.NotNil(c.t, found, "no leader")
	return found
}

func (c *cluster) propose(request uint64, document string) {
	c.t.Helper()
	require.NoError(c.t, c.leader().Propose(&configpb.Command{Request: request, Document: []byte(document)}))
	c.deliverAll()
}

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
	c.t.Fatal("no other voter")
	return 0
}

func (c *cluster) voters() []uint64 { return c.leader().confState.GetVoters() }
