package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
)

// TestLostSnapshotIsRetried drops the snapshot message to a lagging member. The leader has to send another one after
// snapshotTimeout.
func TestLostSnapshotIsRetried(t *testing.T) {
	c := newCluster(t)
	for _, id := range testMembers {
		c.nodes[id].options.snapshotEntries, c.nodes[id].options.trailingEntries = 10, 2
	}
	c.run(5 * time.Second)
	laggingVoter := c.otherVoter()
	c.partitioned[laggingVoter] = true
	for request := uint64(1); request <= 30; request++ {
		c.propose(request, "document")
	}
	c.partitioned[laggingVoter] = false
	droppedCount := 0
	c.drop = func(message *raftpb.Message) bool {
		if message.GetType() == raftpb.MsgSnap && droppedCount == 0 {
			droppedCount++
			return true
		}
		return false
	}
	c.run(snapshotTimeout / 2)
	require.Equal(t, 1, droppedCount)
	require.Zero(t, c.nodes[laggingVoter].Machine().Number())
	c.run(snapshotTimeout)
	require.Equal(t, uint64(30), c.nodes[laggingVoter].Machine().Number())
}
