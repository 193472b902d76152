package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// findReplacement returns the voter that has been without contact for Options.VoterTimeout and the learner that can replace
// it. ok is false during a joint configuration, while more than one voter is lost, or while another voter or the learner is
// not recently active, since a quorum of the old or the new configuration might then not be available. ok is also false
// while the learner is not caught up.
func (n *Node) findReplacement() (lost, learner uint64, ok bool) {
	state := n.confState
	if len(state.GetVotersOutgoing()) > 0 || len(state.GetLearners()) != 1 {
		return 0, 0, false
	}
	for _, id := range state.GetVoters() {
		switch {
		case id == n.options.ID || n.isRecentlyActive(id):
		case lost == 0 && n.sinceContact(id) >= n.options.VoterTimeout:
			lost = id
		default:
			return 0, 0, false
		}
	}
	learner = state.GetLearners()[0]
	return lost, learner, lost != 0 && n.isRecentlyActive(learner) && n.isCaughtUp(learner)
}

// isCaughtUp reports whether a member lacks at most maxPromotionLag of the committed entries.
func (n *Node) isCaughtUp(id uint64) bool {
	progress, found := n.raw.Status().Progress[id]
	commit := n.raw.BasicStatus().GetCommit()
	return found && progress.State == tracker.StateReplicate && progress.Match+maxPromotionLag >= commit
}

// proposeReplacement proposes the joint configuration change that makes the learner a voter and the lost voter a
// learner. raft leaves the joint configuration automatically once the change is applied.
func (n *Node) proposeReplacement(lost, learner uint64) {
	n.leaderState.confChangeAt = n.now
	change := &raftpb.ConfChangeV2{
		Transition: raftpb.ConfChangeTransitionJointImplicit.Enum(),
		Changes: []*raftpb.ConfChangeSingle{
			{Type: raftpb.ConfChangeAddLearnerNode.Enum(), NodeId: new(lost)},
			{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: new(learner)},
		},
	}
	err := n.raw.ProposeConfChange(change)
	n.options.Logger.Warn("voter lost, promoting the spare", "lost", lost, "spare", learner, "error", err)
}

// applyConfChange applies a committed configuration change. It panics if the entry cannot be decoded, which checkMessage
// and proposeReplacement prevent.
func (n *Node) applyConfChange(entry *raftpb.Entry) {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		panic(fmt.Sprintf("consensus: decoding the configuration change in entry %d: %v", entry.GetIndex(), err))
	}
	n.confState = n.raw.ApplyConfChange(change)
	n.options.Logger.Warn("members changed", "index", entry.GetIndex(), "state", raft.DescribeConfState(n.confState))
}
