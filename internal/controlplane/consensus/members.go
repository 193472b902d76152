package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// members is what this member knows of the others while it leads.
type members struct {
	leaderTerm     uint64 // term in which this member leads; 0: it doesn't
	lastContactAt  map[uint64]time.Time
	snapshotSentAt map[uint64]time.Time // when a snapshot was last sent that is not acknowledged
	confChangeAt   time.Time            // when a change of the members was last proposed
	lastReadSent   uint64               // highest position of a read in a heartbeat of this leadership
}

// MemberStatus is one member, as this one sees it.
type MemberStatus struct {
	ID           uint64
	Voter        bool
	SinceContact time.Duration // since it was heard; known on the leader, else Unconfirmed, and 0 of the member itself
}

// Status is what a node knows of the log.
type Status struct {
	Leader  uint64 // 0: none is known
	Term    uint64
	Commit  uint64
	Applied uint64
	Members []MemberStatus // by id
}

// Status returns what the node knows of the log.
func (n *Node) Status(now time.Time) Status {
	basic := n.raw.BasicStatus()
	status := Status{
		Leader: basic.Lead, Term: basic.GetTerm(), Commit: basic.GetCommit(), Applied: n.machine.Applied(),
	}
	for _, id := range n.options.Members {
		member := MemberStatus{ID: id, Voter: isVoter(n.confState, id), SinceContact: Unconfirmed}
		if id == n.options.ID {
			member.SinceContact = 0
		} else if n.members.leaderTerm != 0 {
			member.SinceContact = max(now.Sub(n.members.lastContactAt[id]), 0)
		}
		status.Members = append(status.Members, member)
	}
	slices.SortFunc(status.Members, func(a, b MemberStatus) int { return int(a.ID) - int(b.ID) })
	return status
}

func isVoter(state *raftpb.ConfState, id uint64) bool {
	return slices.Contains(state.GetVoters(), id) || slices.Contains(state.GetVotersOutgoing(), id)
}

func newMembers(ids []uint64, now time.Time) members {
	m := members{lastContactAt: make(map[uint64]time.Time, len(ids)), snapshotSentAt: make(map[uint64]time.Time, len(ids))}
	for _, id := range ids {
		m.lastContactAt[id] = now
	}
	return m
}

func (m *members) recordContact(id uint64, now time.Time) { m.lastContactAt[id] = now }

// recordAllContacts lets every silence begin anew: at the begin of a leadership, and after a pause of this process, in which the
// others may have spoken.
func (m *members) recordAllContacts(now time.Time) {
	for id := range m.lastContactAt {
		m.lastContactAt[id] = now
	}
}

// startLeadership forgets what was known in an earlier leadership. Term 0 ends one.
func (m *members) startLeadership(term uint64, now time.Time) {
	m.leaderTerm = term
	m.lastReadSent = 0
	clear(m.snapshotSentAt)
	m.recordAllContacts(now)
}

// recordSent books the snapshots and the reads in messages that go out.
func (m *members) recordSent(messages []*raftpb.Message, now time.Time) {
	for _, message := range messages {
		switch message.GetType() {
		case raftpb.MsgSnap:
			m.snapshotSentAt[message.GetTo()] = now
		case raftpb.MsgHeartbeat:
			if context := message.GetContext(); len(context) == heartbeatContextBytes {
				m.lastReadSent = max(m.lastReadSent, binary.LittleEndian.Uint64(context))
			}
		}
	}
}

// heartbeatContextBytes is the size of the position of a read in the context of a heartbeat, as raft encodes it.
const heartbeatContextBytes = 8

// maintainMembers does what a leader must while others are silent or lag.
func (n *Node) maintainMembers() {
	if n.members.leaderTerm == 0 {
		return
	}
	n.retrySnapshots()
	if n.now.Sub(n.members.confChangeAt) < confChangeInterval {
		return
	}
	if lost, spare, ok := n.findReplacement(); ok {
		n.proposeReplacement(lost, spare)
	}
}

// retrySnapshots tells raft that a snapshot was lost: it sends nothing else to that member until it hears of it.
func (n *Node) retrySnapshots() {
	for _, id := range n.options.Members {
		sent, found := n.members.snapshotSentAt[id]
		if !found || n.now.Sub(sent) < snapshotTimeout {
			continue
		}
		delete(n.members.snapshotSentAt, id)
		n.raw.ReportSnapshot(id, raft.SnapshotFailure)
	}
}

// findReplacement returns the voter that is lost and the spare that can take its place. There is none while a change is
// under way, while more than one voter is lost, or while any other voter or the spare is not heard: then the majority
// of the old or of the new voters would be in doubt.
func (n *Node) findReplacement() (lost, spare uint64, ok bool) {
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
	spare = state.GetLearners()[0]
	return lost, spare, lost != 0 && n.isRecentlyActive(spare) && n.isCaughtUp(spare)
}

func (n *Node) sinceContact(id uint64) time.Duration { return n.now.Sub(n.members.lastContactAt[id]) }

func (n *Node) isRecentlyActive(id uint64) bool {
	return n.sinceContact(id) < n.options.electionTimeout()
}

func (n *Node) isCaughtUp(id uint64) bool {
	progress, found := n.raw.Status().Progress[id]
	commit := n.raw.BasicStatus().GetCommit()
	return found && progress.State == tracker.StateReplicate && progress.Match+maxPromotionLag >= commit
}

// proposeReplacement proposes the joint change that makes the spare a voter and the lost voter the spare. raft leaves the joint
// configuration by itself once it is applied.
func (n *Node) proposeReplacement(lost, spare uint64) {
	n.members.confChangeAt = n.now
	change := &raftpb.ConfChangeV2{
		Transition: raftpb.ConfChangeTransitionJointImplicit.Enum(),
		Changes: []*raftpb.ConfChangeSingle{
			{Type: raftpb.ConfChangeAddLearnerNode.Enum(), NodeId: new(lost)},
			{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: new(spare)},
		},
	}
	err := n.raw.ProposeConfChange(change)
	n.options.Logger.Warn("voter lost, promoting the spare", "lost", lost, "spare", spare, "error", err)
}

// applyConfChange applies a change of the members, which checkMessage has checked on its way here.
func (n *Node) applyConfChange(entry *raftpb.Entry) {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		panic(fmt.Sprintf("consensus: entry %d: %v", entry.GetIndex(), err))
	}
	n.confState = n.raw.ApplyConfChange(change)
	n.options.Logger.Warn("members changed", "index", entry.GetIndex(), "state", raft.DescribeConfState(n.confState))
}
