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

// reads are the ReadIndex rounds of this member. A round requests the leader's commit index. The leader responds once a
// quorum has acknowledged heartbeats sent after the request: it was then the leader, with the highest commit index, at
// some time after the round started. Once this member has applied up to that index, its state contains every
// publication acknowledged before the round started.
type reads struct {
	waiting      []read        // for the next round
	rounds       []round       // open, oldest first, at most maxOpenRounds
	sequence     uint64        // of the latest round
	lastRoundAt  time.Time     // when the latest round started
	confirmedAt  time.Time     // when the latest completed round started
	outcomes     []ReadOutcome // for the next Advance
	pendingCount int           // reads in waiting and in rounds, at most MaxReads
}

// read is one pending read.
type read struct {
	id       uint64
	deadline time.Time
}

// round is one ReadIndex request and the reads that its response serves.
type round struct {
	sequence  uint64
	startedAt time.Time
	reads     []read
	answered  bool
	readIndex uint64 // to be applied before the round completes; valid once answered
}

// Read requests the number of the newest revision. Its ReadOutcome of the same id is returned by an Advance within
// ReadTimeout. Its error wraps ErrTooManyReads, or is that of a stopped node.
func (n *Node) Read(id uint64) error {
	if n.stopErr != nil {
		return n.stopErr
	}
	if n.reads.pendingCount >= MaxReads {
		return fmt.Errorf("%w: the limit is %d", ErrTooManyReads, MaxReads)
	}
	n.reads.pendingCount++
	n.reads.waiting = append(n.reads.waiting, read{id: id, deadline: n.now.Add(ReadTimeout)})
	n.startRoundIfDue()
	return nil
}

// ConfirmedAge returns the maximum staleness of this member's newest revision: every revision whose publication was
// acknowledged longer ago is applied here. It is the time since the start of the latest completed ReadIndex round, on a
// leader as on a follower, and Unconfirmed before the first.
//
// Heartbeats alone do not confirm. A partitioned leader sends them without a quorum, and the commit index in a heartbeat
// is at most what the follower has acknowledged, so a lagging follower receives its own index.
// Only this member's clock is used, between two of its readings: a delayed message makes the age larger, never too
// small. It is exact up to the drift of this clock.
func (n *Node) ConfirmedAge(now time.Time) time.Duration {
	if n.reads.confirmedAt.IsZero() {
		return Unconfirmed
	}
	return max(now.Sub(n.reads.confirmedAt), 0)
}

// canServeReads reports whether this member, if it is the leader, has applied an entry of its term. Before that its
// commit index may lag.
func (n *Node) canServeReads() bool {
	status := n.raw.BasicStatus()
	return status.RaftState != raft.StateLeader || n.appliedTerm == status.GetTerm()
}

// startRoundIfDue starts a round if reads wait and no round is open, or if the interval since the latest has passed.
func (n *Node) startRoundIfDue() {
	intervalPassed := n.now.Sub(n.reads.lastRoundAt) >= roundIntervalTicks*n.options.TickInterval
	requested := len(n.reads.waiting) > 0 && !n.reads.awaitsResponse()
	if !intervalPassed && !requested {
		return
	}
	if n.Leader() == raft.None || !n.canServeReads() {
		return
	}
	n.raw.ReadIndex(n.reads.openRound(n.options.Incarnation, n.now))
}

// awaitsResponse reports whether the latest round has no response yet.
func (r *reads) awaitsResponse() bool {
	return len(r.rounds) > 0 && !r.rounds[len(r.rounds)-1].answered
}

// openRound opens a round for all waiting reads and returns its request context.
func (r *reads) openRound(incarnation uint64, now time.Time) []byte {
	r.sequence++
	r.lastRoundAt = now
	r.rounds = append(r.rounds, round{sequence: r.sequence, startedAt: now, reads: r.waiting})
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

// mergeOldestRound moves the reads of the oldest round to the next one, whose response serves them too.
func (r *reads) mergeOldestRound() {
	next := &r.rounds[1]
	next.reads = append(r.rounds[0].reads, next.reads...)
	r.rounds = r.rounds[1:]
}

// recordResponse records the read index of the round with a request context. A response to an earlier incarnation of
// this member is ignored.
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

// completeRounds completes the latest round whose read index is applied, and all rounds before it, which its response
// serves too. newest is the number of the newest applied revision.
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
		r.rounds = append([]round(nil), r.rounds[i+1:]...)
		return
	}
}

// finish records the outcome of a pending read.
func (r *reads) finish(outcome ReadOutcome) {
	r.pendingCount--
	r.outcomes = append(r.outcomes, outcome)
}

// expire ends the reads whose deadline has passed.
func (r *reads) expire(now time.Time) {
	r.waiting = r.expireReads(r.waiting, now)
	for i := range r.rounds {
		r.rounds[i].reads = r.expireReads(r.rounds[i].reads, now)
	}
}

// expireReads ends the reads of a list in the order of their deadlines and returns the rest.
func (r *reads) expireReads(reads []read, now time.Time) []read {
	for len(reads) > 0 && !now.Before(reads[0].deadline) {
		err := fmt.Errorf("%w: read %d not confirmed within %v", ErrTimeout, reads[0].id, ReadTimeout)
		r.finish(ReadOutcome{ID: reads[0].id, Err: err})
		reads = reads[1:]
	}
	return reads
}

func (r *reads) hasOutcomes() bool { return len(r.outcomes) > 0 }

// drainOutcomes returns the outcomes recorded since its last call.
func (r *reads) drainOutcomes() []ReadOutcome {
	outcomes := r.outcomes
	r.outcomes = nil
	return outcomes
}
