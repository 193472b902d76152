package consensus

import (
	"encoding/binary"
	"math"
	"time"

	"go.etcd.io/raft/v3"
)

// Unconfirmed is what Confirmed returns before the first round.
const Unconfirmed time.Duration = math.MaxInt64

// reads are the rounds of ReadIndex of this member. A round asks the leader for its commit index; the leader answers
// once a quorum has acknowledged heartbeats that it sent after the question came in, so that it was leader, and its
// commit index the highest, at some time after the round began. Once this member has applied up to that index, its
// state holds all that was acknowledged to anybody before the round began.
type reads struct {
	waiting      []read  // for the next round
	rounds       []round // open, oldest first
	sequence     uint64  // of the last round
	lastRoundAt  time.Time
	confirmedAt  time.Time // begin of the latest round that is complete
	outcomes     []ReadOutcome
	pendingCount int // reads that wait, in waiting and in rounds
}

type read struct {
	id       uint64
	deadline time.Time
}

type round struct {
	sequence  uint64
	startedAt time.Time
	reads     []read
	answered  bool
	readIndex uint64 // to be applied, where answered
}

// Read asks for the number of the newest revision. It is answered by a ReadOutcome of the same id, by ReadTimeout at
// the latest. It returns ErrBusy where MaxReads are waiting, or the error of a stopped node.
func (n *Node) Read(id uint64) error {
	if n.stopErr != nil {
		return n.stopErr
	}
	if n.reads.pendingCount >= MaxReads {
		return ErrBusy
	}
	n.reads.pendingCount++
	n.reads.waiting = append(n.reads.waiting, read{id: id, deadline: n.now.Add(ReadTimeout)})
	n.startRoundIfDue()
	return nil
}

// ConfirmedAge tells how old the newest revision of this member can be: every revision whose publication was acknowledged
// more than so long ago is applied here. It is the time since the begin of the latest round of ReadIndex that came
// back and up to whose index this member has applied, on a leader as on its followers, and Unconfirmed before the
// first.
//
// Heartbeats alone would not do. A leader that is cut off sends them without a quorum behind it, and the commit index
// in a heartbeat is no higher than what the follower has acknowledged, so that one that lags is told its own index.
// Only this member's clock counts, between two readings of its own; a delay of messages makes the figure larger, never
// too small. It is exact up to the drift of this clock.
func (n *Node) ConfirmedAge(now time.Time) time.Duration {
	if n.reads.confirmedAt.IsZero() {
		return Unconfirmed
	}
	return max(now.Sub(n.reads.confirmedAt), 0)
}

// canServeReads tells whether this member, if it leads, has committed an entry of its term, without which its commit
// index may be behind.
func (n *Node) canServeReads() bool {
	status := n.raw.BasicStatus()
	return status.RaftState != raft.StateLeader || n.appliedTerm == status.GetTerm()
}

// startRoundIfDue begins a round where reads wait and none is open, or where the last began long enough ago.
func (n *Node) startRoundIfDue() {
	due := n.now.Sub(n.reads.lastRoundAt) >= roundIntervalTicks*n.options.TickInterval
	asked := len(n.reads.waiting) > 0 && !n.reads.hasOpenRound()
	if !due && !asked || n.Leader() == raft.None || !n.canServeReads() {
		return
	}
	n.raw.ReadIndex(n.reads.openRound(n.options.Incarnation, n.now))
}

// hasOpenRound tells whether a round waits for its answer.
func (r *reads) hasOpenRound() bool {
	return len(r.rounds) > 0 && !r.rounds[len(r.rounds)-1].answered
}

// openRound opens a round for all reads that wait and returns what names it.
func (r *reads) openRound(incarnation uint64, now time.Time) []byte {
	r.sequence++
	r.lastRoundAt = now
	r.rounds = append(r.rounds, round{sequence: r.sequence, startedAt: now, reads: r.waiting})
	r.waiting = nil
	if len(r.rounds) > maxOpenRounds {
		r.mergeOldestRound()
	}
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, incarnation), r.sequence)
}

// mergeOldestRound lets the reads of the oldest round join the next, whose answer serves them as well.
func (r *reads) mergeOldestRound() {
	next := &r.rounds[1]
	next.reads = append(r.rounds[0].reads, next.reads...)
	r.rounds = r.rounds[1:]
}

// recordAnswer books the answer to a round. The answer to a later round serves the earlier ones too.
func (r *reads) recordAnswer(name []byte, incarnation, index uint64) {
	if len(name) != roundContextBytes || binary.BigEndian.Uint64(name) != incarnation {
		return
	}
	sequence := binary.BigEndian.Uint64(name[8:])
	for i := range r.rounds {
		if r.rounds[i].sequence == sequence && !r.rounds[i].answered {
			r.rounds[i].answered = true
			r.rounds[i].readIndex = index
		}
	}
}

// roundContextBytes is the size of a round's name: incarnation and sequence.
const roundContextBytes = 16

// completeRounds ends the latest round whose index is applied, and all before it.
func (r *reads) completeRounds(applied, newest uint64) {
	for i := len(r.rounds) - 1; i >= 0; i-- {
		if !r.rounds[i].answered || r.rounds[i].readIndex > applied {
			continue
		}
		r.confirmedAt = r.rounds[i].startedAt
		for _, done := range r.rounds[:i+1] {
			for _, read := range done.reads {
				r.finish(ReadOutcome{ID: read.id, Newest: newest})
			}
		}
		r.rounds = append([]round(nil), r.rounds[i+1:]...)
		return
	}
}

func (r *reads) finish(outcome ReadOutcome) {
	r.pendingCount--
	r.outcomes = append(r.outcomes, outcome)
}

func (r *reads) expire(now time.Time) {
	r.waiting = r.expireReads(r.waiting, now)
	for i := range r.rounds {
		r.rounds[i].reads = r.expireReads(r.rounds[i].reads, now)
	}
}

// expireReads ends the reads whose deadline is over. They lie in the order of their deadlines.
func (r *reads) expireReads(reads []read, now time.Time) []read {
	for len(reads) > 0 && !now.Before(reads[0].deadline) {
		r.finish(ReadOutcome{ID: reads[0].id, Err: ErrTimeout})
		reads = reads[1:]
	}
	return reads
}

func (r *reads) hasOutcomes() bool { return len(r.outcomes) > 0 }

func (r *reads) drainOutcomes() []ReadOutcome {
	outcomes := r.outcomes
	r.outcomes = nil
	return outcomes
}
