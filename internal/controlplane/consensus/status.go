package consensus

import (
	"cmp"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// MemberStatus is the status of one member as observed by this node.
type MemberStatus struct {
	ID    uint64
	Voter bool // is in Voters or VotersOutgoing of the raft configuration

	// SinceContact is the time since the last message from the member. It is 0 for this member itself, and Unconfirmed on
	// a node that is not the leader.
	SinceContact time.Duration
}

// Status is the status of the replicated log as observed by this node.
type Status struct {
	Leader  uint64 // id; 0: no leader is known
	Term    uint64
	Commit  uint64         // index
	Applied uint64         // index
	Members []MemberStatus // by ascending id
}

// Status returns the node's status.
func (n *Node) Status(now time.Time) Status {
	basic := n.raw.BasicStatus()
	status := Status{
		Leader:  basic.Lead,
		Term:    basic.GetTerm(),
		Commit:  basic.GetCommit(),
		Applied: n.machine.Applied(),
	}
	for _, id := range n.options.Members {
		status.Members = append(status.Members, MemberStatus{
			ID:           id,
			Voter:        isVoter(n.confState, id),
			SinceContact: n.contactAge(id, now),
		})
	}
	slices.SortFunc(status.Members, func(a, b MemberStatus) int { return cmp.Compare(a.ID, b.ID) })
	return status
}

// contactAge returns MemberStatus.SinceContact of a member.
func (n *Node) contactAge(id uint64, now time.Time) time.Duration {
	switch {
	case id == n.options.ID:
		return 0
	case n.leaderState.leaderTerm != 0:
		return max(now.Sub(n.leaderState.lastContactAt[id]), 0)
	}
	return Unconfirmed
}

func isVoter(state *raftpb.ConfState, id uint64) bool {
	return slices.Contains(state.GetVoters(), id) || slices.Contains(state.GetVotersOutgoing(), id)
}
