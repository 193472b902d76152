package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/controlplane/configpb"
)

func TestProposalIsAppliedByAllMembers(t *testing.T) {
	c := newCluster(t)
	c.run(5 * time.Second)
	c.propose(11, "first")
	c.propose(12, "second")
	c.run(time.Second)
	for _, id := range testMembers {
		require.Equal(t, uint64(2), c.nodes[id].Machine().Number(), "member %d", id)
		require.Equal(t, "first", string(c.nodes[id].Machine().Get(1).GetDocument()))
		require.LessOrEqual(t, c.nodes[id].ConfirmedAge(c.now), time.Second)
	}
	outcomes := c.outcomes(c.leader().options.ID)
	require.Len(t, outcomes, 2)
	require.Equal(t, uint64(2), outcomes[1].Result.Number)
}

func TestProposeLimitsPendingProposals(t *testing.T) {
	c := newCluster(t)
	var notLeader *NotLeaderError
	require.ErrorAs(t, c.nodes[1].Propose(&configpb.Command{Request: 1}), &notLeader)
	c.run(5 * time.Second)
	leader := c.leader()
	require.ErrorAs(t, c.nodes[c.otherVoter()].Propose(&configpb.Command{Request: 1}), &notLeader)
	require.Equal(t, leader.options.ID, notLeader.Leader)
	for id := range c.nodes {
		c.partitioned[id] = id != leader.options.ID // without a quorum nothing is committed
	}
	for request := uint64(1); request <= MaxProposals; request++ {
		require.NoError(t, leader.Propose(&configpb.Command{Request: request, Document: []byte("{}")}))
	}
	require.NoError(t, leader.Propose(&configpb.Command{Request: 1, Document: []byte("{}")}), "request 1 is already pending")
	require.ErrorIs(t, leader.Propose(&configpb.Command{Request: 99, Document: []byte("{}")}), ErrTooManyProposals)
	c.run(ProposalTimeout + time.Second)
	outcomes := c.outcomes(leader.options.ID)
	require.Len(t, outcomes, MaxProposals)
	for _, outcome := range outcomes {
		require.ErrorIs(t, outcome.Err, ErrOutcomeUnknown, "the leader lost its quorum and stepped down")
	}
}
