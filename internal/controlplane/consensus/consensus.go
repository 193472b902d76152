// Package consensus is one member of the replicated log of the control machines: raft, by go.etcd.io/raft/v3, with the
// state machine of internal/controlplane/revision on top. It does no I/O, starts no goroutine and reads no clock: a driver hands in
// the time and the messages of the others, stores and sends what Ready tells, and calls Advance:
//
//	node.Tick(now)                       // every Options.TickInterval
//	err := node.Step(message)            // for each message received
//	for ready := node.Ready(); ready != nil; ready = node.Ready() {
//		log.Save(ready.HardState, ready.Entries, ready.Snapshot)   // synced; stop the node where it fails
//		log.Compact(ready.Compaction.Snapshot, ready.Compaction.First)  // where there is one
//		send(ready.Messages)                // only now; loss, doubling and reordering are fine
//		applied := node.Advance()           // what was published and read: answer the callers
//	}
//
// # Members
//
// Three voters in three regions decide by majority; a fourth member is the spare, a learner. Where a voter was silent
// for Options.LostAfter, the leader puts the spare in its place by one joint change of the configuration, and the lost
// one is the new spare from then on. It does so only while all others are heard, so that both the old and the new
// majority are at hand.
//
// # Reads and staleness
//
// Reads are linearizable by ReadIndex with a round of heartbeats (raft.ReadOnlySafe) on any member; leases, which rest
// on clocks, are not used. Confirmed tells how old the last such round is, see there.
//
// # Clocks
//
// Safety doesn't depend on clocks. Liveness does: the clocks of the members should run at the same speed within a few
// percent, so that heartbeats come within the election timeout. Times must come from a clock that doesn't go back
// (time.Now of one process); a time before an earlier one counts as that one.
//
// A Node is not safe for concurrent use.
package consensus

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"mothrouter/internal/controlplane/revision"
)

// Timing. A heartbeat goes every 200 ms; a follower that heard none for 1.5 to 3 s asks for an election. That leaves
// 5 s of the 8 s within which a change must be in force everywhere.
const (
	// DefaultTickInterval is the time between two ticks.
	DefaultTickInterval = 100 * time.Millisecond

	heartbeatTicks = 2
	electionTicks  = 15

	// maxTicksPerCall is how many ticks a late Tick makes up for. A member that was paused listens before it asks for
	// an election.
	maxTicksPerCall = heartbeatTicks

	// roundIntervalTicks is the time between two rounds of ReadIndex, 0.5 s: what Confirmed tells is 0.5 s and one round at
	// most while all is well. A round costs 2 messages of about 60 bytes a member.
	roundIntervalTicks = 5

	// DefaultVoterTimeout is how long a voter is silent before the spare takes its place.
	DefaultVoterTimeout = 60 * time.Second

	// ReadTimeout is when a read without an answer ends with ErrTimeout.
	ReadTimeout = 5 * time.Second

	// ProposalTimeout is when a proposal that isn't applied ends with ErrTimeout. It may be applied later.
	ProposalTimeout = 8 * time.Second

	// snapshotTimeout is when a snapshot that a member hasn't acknowledged is sent again: 17 MiB at 10 Mbit/s.
	snapshotTimeout = 15 * time.Second

	// confChangeInterval is the least time between two attempts to change the members.
	confChangeInterval = 5 * time.Second
)

// Limits.
const (
	// MaxProposals is how many proposals wait at a leader: of the largest, 64 x 65 KiB = 4.1 MiB.
	MaxProposals = 64

	// MaxReads is how many reads wait at a member, 24 bytes each.
	MaxReads = 1024

	// maxOpenRounds is how many rounds of ReadIndex are open: 16 x 0.5 s = 8 s. Beyond that the oldest joins the next.
	maxOpenRounds = 16

	// maxUncommittedBytes bounds the entries of a leader that are not committed, like MaxProposals.
	maxUncommittedBytes = MaxProposals * revision.MaxCommandBytes

	// maxAppendBytes bounds the entries of one message: 3 of the largest, or one where it is larger.
	maxAppendBytes = 3 * revision.MaxCommandBytes

	// maxInflightMessages and maxInflightBytes bound what is sent to a member without an acknowledgement: 64 messages
	// and 4.1 MiB. At 200 ms of round trip that is 20 MB/s, for 2,700 changes a day.
	maxInflightMessages = 64
	maxInflightBytes    = maxUncommittedBytes

	// maxApplyBytes bounds the entries that one Ready hands to the state machine.
	maxApplyBytes = maxUncommittedBytes

	// SnapshotEntries and SnapshotBytes are what is applied before the next snapshot is made, whichever comes first:
	// 1,024 entries are 9 h of 2,700 changes a day; 16 MiB are 258 of the largest. The entry that crosses the bound
	// is within.
	SnapshotEntries = 1024
	SnapshotBytes   = 16 << 20

	// trailingEntries is how many entries before a snapshot stay in the log, so that a member that is a little behind
	// needs no snapshot: 256 of the largest are 16.25 MiB. The log holds 16 + 16.25 + 4.1 MiB and one Ready more,
	// 4.1 MiB, hence 40.5 MiB at most.
	trailingEntries = 256

	// MaxMessageBytes is the size of the largest encoded message: a snapshot and 64 KiB for what surrounds it. A
	// transport must take as much.
	MaxMessageBytes = revision.MaxSnapshotBytes + 64<<10

	// maxPromotionLag is how many entries the spare may be behind and still take the place of a voter.
	maxPromotionLag = 64
)

// Errors of a node. NotLeaderError is another.
var (
	ErrBusy             = errors.New("consensus: too much is waiting")
	ErrTimeout          = errors.New("consensus: no answer in time")
	ErrOutcomeUnknown   = errors.New("consensus: leadership lost, the proposal may be applied or not")
	ErrProposalDropped  = errors.New("consensus: proposal dropped")
	ErrMalformedMessage = errors.New("consensus: malformed message")
	ErrMissingEntries   = errors.New("consensus: the stored log lacks entries that this member has acknowledged")
	ErrRaftPanic        = errors.New("consensus: node stopped on a message it cannot take")
	ErrInvalidStorage   = errors.New("consensus: storage is not that of this member")
	ErrInvalidOptions   = errors.New("consensus: invalid options")
)

// NotLeaderError tells that a proposal must go to another member.
type NotLeaderError struct {
	Leader uint64 // 0: none is known
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "consensus: no leader is known"
	}
	return fmt.Sprintf("consensus: the leader is %d", e.Leader)
}

// Options of a node.
type Options struct {
	ID      uint64   // of this member, not 0
	Members []uint64 // ids of all members, this one among them

	// Incarnation tells this run of the member from earlier ones, whose answers may still be on their way. The time
	// of the start in nanoseconds will do.
	Incarnation uint64

	TickInterval time.Duration // 0: DefaultTickInterval
	VoterTimeout time.Duration // 0: DefaultLostAfter
	Logger       *slog.Logger  // nil: none

	// Smaller in tests: 0 stands for SnapshotEntries and trailingEntries.
	snapshotEntries int
	trailingEntries int
}

func (o Options) withDefaults() (Options, error) {
	if o.TickInterval == 0 {
		o.TickInterval = DefaultTickInterval
	}
	if o.VoterTimeout == 0 {
		o.VoterTimeout = DefaultVoterTimeout
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.snapshotEntries == 0 {
		o.snapshotEntries, o.trailingEntries = SnapshotEntries, trailingEntries
	}
	known := make(map[uint64]bool, len(o.Members))
	for _, id := range o.Members {
		if id == 0 || known[id] || id > maxID {
			return o, fmt.Errorf("%w: member %d", ErrInvalidOptions, id)
		}
		known[id] = true
	}
	switch {
	case !known[o.ID]:
		return o, fmt.Errorf("%w: member %d is not among the members", ErrInvalidOptions, o.ID)
	case o.TickInterval < 0:
		return o, fmt.Errorf("%w: tick interval %v", ErrInvalidOptions, o.TickInterval)
	case o.VoterTimeout < o.electionTimeout():
		return o, fmt.Errorf("%w: a voter is lost after %v, less than the election timeout", ErrInvalidOptions, o.VoterTimeout)
	}
	return o, nil
}

// maxID is the largest id of a member. raft keeps the highest ones for itself.
const maxID = 1 << 62

func (o Options) electionTimeout() time.Duration { return electionTicks * o.TickInterval }

// The start of every log: one entry, of term 1, that all members have.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// BootstrapSnapshot returns what the log of each member starts with: no revision, these voters and this spare (learner).
func BootstrapSnapshot(voters, learners []uint64) *raftpb.Snapshot {
	machine := revision.NewMachine()
	machine.Skip(bootstrapIndex)
	return &raftpb.Snapshot{
		Data: machine.Snapshot(),
		Metadata: &raftpb.SnapshotMetadata{
			Index:     new(uint64(bootstrapIndex)),
			Term:      new(uint64(bootstrapTerm)),
			ConfState: raftpb.EnsureConfState(&raftpb.ConfState{Voters: voters, Learners: learners}),
		},
	}
}
