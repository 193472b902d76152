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
	epoch       = time.Unix(1_000_000_000, 0)
	testMembers = []uint64{1, 2, 3, 4}
	testVoters  = []uint64{1, 2, 3}
	testSpares  = []uint64{4}
)

// group is four nodes on a network without delay, for tests of single properties.
type group struct {
	t       testing.TB
	now     time.Time
	nodes   map[uint64]*Node
	disks   map[uint64]*raft.MemoryStorage
	cut     map[uint64]bool // members that neither send nor receive
	lose    func(message *raftpb.Message) bool
	applied map[uint64][]Applied
}

func newGroup(t testing.TB) *group {
	g := &group{
		t: t, now: epoch,
		nodes:   make(map[uint64]*Node),
		disks:   make(map[uint64]*raft.MemoryStorage),
		cut:     make(map[uint64]bool),
		applied: make(map[uint64][]Applied),
	}
	for _, id := range testMembers {
		g.disks[id] = raft.NewMemoryStorage()
		require.NoError(t, g.disks[id].ApplySnapshot(BootstrapSnapshot(testVoters, testSpares)))
		require.NoError(t, g.disks[id].SetHardState(&raftpb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}))
		g.start(id)
	}
	return g
}

func (g *group) start(id uint64) {
	g.t.Helper()
	options := Options{ID: id, Members: testMembers, Incarnation: uint64(g.now.UnixNano())}
	node, err := New(options, g.disks[id], g.now)
	require.NoError(g.t, err)
	g.nodes[id] = node
}

// run ticks all nodes for a time and carries their messages.
func (g *group) run(span time.Duration) {
	g.t.Helper()
	for end := g.now.Add(span); g.now.Before(end); {
		g.now = g.now.Add(DefaultTickInterval)
		for _, id := range testMembers {
			g.nodes[id].Tick(g.now)
		}
		g.settle()
	}
}

// settle carries messages until there are none.
func (g *group) settle() {
	g.t.Helper()
	for busy := true; busy; {
		busy = false
		for _, id := range testMembers {
			for ready := g.nodes[id].Ready(); ready != nil; ready = g.nodes[id].Ready() {
				busy = true
				g.drive(id, ready)
			}
		}
	}
}

func (g *group) drive(id uint64, ready *Ready) {
	g.t.Helper()
	saveToMemory(g.t, g.disks[id], ready)
	for _, message := range ready.Messages {
		lost := g.lose != nil && g.lose(message)
		if g.cut[id] || g.cut[message.GetTo()] || lost {
			continue
		}
		require.NoError(g.t, g.nodes[message.GetTo()].Step(proto.CloneOf(message)))
	}
	g.applied[id] = append(g.applied[id], g.nodes[id].Advance())
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

// leader returns the one member that leads, or fails.
func (g *group) leader() *Node {
	g.t.Helper()
	var found *Node
	for _, id := range testMembers {
		if node := g.nodes[id]; !g.cut[id] && node.members.leaderTerm != 0 {
			require.Nil(g.t, found, "two leaders")
			found = node
		}
	}
	require.NotNil(g.t, found, "no leader")
	return found
}

func (g *group) publish(request uint64, document string) {
	g.t.Helper()
	require.NoError(g.t, g.leader().Propose(&configpb.Command{Request: request, Document: []byte(document)}))
	g.settle()
}

func (g *group) outcomes(id uint64) []ProposalOutcome {
	var outcomes []ProposalOutcome
	for _, applied := range g.applied[id] {
		outcomes = append(outcomes, applied.Proposals...)
	}
	return outcomes
}

func TestPublicationReachesAllMembers(t *testing.T) {
	g := newGroup(t)
	g.run(5 * time.Second)
	g.publish(11, "first")
	g.publish(12, "second")
	g.run(time.Second)
	for _, id := range testMembers {
		require.Equal(t, uint64(2), g.nodes[id].Machine().Number(), "member %d", id)
		require.Equal(t, "first", string(g.nodes[id].Machine().Get(1).GetDocument()))
		require.LessOrEqual(t, g.nodes[id].ConfirmedAge(g.now), time.Second)
	}
	outcomes := g.outcomes(g.leader().options.ID)
	require.Len(t, outcomes, 2)
	require.Equal(t, uint64(2), outcomes[1].Result.Number)
}
