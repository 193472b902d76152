package consensus

import (
	"encoding/binary"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// heartbeatContextBytes is the size of a heartbeat's context: the position of the latest pending read, as raft encodes
// it.
const heartbeatContextBytes = 8

// members is what this member tracks of the others while it is the leader.
type members struct {
	leaderTerm     uint64               // term in which this member is the leader; 0: it is not
	lastContactAt  map[uint64]time.Time // by member
	snapshotSentAt map[uint64]time.Time // by member, of the latest unacknowledged snapshot
	confChangeAt   time.Time            // when the latest configuration change was proposed
	lastReadSent   uint64               // highest read position in a heartbeat of this leadership
}

func newMembers(ids []uint64, now time.Time) members {
	m := members{
		lastContactAt:  make(map[uint64]time.Time, len(ids)),
		snapshotSentAt: make(map[uint64]time.Time, len(ids)),
	}
	for _, id := range ids {
		m.lastContactAt[id] = now
	}
	return m
}

// recordContact records a message of a member.
func (m *members) recordContact(id uint64, now time.Time) { m.lastContactAt[id] = now }

// recordAllContacts restarts the contact timeout of every member: at the start of a leadership, and after a pause of
// this process, during which messages of the others may have waited.
func (m *members) recordAllContacts(now time.Time) {
	for id := range m.lastContactAt {
		m.lastContactAt[id] = now
	}
}

// setLeaderTerm sets the term in which this member is the leader, 0 when it no longer is, and resets what belongs to the
// previous leadership.
func (m *members) setLeaderTerm(term uint64, now time.Time) {
	m.leaderTerm = term
	m.lastReadSent = 0
	clear(m.snapshotSentAt)
	m.recordAllContacts(now)
}

// recordSent records the snapshots and the read positions in outgoing messages.
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

// maintainMembers retries lost snapshots and replaces a lost voter. It does nothing unless this member is the leader.
func (n *Node) maintainMembers() {
	if n.members.leaderTerm == 0 {
		return
	}
	n.retrySnapshots()
	if n.now.Sub(n.members.confChangeAt) < confChangeInterval {
		return
	}
	if lost, learner, ok := n.findReplacement(); ok {
		n.proposeReplacement(lost, learner)
	}
}

// retrySnapshots reports unacknowledged snapshots to raft as failed after snapshotTimeout. Until a snapshot is
// acknowledged or reported, raft sends nothing else to that member.
func (n *Node) retrySnapshots() {
	for _, id := range n.options.Members {
		sentAt, found := n.members.snapshotSentAt[id]
		if !found || n.now.Sub(sentAt) < snapshotTimeout {
			continue
		}
		delete(n.members.snapshotSentAt, id)
		n.raw.ReportSnapshot(id, raft.SnapshotFailure)
	}
}

// sinceContact returns the time since the last message of a member.
func (n *Node) sinceContact(id uint64) time.Duration { return n.now.Sub(n.members.lastContactAt[id]) }

// isRecentlyActive reports whether a member was in contact within the election timeout.
func (n *Node) isRecentlyActive(id uint64) bool {
	return n.sinceContact(id) < n.options.electionTimeout()
}
