package consensus

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"go.etcd.io/raft/v3"
)

// Unconfirmed is the value of ConfirmedAge before the first confirmed read index.
const Unconfirmed time.Duration = math.MaxInt64

// requestContextBytes is the size of a ReadIndex request context: incarnation and sequence, 8 bytes each.
const requestContextBytes = 16

// reads holds the pending reads and ReadIndex rounds of this member. A round requests the leader's commit index. The leader
// responds once a quorum has acknowledged heartbeats sent after the request, which proves that at some time after the
// round started it was the leader and had the highest commit index. Once this member has applied the entries up to that
// index, its state contains every publication acknowledged before the round started.
type reads struct {
	waiting      []pendingRead    // for the next round to start
	rounds       []readIndexRound // open, oldest first, at most maxOpenRounds
	sequence     uint64           // of the latest round
	lastRoundAt  time.Time        // when the latest round started
	confirmedAt  time.Time        // when the latest completed round started
	outcomes     []ReadOutcome    // not yet returned by Advance
	pendingCount int              // reads in waiting and in rounds, at most MaxReads
}

// pendingRead is a read without an outcome.
type pendingRead struct {
	id       uint64
	deadline time.Time
}

// readIndexRound is one ReadIndex request and the reads that its response confirms.
type readIndexRound struct {
	sequence  uint64
	startedAt time.Time
	reads     []pendingRead
	answered  bool
	readIndex uint64 // index that must be applied before the round completes; valid once answered
}

// Read requests the number of the newest revision. An Advance within ReadTimeout returns the ReadOutcome with this id. If
// Read returns an error, there is no outcome. The error wraps ErrTooManyReads, or is that of Err if the node has stopped.
func (n *Node) Read(id uint64) error {
	if n.stopErr != nil {
		return n.stopErr
	}
	if n.reads.pendingCount >= MaxReads {
		return fmt.Errorf("%w: the limit is %d", ErrTooManyReads, MaxReads)
	}
	n.reads.pendingCount++
	n.reads.waiting = append(n.reads.waiting, pendingRead{id: id, deadline: n.now.Add(ReadTimeout)})
	n.startReadIndexIfDue()
	return nil
}

// ConfirmedAge returns the maximum staleness of this member's newest revision: this member has applied every revision
// whose publication was acknowledged longer ago than that. It is the time since the start of the latest completed ReadIndex
// round, on a leader as well as on a raft follower, and Unconfirmed before the first.
//
// Heartbeats alone do not confirm a revision. A partitioned leader sends them without a quorum, and the commit index in a
// heartbeat is at most the index that the raft follower has acknowledged, so a lagging one receives its own index.
//
// The age is the difference between two readings of this member's clock, so a delayed message makes it larger, never too
// small. Its only error is the drift of this clock.
func (n *Node) ConfirmedAge(now time.Time) time.Duration {
	if n.reads.confirmedAt.IsZero() {
		return Unconfirmed
	}
	return max(now.Sub(n.reads.confirmedAt), 0)
}

// canServeReads reports whether this member can start or serve a ReadIndex round. A leader can once it has applied an entry
// of its term; before that its commit index may lag. Any other member can at any time.
func (n *Node) canServeReads() bool {
	status := n.raw.BasicStatus()
	return status.RaftState != raft.StateLeader || n.appliedTerm == status.GetTerm()
}

// startReadIndexIfDue starts a ReadIndex round if reads are waiting and the latest round has its response, or if
// readIndexIntervalTicks have passed since the latest round started.
func (n *Node) startReadIndexIfDue() {
	intervalPassed := n.now.Sub(n.reads.lastRoundAt) >= readIndexIntervalTicks*n.options.TickInterval
	requested := len(n.reads.waiting) > 0 && !n.reads.awaitsResponse()
	if !intervalPassed && !requested {
		return
	}
	if n.Leader() == raft.None || !n.canServeReads() {
		return
	}
	n.raw.ReadIndex(n.reads.openRound(n.options.Incarnation, n.now))
}

// awaitsResponse reports whether the latest round is open and has no response yet.
func (r *reads) awaitsResponse() bool {
	return len(r.rounds) > 0 && !r.rounds[len(r.rounds)-1].answered
}

// openRound opens a round for all waiting reads and returns its request context.
func (r *reads) openRound(incarnation uint64, now time.Time) []byte {
	r.sequence++
	r.lastRoundAt = now
	r.rounds = append(r.rounds, readIndexRound{sequence: r.sequence, startedAt: now, reads: r.waiting})
	r.waiting = nil
	if len(r.rounds) > maxOpenRounds {
		r.mergeOldestRound()
	}
	return encodeRequestContext(incarnation, r.sequence)
}

func encodeRequestContext(incarnation, sequence uint64) []byte {
	context := make([]byte, 0, requestContextBytes)
	context = binary.BigEndian.AppendUint64(context, incarnation)
	return binary.BigEndian.AppendUint64(context, sequence)
}

// mergeOldestRound moves the reads of the oldest round to the next one. That round started later, so its response also
// confirms these reads.
func (r *reads) mergeOldestRound() {
	next := &r.rounds[1]
	next.reads = append(r.rounds[0].reads, next.reads...)
	r.rounds = r.rounds[1:]
}

// recordResponse records the read index of the round that has the request context. It ignores a response to an earlier
// incarnation of this member.
func (r *reads) recordResponse(requestContext []byte, incarnation, readIndex uint64) {
	if len(requestContext) != requestContextBytes || binary.BigEndian.Uint64(requestContext) != incarnation {
		return
	}
	sequence := binary.BigEndian.Uint64(requestContext[8:])
	for i := range r.rounds {
		if r.rounds[i].sequence == sequence && !r.rounds[i].answered {
			r.rounds[i].answered = true
			r.rounds[i].readIndex = readIndex
		}
	}
}

// completeRounds completes the latest round whose read index is applied. It also completes all rounds before that one, since
// the response to a later request confirms their reads too. newest is the number of the newest applied revision.
func (r *reads) completeRounds(applied, newest uint64) {
	for i := len(r.rounds) - 1; i >= 0; i-- {
		if !r.rounds[i].answered || r.rounds[i].readIndex > applied {
			continue
		}
		r.confirmedAt = r.rounds[i].startedAt
		for _, completed := range r.rounds[:i+1] {
			for _, read := range completed.reads {
				r.finish(ReadOutcome{ID: read.id, Newest: newest})
			}
		}
		r.rounds = append([]readIndexRound(nil), r.rounds[i+1:]...)
		return
	}
}

// finish records the outcome of a pending read.
func (r *reads) finish(outcome ReadOutcome) {
	r.pendingCount--
	r.outcomes = append(r.outcomes, outcome)
}

// expire ends the reads whose deadline has passed, with ErrTimeout.
func (r *reads) expire(now time.Time) {
	r.waiting = r.expireReads(r.waiting, now)
	for i := range r.rounds {
		r.rounds[i].reads = r.expireReads(r.rounds[i].reads, now)
	}
}

// expireReads ends the reads in a list whose deadline has passed and returns the rest. The list is in the order of the
// deadlines.
func (r *reads) expireReads(reads []pendingRead, now time.Time) []pendingRead {
	for len(reads) > 0 && !now.Before(reads[0].deadline) {
		err := fmt.Errorf("%w: read %d not confirmed within %v", ErrTimeout, reads[0].id, ReadTimeout)
		r.finish(ReadOutcome{ID: reads[0].id, Err: err})
		reads = reads[1:]
	}
	return reads
}

func (r *reads) hasOutcomes() bool { return len(r.outcomes) > 0 }

// drainOutcomes returns the outcomes recorded since the previous call.
func (r *reads) drainOutcomes() []ReadOutcome {
	outcomes := r.outcomes
	r.outcomes = nil
	return outcomes
}
