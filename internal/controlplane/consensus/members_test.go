package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"mothrouter/internal/controlplane/configpb"
)

// otherVoter returns a voter that doesn't lead.
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

func TestLearnerReplacesLostVoter(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	c.propose(1, "before")
	lost := c.otherVoter()
	c.partitioned[lost] = true
	c.run(DefaultVoterTimeout - 5*time.Second)
	require.ElementsMatch(t, testVoters, c.voters(), "not before it counts as lost")
	c.run(10 * time.Second)
	require.NotContains(t, c.voters(), lost)
	require.Contains(t, c.voters(), testLearners[0])
	require.Empty(t, c.leader().confState.GetVotersOutgoing(), "the joint configuration is left")
	c.propose(2, "without it")

	c.partitioned[lost] = false
	c.run(5 * time.Second)
	require.Equal(t, []uint64{lost}, c.leader().confState.GetLearners(), "it is the new spare")
	require.Equal(t, uint64(2), c.nodes[lost].Machine().Number())
	status := c.nodes[lost].Status(c.now)
	for _, member := range status.Members {
		require.Equal(t, member.ID != lost, member.Voter)
	}

	// Another voter is lost, and the new spare takes its place in turn.
	secondLost := c.otherVoter()
	c.partitioned[secondLost] = true
	c.run(DefaultVoterTimeout + 5*time.Second)
	require.NotContains(t, c.voters(), secondLost)
	require.Contains(t, c.voters(), lost)
	c.propose(3, "with the returned")
	c.run(time.Second)
	require.Equal(t, uint64(3), c.leader().Machine().Number())
}

func TestLearnerReplacesLostLeader(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	lost := c.leader().options.ID
	c.partitioned[lost] = true
	c.run(DefaultVoterTimeout + 10*time.Second)
	require.NotContains(t, c.voters(), lost)
	require.Contains(t, c.voters(), testLearners[0])
}

func TestLearnerIsNotPromotedWithoutQuorum(t *testing.T) {
	t.Run("spare lost too", func(t *testing.T) {
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
		leader.members.recordAllContacts(leader.now)
		for _, id := range testVoters {
			if id != leader.options.ID && id != other {
				leader.members.lastContactAt[id] = leader.now.Add(-DefaultVoterTimeout)
			}
		}
		_, _, ok := leader.findReplacement()
		require.True(t, ok, "the other is heard")
		leader.members.lastContactAt[other] = leader.now.Add(-2 * time.Second)
		_, _, ok = leader.findReplacement()
		require.False(t, ok, "the other is silent")
	})
	t.Run("two voters lost", func(t *testing.T) {
		c := newCluster(t)
		c.run(5 * time.Second)
		leader := c.leader().options.ID
		for _, id := range testVoters {
			c.partitioned[id] = id != leader
		}
		c.run(2 * DefaultVoterTimeout)
		require.Zero(t, c.nodes[leader].members.leaderTerm, "it has stepped down")
		require.ElementsMatch(t, testVoters, c.nodes[testLearners[0]].confState.GetVoters())
	})
	t.Run("spare lags", func(t *testing.T) {
		c := newCluster(t)
		c.run(5 * time.Second)
		c.partitioned[c.otherVoter()] = true
		c.drop = func(message *raftpb.Message) bool {
			return message.GetTo() == testLearners[0] && message.GetType() == raftpb.MsgApp
		}
		for request := uint64(1); request <= maxPromotionLag+2; request++ {
			c.propose(request, "one more")
		}
		c.run(2 * DefaultVoterTimeout)
		require.ElementsMatch(t, testVoters, c.voters())
	})
}

func TestPausedLeaderReplacesNoVoter(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	leader := c.leader()
	c.now = c.now.Add(2 * DefaultVoterTimeout) // nobody ran
	leader.Tick(c.now)
	_, _, ok := leader.findReplacement()
	require.False(t, ok)
	require.Less(t, leader.sinceContact(c.otherVoter()), time.Second)
}

func TestConfirmedAgeGrowsOnLaggingFollower(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	follower := c.otherVoter()
	require.Less(t, c.nodes[follower].ConfirmedAge(c.now), time.Second)
	c.drop = func(message *raftpb.Message) bool {
		return message.GetTo() == follower && message.GetType() == raftpb.MsgApp
	}
	c.propose(1, "unseen")
	published := c.now
	c.run(10 * time.Second)
	require.Zero(t, c.nodes[follower].Machine().Number(), "heartbeats still come")
	require.Equal(t, c.leader().options.ID, c.nodes[follower].Leader())
	require.GreaterOrEqual(t, c.nodes[follower].ConfirmedAge(c.now), c.now.Sub(published))
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

func TestLostSnapshotIsRetried(t *testing.T) {
	c := newCluster(t)
	for _, id := range testMembers {
		c.nodes[id].options.snapshotEntries, c.nodes[id].options.trailingEntries = 10, 2
	}
	c.run(5 * time.Second)
	behind := c.otherVoter()
	c.partitioned[behind] = true
	for request := uint64(1); request <= 30; request++ {
		c.propose(request, "one more")
	}
	c.partitioned[behind] = false
	lost := 0
	c.drop = func(message *raftpb.Message) bool {
		if message.GetType() == raftpb.MsgSnap && lost == 0 {
			lost++
			return true
		}
		return false
	}
	c.run(snapshotTimeout / 2)
	require.Equal(t, 1, lost)
	require.Zero(t, c.nodes[behind].Machine().Number())
	c.run(snapshotTimeout)
	require.Equal(t, uint64(30), c.nodes[behind].Machine().Number())
}

func TestProposeLimitsPendingProposals(t *testing.T) {
	c := newCluster(t)
	var elsewhere *NotLeaderError
	require.ErrorAs(t, c.nodes[1].Propose(&configpb.Command{Request: 1}), &elsewhere)
	c.run(5 * time.Second)
	leader := c.leader()
	require.ErrorAs(t, c.nodes[c.otherVoter()].Propose(&configpb.Command{Request: 1}), &elsewhere)
	require.Equal(t, leader.options.ID, elsewhere.Leader)
	for id := range c.nodes {
		c.partitioned[id] = id != leader.options.ID // nothing commits
	}
	for request := uint64(1); request <= MaxProposals; request++ {
		require.NoError(t, leader.Propose(&configpb.Command{Request: request, Document: []byte("{}")}))
	}
	require.NoError(t, leader.Propose(&configpb.Command{Request: 1, Document: []byte("{}")}), "it waits already")
	require.ErrorIs(t, leader.Propose(&configpb.Command{Request: 99, Document: []byte("{}")}), ErrTooManyProposals)
	c.run(ProposalTimeout + time.Second)
	outcomes := c.outcomes(leader.options.ID)
	require.Len(t, outcomes, MaxProposals)
	for _, outcome := range outcomes {
		require.ErrorIs(t, outcome.Err, ErrOutcomeUnknown, "it has lost its quorum")
	}
}

func TestReadLimitsPendingReads(t *testing.T) {
	c := newCluster(t)
	for id := range uint64(MaxReads) {
		require.NoError(t, c.nodes[2].Read(id))
	}
	require.ErrorIs(t, c.nodes[2].Read(MaxReads), ErrTooManyReads)
	c.partitioned[2] = true
	c.run(ReadTimeout + time.Second)
	var ended int
	for _, applied := range c.applied[2] {
		for _, outcome := range applied.Reads {
			require.ErrorIs(t, outcome.Err, ErrTimeout)
			ended++
		}
	}
	require.Equal(t, MaxReads, ended)
	require.NoError(t, c.nodes[2].Read(1))
}

func TestNewReplaysCommittedEntries(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	for request := uint64(1); request <= 20; request++ {
		c.propose(request, "document")
	}
	c.run(time.Second)
	for _, id := range testMembers {
		applied := c.nodes[id].Machine().Applied()
		c.start(id)
		require.Equal(t, applied, c.nodes[id].Machine().Applied())
	}
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
		Term: new(c.leader().members.leaderTerm), Commit: new(c.leader().Machine().Applied()),
	})
	require.ErrorIs(t, err, ErrMissingEntries)
	require.ErrorIs(t, c.nodes[lost].Err(), ErrMissingEntries)
	require.Nil(t, c.nodes[lost].Ready())
}

// TestReadResponseToEarlierIncarnationIsIgnored keeps back the answer to a read until its member has started anew and asks
// again: that answer is older than the new question.
func TestReadResponseToEarlierIncarnationIsIgnored(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	follower := c.otherVoter()
	var delayed []*raftpb.Message
	c.drop = func(message *raftpb.Message) bool {
		answer := message.GetTo() == follower && message.GetType() == raftpb.MsgReadIndexResp
		if answer {
			delayed = append(delayed, message)
		}
		return answer
	}
	c.start(follower)
	c.run(5 * time.Second)
	require.NotEmpty(t, delayed)
	c.start(follower)
	c.run(5 * time.Second)
	require.NotEmpty(t, c.nodes[follower].reads.rounds, "it has asked again")
	old := delayed[:1]
	for _, message := range old {
		require.NoError(t, c.nodes[follower].Step(message))
	}
	c.deliverAll()
	require.Equal(t, Unconfirmed, c.nodes[follower].ConfirmedAge(c.now))
	require.NoError(t, c.nodes[follower].Step(delayed[len(delayed)-1]))
	c.deliverAll()
	require.Less(t, c.nodes[follower].ConfirmedAge(c.now), time.Second, "the answer to its own last question does")
}
