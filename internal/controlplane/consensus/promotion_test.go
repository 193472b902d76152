package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
)

func TestLearnerReplacesLostVoter(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	c.propose(1, "with all voters")
	lostVoter := c.otherVoter()
	c.partitioned[lostVoter] = true
	c.run(DefaultVoterTimeout - 5*time.Second)
	require.ElementsMatch(t, testVoters, c.voters(), "no replacement before the voter timeout")
	c.run(10 * time.Second)
	require.NotContains(t, c.voters(), lostVoter)
	require.Contains(t, c.voters(), testLearners[0])
	require.Empty(t, c.leader().confState.GetVotersOutgoing(), "the joint configuration has been left")
	c.propose(2, "after the promotion")

	c.partitioned[lostVoter] = false
	c.run(5 * time.Second)
	require.Equal(t, []uint64{lostVoter}, c.leader().confState.GetLearners(), "the replaced voter is the new learner")
	require.Equal(t, uint64(2), c.nodes[lostVoter].Machine().Number())
	status := c.nodes[lostVoter].Status(c.now)
	for _, member := range status.Members {
		require.Equal(t, member.ID != lostVoter, member.Voter)
	}

	// When a second voter is lost, the new learner replaces it.
	secondLostVoter := c.otherVoter()
	c.partitioned[secondLostVoter] = true
	c.run(DefaultVoterTimeout + 5*time.Second)
	require.NotContains(t, c.voters(), secondLostVoter)
	require.Contains(t, c.voters(), lostVoter)
	c.propose(3, "after the second promotion")
	c.run(time.Second)
	require.Equal(t, uint64(3), c.leader().Machine().Number())
}

func TestLearnerReplacesLostLeader(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	lostVoter := c.leader().options.ID
	c.partitioned[lostVoter] = true
	c.run(DefaultVoterTimeout + 10*time.Second)
	require.NotContains(t, c.voters(), lostVoter)
	require.Contains(t, c.voters(), testLearners[0])
}

func TestLearnerIsNotPromotedWithoutQuorum(t *testing.T) {
	t.Run("learner lost too", func(t *testing.T) {
		c := newCluster(t)
		c.run(5 * time.Second)
		c.partitioned[c.otherVoter()] = true
		c.partitioned[testLearners[0]] = true
		c.run(2 * DefaultVoterTimeout)
		require.ElementsMatch(t, testVoters, c.voters())
	})
	t.Run("other voter silent", func(t *testing.T) {
		c := newCluster(t)
		c.run(5 * time.Second)
		leader := c.leader()
		leader.now = leader.now.Add(DefaultVoterTimeout)
		var other uint64
		for _, id := range testVoters {
			if id != leader.options.ID {
				other = id
			}
		}
		leader.leaderState.resetContacts(leader.now)
		for _, id := range testVoters {
			if id != leader.options.ID && id != other {
				leader.leaderState.lastContactAt[id] = leader.now.Add(-DefaultVoterTimeout)
			}
		}
		_, _, ok := leader.findReplacement()
		require.True(t, ok, "the other voter is recently active")
		leader.leaderState.lastContactAt[other] = leader.now.Add(-2 * time.Second)
		_, _, ok = leader.findReplacement()
		require.False(t, ok, "the other voter is silent")
	})
	t.Run("two voters lost", func(t *testing.T) {
		c := newCluster(t)
		c.run(5 * time.Second)
		leader := c.leader().options.ID
		for _, id := range testVoters {
			c.partitioned[id] = id != leader
		}
		c.run(2 * DefaultVoterTimeout)
		require.Zero(t, c.nodes[leader].leaderState.leaderTerm, "the leader has stepped down")
		require.ElementsMatch(t, testVoters, c.nodes[testLearners[0]].confState.GetVoters())
	})
	t.Run("learner lags", func(t *testing.T) {
		c := newCluster(t)
		c.run(5 * time.Second)
		c.partitioned[c.otherVoter()] = true
		c.drop = func(message *raftpb.Message) bool {
			return message.GetTo() == testLearners[0] && message.GetType() == raftpb.MsgApp
		}
		for request := uint64(1); request <= maxPromotionLag+2; request++ {
			c.propose(request, "document")
		}
		c.run(2 * DefaultVoterTimeout)
		require.ElementsMatch(t, testVoters, c.voters())
	})
}

// TestPausedLeaderDoesNotReplaceVoters pauses all nodes for longer than the voter timeout. The leader must not take the
// pause for the loss of the other members.
func TestPausedLeaderDoesNotReplaceVoters(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	leader := c.leader()
	c.now = c.now.Add(2 * DefaultVoterTimeout) // without a tick of any node
	leader.Tick(c.now)
	_, _, ok := leader.findReplacement()
	require.False(t, ok)
	require.Less(t, leader.sinceContact(c.otherVoter()), time.Second)
}
