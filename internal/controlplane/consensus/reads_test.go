package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
)

func TestConfirmedAgeGrowsOnLaggingFollower(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	follower := c.otherVoter()
	require.Less(t, c.nodes[follower].ConfirmedAge(c.now), time.Second)
	c.drop = func(message *raftpb.Message) bool {
		return message.GetTo() == follower && message.GetType() == raftpb.MsgApp
	}
	c.propose(1, "document")
	publishedAt := c.now
	c.run(10 * time.Second)
	require.Zero(t, c.nodes[follower].Machine().Number(), "appends are dropped")
	require.Equal(t, c.leader().options.ID, c.nodes[follower].Leader())
	require.GreaterOrEqual(t, c.nodes[follower].ConfirmedAge(c.now), c.now.Sub(publishedAt))
	c.drop = nil
	c.run(time.Second)
	require.Less(t, c.nodes[follower].ConfirmedAge(c.now), time.Second)
}

func TestConfirmedAgeGrowsOnLeaderWithoutQuorum(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	leader := c.leader().options.ID
	c.partitioned[leader] = true
	c.run(10 * time.Second)
	require.GreaterOrEqual(t, c.nodes[leader].ConfirmedAge(c.now), 9*time.Second)
	require.Less(t, c.leader().ConfirmedAge(c.now), time.Second)
}

func TestConfirmedAgeOfNewNodeIsUnconfirmed(t *testing.T) {
	c := newCluster(t)
	require.Equal(t, Unconfirmed, c.nodes[1].ConfirmedAge(c.now))
}

func TestReadLimitsPendingReads(t *testing.T) {
	c := newCluster(t)
	for id := range uint64(MaxReads) {
		require.NoError(t, c.nodes[2].Read(id))
	}
	require.ErrorIs(t, c.nodes[2].Read(MaxReads), ErrTooManyReads)
	c.partitioned[2] = true
	c.run(ReadTimeout + time.Second)
	var timeouts int
	for _, applied := range c.applied[2] {
		for _, outcome := range applied.Reads {
			require.ErrorIs(t, outcome.Err, ErrTimeout)
			timeouts++
		}
	}
	require.Equal(t, MaxReads, timeouts)
	require.NoError(t, c.nodes[2].Read(1))
}

// TestReadResponseToEarlierIncarnationIsIgnored delays the response to a read until its member has restarted and sent
// another request. The delayed response is older than that request and must not confirm it.
func TestReadResponseToEarlierIncarnationIsIgnored(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	follower := c.otherVoter()
	var delayedResponses []*raftpb.Message
	c.drop = func(message *raftpb.Message) bool {
		isResponse := message.GetTo() == follower && message.GetType() == raftpb.MsgReadIndexResp
		if isResponse {
			delayedResponses = append(delayedResponses, message)
		}
		return isResponse
	}
	c.start(follower)
	c.run(5 * time.Second)
	require.NotEmpty(t, delayedResponses)
	c.start(follower)
	c.run(5 * time.Second)
	require.NotEmpty(t, c.nodes[follower].reads.rounds, "the restarted member has sent a request")
	require.NoError(t, c.nodes[follower].Step(delayedResponses[0]))
	c.deliverAll()
	require.Equal(t, Unconfirmed, c.nodes[follower].ConfirmedAge(c.now))
	require.NoError(t, c.nodes[follower].Step(delayedResponses[len(delayedResponses)-1]))
	c.deliverAll()
	require.Less(t, c.nodes[follower].ConfirmedAge(c.now), time.Second, "the response to the latest request confirms it")
}
