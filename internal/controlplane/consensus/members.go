package consensus

import (
	"encoding/binary"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// heartbeatContextBytes is the size of a heartbeat's context: raft's encoding of the position of the latest pending
// read.
const heartbeatContextBytes = 8

// leaderState is the state that a member keeps about the other members while it is the leader.
type leaderState struct {
	leaderTerm     uint64               // term in which this member is the leader; 0: it is not the leader
	lastContactAt  map[uint64]time.Time // by member id
	snapshotSentAt map[uint64]time.Time // by member id, of the latest unacknowledged snapshot
	confChangeAt   time.Time            // when the latest configuration change was proposed
	lastReadSent   uint64               // highest read position sent in a heartbeat of this term
}

func newLeaderState(ids []uint64, now time.Time) leaderState {
	l := leaderState{
		lastContactAt:  make(map[uint64]time.Time, len(ids)),
		snapshotSentAt: make(map[uint64]time.Time, len(ids)),
	}
	for _, id := range ids {
		l.lastContactAt[id] = now
	}
	return l
}

// recordContact records that a message from a member was received.
func (l *leaderState) recordContact(id uint64, now time.Time) { l.lastContactAt[id] = now }

// resetContacts restarts the contact timeout of every member. It is called when this member becomes the leader, and after
// a pause of this process, since messages received during the pause may not be processed yet.
func (l *leaderState) resetContacts(now time.Time) {
	for id := range l.lastContactAt {
		l.lastContactAt[id] = now
	}
}

// setLeaderTerm sets the term in which this member is the leader, 0 when it no longer is, and resets the state of the
// previous term.
func (l *leaderState) setLeaderTerm(term uint64, now time.Time) {
	l.leaderTerm = term
	l.lastReadSent = 0
	clear(l.snapshotSentAt)
	l.resetContacts(now)
}

// recordSent records the snapshots and the read positions in outgoing messages.
func (l *leaderState) recordSent(messages []*raftpb.Message, now time.Time) {
	for _, message := range messages {
		switch message.GetType() {
		case raftpb.MsgSnap:
			l.snapshotSentAt[message.GetTo()] = now
		case raftpb.MsgHeartbeat:
			if context := message.GetContext(); len(context) == heartbeatContextBytes {
				l.lastReadSent = max(l.lastReadSent, binary.LittleEndian.Uint64(context))
			}
		}
	}
}

// maintainMembers retries lost snapshots and replaces a lost voter. It does nothing if this member is not the leader.
func (n *Node) maintainMembers() {
	if n.leaderState.leaderTerm == 0 {
		return
	}
	n.retrySnapshots()
	if n.now.Sub(n.leaderState.confChangeAt) < confChangeInterval {
		return
	}
	if lost, learner, ok := n.findReplacement(); ok {
		n.proposeReplacement(lost, learner)
	}
}

// retrySnapshots reports unacknowledged snapshots to raft as failed after snapshotTimeout. Until a snapshot is
// acknowledged or reported as failed, raft sends no entries to that member.
func (n *Node) retrySnapshots() {
	for _, id := range n.options.Members {
		sentAt, found := n.leaderState.snapshotSentAt[id]
		if !found || n.now.Sub(sentAt) < snapshotTimeout {
			continue
		}
		delete(n.leaderState.snapshotSentAt, id)
		n.raw.ReportSnapshot(id, raft.SnapshotFailure)
	}
}

// sinceContact returns the time since the last message from a member.
func (n *Node) sinceContact(id uint64) time.Duration {
	return n.now.Sub(n.leaderState.lastContactAt[id])
}

// isRecentlyActive reports whether a message from a member was received within the election timeout.
func (n *Node) isRecentlyActive(id uint64) bool {
	return n.sinceContact(id) < n.options.electionTimeout()
}
