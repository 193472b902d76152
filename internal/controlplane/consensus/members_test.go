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
func (g *group) otherVoter() uint64 {
	g.t.Helper()
	leader := g.leader()
	for _, id := range leader.confState.GetVoters() {
		if id != leader.options.ID {
			return id
		}
	}
	g.t.Fatal("no other voter")
	return 0
}

func (g *group) voters() []uint64 { return g.leader().confState.GetVoters() }

func TestSpareTakesThePlaceOfALostVoter(t *testing.T) {
	g := newGroup(t)
	g.run(5 * time.Second)
	g.publish(1, "before")
	lost := g.otherVoter()
	g.cut[lost] = true
	g.run(DefaultVoterTimeout - 5*time.Second)
	require.ElementsMatch(t, testVoters, g.voters(), "not before it counts as lost")
	g.run(10 * time.Second)
	require.NotContains(t, g.voters(), lost)
	require.Contains(t, g.voters(), testSpares[0])
	require.Empty(t, g.leader().confState.GetVotersOutgoing(), "the joint configuration is left")
	g.publish(2, "without it")

	g.cut[lost] = false
	g.run(5 * time.Second)
	require.Equal(t, []uint64{lost}, g.leader().confState.GetLearners(), "it is the new spare")
	require.Equal(t, uint64(2), g.nodes[lost].Machine().Number())
	status := g.nodes[lost].Status(g.now)
	for _, member := range status.Members {
		require.Equal(t, member.ID != lost, member.Voter)
	}

	// Another voter is lost, and the new spare takes its place in turn.
	second := g.otherVoter()
	g.cut[second] = true
	g.run(DefaultVoterTimeout + 5*time.Second)
	require.NotContains(t, g.voters(), second)
	require.Contains(t, g.voters(), lost)
	g.publish(3, "with the returned")
	g.run(time.Second)
	require.Equal(t, uint64(3), g.leader().Machine().Number())
}

func TestLostLeaderIsReplacedToo(t *testing.T) {
	g := newGroup(t)
	g.run(5 * time.Second)
	lost := g.leader().options.ID
	g.cut[lost] = true
	g.run(DefaultVoterTimeout + 10*time.Second)
	require.NotContains(t, g.voters(), lost)
	require.Contains(t, g.voters(), testSpares[0])
}

func TestSpareStaysWhileTheQuorumIsInDoubt(t *testing.T) {
	t.Run("spare lost too", func(t *testing.T) {
		g := newGroup(t)
		g.run(5 * time.Second)
		g.cut[g.otherVoter()] = true
		g.cut[testSpares[0]] = true
		g.run(2 * DefaultVoterTimeout)
		require.ElementsMatch(t, testVoters, g.voters())
	})
	t.Run("other voter silent", func(t *testing.T) {
		g := newGroup(t)
		g.run(5 * time.Second)
		leader := g.leader()
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
		g := newGroup(t)
		g.run(5 * time.Second)
		leader := g.leader().options.ID
		for _, id := range testVoters {
			g.cut[id] = id != leader
		}
		g.run(2 * DefaultVoterTimeout)
		require.Zero(t, g.nodes[leader].members.leaderTerm, "it has stepped down")
		require.ElementsMatch(t, testVoters, g.nodes[testSpares[0]].confState.GetVoters())
	})
	t.Run("spare lags", func(t *testing.T) {
		g := newGroup(t)
		g.run(5 * time.Second)
		g.cut[g.otherVoter()] = true
		g.lose = func(message *raftpb.Message) bool {
			return message.GetTo() == testSpares[0] && message.GetType() == raftpb.MsgApp
		}
		for request := uint64(1); request <= maxPromotionLag+2; request++ {
			g.publish(request, "one more")
		}
		g.run(2 * DefaultVoterTimeout)
		require.ElementsMatch(t, testVoters, g.voters())
	})
}

func TestPausedLeaderReplacesNobody(t *testing.T) {
	g := newGroup(t)
	g.run(5 * time.Second)
	leader := g.leader()
	g.now = g.now.Add(2 * DefaultVoterTimeout) // nobody ran
	leader.Tick(g.now)
	_, _, ok := leader.findReplacement()
	require.False(t, ok)
	require.Less(t, leader.sinceContact(g.otherVoter()), time.Second)
}

func TestLaggingFollowerIsNotConfirmed(t *testing.T) {
	g := newGroup(t)
	g.run(5 * time.Second)
	follower := g.otherVoter()
	require.Less(t, g.nodes[follower].ConfirmedAge(g.now), time.Second)
	g.lose = func(message *raftpb.Message) bool {
		return message.GetTo() == follower && message.GetType() == raftpb.MsgApp
	}
	g.publish(1, "unseen")
	published := g.now
	g.run(10 * time.Second)
	require.Zero(t, g.nodes[follower].Machine().Number(), "heartbeats still come")
	require.Equal(t, g.leader().options.ID, g.nodes[follower].Leader())
	require.GreaterOrEqual(t, g.nodes[follower].ConfirmedAge(g.now), g.now.Sub(published))
	g.lose = nil
	g.run(time.Second)
	require.Less(t, g.nodes[follower].ConfirmedAge(g.now), time.Second)
}

func TestLeaderWithoutQuorumIsNotConfirmed(t *testing.T) {
	g := newGroup(t)
	g.run(5 * time.Second)
	leader := g.leader().options.ID
	g.cut[leader] = true
	g.run(10 * time.Second)
	require.GreaterOrEqual(t, g.nodes[leader].ConfirmedAge(g.now), 9*time.Second)
	require.Less(t, g.leader().ConfirmedAge(g.now), time.Second)
}

func TestNewNodeIsUnconfirmed(t *testing.T) {
	g := newGroup(t)
	require.Equal(t, Unconfirmed, g.nodes[1].ConfirmedAge(g.now))
}

func TestLostSnapshotIsSentAgain(t *testing.T) {
	g := newGroup(t)
	for _, id := range testMembers {
		g.nodes[id].options.snapshotEntries, g.nodes[id].options.trailingEntries = 10, 2
	}
	g.run(5 * time.Second)
	behind := g.otherVoter()
	g.cut[behind] = true
	for request := uint64(1); request <= 30; request++ {
		g.publish(request, "one more")
	}
	g.cut[behind] = false
	lost := 0
	g.lose = func(message *raftpb.Message) bool {
		if message.GetType() == raftpb.MsgSnap && lost == 0 {
			lost++
			return true
		}
		return false
	}
	g.run(snapshotTimeout / 2)
	require.Equal(t, 1, lost)
	require.Zero(t, g.nodes[behind].Machine().Number())
	g.run(snapshotTimeout)
	require.Equal(t, uint64(30), g.nodes[behind].Machine().Number())
}

func TestProposalsAreBoundedAndAnswered(t *testing.T) {
	g := newGroup(t)
	var elsewhere *NotLeaderError
	require.ErrorAs(t, g.nodes[1].Propose(&configpb.Command{Request: 1}), &elsewhere)
	g.run(5 * time.Second)
	leader := g.leader()
	require.ErrorAs(t, g.nodes[g.otherVoter()].Propose(&configpb.Command{Request: 1}), &elsewhere)
	require.Equal(t, leader.options.ID, elsewhere.Leader)
	for id := range g.nodes {
		g.cut[id] = id != leader.options.ID // nothing commits
	}
	for request := uint64(1); request <= MaxProposals; request++ {
		require.NoError(t, leader.Propose(&configpb.Command{Request: request, Document: []byte("{}")}))
	}
	require.NoError(t, leader.Propose(&configpb.Command{Request: 1, Document: []byte("{}")}), "it waits already")
	require.ErrorIs(t, leader.Propose(&configpb.Command{Request: 99, Document: []byte("{}")}), ErrTooManyProposals)
	g.run(ProposalTimeout + time.Second)
	outcomes := g.outcomes(leader.options.ID)
	require.Len(t, outcomes, MaxProposals)
	for _, outcome := range outcomes {
		require.ErrorIs(t, outcome.Err, ErrOutcomeUnknown, "it has lost its quorum")
	}
}

func TestReadsAreBoundedAndEnd(t *testing.T) {
	g := newGroup(t)
	for id := range uint64(MaxReads) {
		require.NoError(t, g.nodes[2].Read(id))
	}
	require.ErrorIs(t, g.nodes[2].Read(MaxReads), ErrTooManyReads)
	g.cut[2] = true
	g.run(ReadTimeout + time.Second)
	var ended int
	for _, applied := range g.applied[2] {
		for _, outcome := range applied.Reads {
			require.ErrorIs(t, outcome.Err, ErrTimeout)
			ended++
		}
	}
	require.Equal(t, MaxReads, ended)
	require.NoError(t, g.nodes[2].Read(1))
}

func TestRestartedNodeHasAllThatWasCommitted(t *testing.T) {
	g := newGroup(t)
	g.run(5 * time.Second)
	for request := uint64(1); request <= 20; request++ {
		g.publish(request, "document")
	}
	g.run(time.Second)
	for _, id := range testMembers {
		applied := g.nodes[id].Machine().Applied()
		g.start(id)
		require.Equal(t, applied, g.nodes[id].Machine().Applied())
	}
}

func TestMemberThatLostItsLogStops(t *testing.T) {
	g := newGroup(t)
	g.run(5 * time.Second)
	g.publish(1, "kept elsewhere")
	g.run(time.Second)
	lost := g.otherVoter()
	g.disks[lost] = raft.NewMemoryStorage()
	require.NoError(t, g.disks[lost].ApplySnapshot(BootstrapSnapshot(testVoters, testSpares)))
	require.NoError(t, g.disks[lost].SetHardState(&raftpb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}))
	g.start(lost)
	err := g.nodes[lost].Step(&raftpb.Message{
		Type: raftpb.MsgHeartbeat.Enum(), From: new(g.leader().options.ID), To: new(lost),
		Term: new(g.leader().members.leaderTerm), Commit: new(g.leader().Machine().Applied()),
	})
	require.ErrorIs(t, err, ErrMissingEntries)
	require.ErrorIs(t, g.nodes[lost].Err(), ErrMissingEntries)
	require.Nil(t, g.nodes[lost].Ready())
}

// TestAnswerToAnEarlierRunConfirmsNothing keeps back the answer to a read until its member has started anew and asks
// again: that answer is older than the new question.
func TestAnswerToAnEarlierRunConfirmsNothing(t *testing.T) {
	g := newGroup(t)
	g.run(5 * time.Second)
	follower := g.otherVoter()
	var kept []*raftpb.Message
	g.lose = func(message *raftpb.Message) bool {
		answer := message.GetTo() == follower && message.GetType() == raftpb.MsgReadIndexResp
		if answer {
			kept = append(kept, message)
		}
		return answer
	}
	g.start(follower)
	g.run(5 * time.Second)
	require.NotEmpty(t, kept)
	g.start(follower)
	g.run(5 * time.Second)
	require.NotEmpty(t, g.nodes[follower].reads.rounds, "it has asked again")
	old := kept[:1]
	for _, message := range old {
		require.NoError(t, g.nodes[follower].Step(message))
	}
	g.settle()
	require.Equal(t, Unconfirmed, g.nodes[follower].ConfirmedAge(g.now))
	require.NoError(t, g.nodes[follower].Step(kept[len(kept)-1]))
	g.settle()
	require.Less(t, g.nodes[follower].ConfirmedAge(g.now), time.Second, "the answer to its own last question does")
}
