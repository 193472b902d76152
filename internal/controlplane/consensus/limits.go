package consensus

import (
	"time"

	"mothrouter/internal/controlplane/revision"
)

// Timing. The leader sends a heartbeat every 200 ms; a follower without one for 1.5 to 3 s campaigns. That leaves 5 s of
// the 8 s within which a revision has to be in force at all brokers.
const (
	// DefaultTickInterval is the time between two ticks.
	DefaultTickInterval = 100 * time.Millisecond

	// heartbeatTicks is the number of ticks between two heartbeats of a leader: 200 ms.
	heartbeatTicks = 2

	// electionTicks is the minimum election timeout in ticks, 1.5 s; raft randomizes it up to twice as much.
	electionTicks = 15

	// maxTicksPerCall is the maximum number of ticks that one call of Tick makes up for. A member that was paused thus
	// receives messages before it campaigns.
	maxTicksPerCall = heartbeatTicks

	// roundIntervalTicks is the number of ticks between two ReadIndex rounds: 0.5 s, so ConfirmedAge is at most 0.5 s
	// and one round trip while a quorum is available. A round costs 2 messages of about 60 bytes per member.
	roundIntervalTicks = 5

	// DefaultVoterTimeout is the time without contact after which the learner replaces a voter: longer than the restart
	// of a machine.
	DefaultVoterTimeout = 60 * time.Second

	// ReadTimeout is the time after which an unanswered read fails with ErrTimeout: time for one election of 3 s and a
	// round.
	ReadTimeout = 5 * time.Second

	// ProposalTimeout is the time after which a proposal that is not applied fails with ErrTimeout. It may still be
	// applied later.
	ProposalTimeout = 8 * time.Second

	// snapshotTimeout is the time after which an unacknowledged snapshot is sent again: 17 MiB at 10 Mbit/s.
	snapshotTimeout = 15 * time.Second

	// confChangeInterval is the minimum time between two proposals of a configuration change: longer than an election.
	confChangeInterval = 5 * time.Second
)

// Limits.
const (
	// MaxProposals is the maximum number of pending proposals at a leader: of the largest, 64 x 65 KiB = 4.1 MiB.
	MaxProposals = 64

	// MaxReads is the maximum number of pending reads at a member, 24 bytes each.
	MaxReads = 1024

	// maxOpenRounds is the maximum number of open ReadIndex rounds: 16 x 0.5 s = 8 s. Beyond that the reads of the oldest
	// round join the next one.
	maxOpenRounds = 16

	// maxUncommittedBytes bounds the uncommitted entries of a leader: MaxProposals of the largest.
	maxUncommittedBytes = MaxProposals * revision.MaxCommandBytes

	// maxAppendBytes bounds the entries of one append message: 3 of the largest.
	maxAppendBytes = 3 * revision.MaxCommandBytes

	// maxInflightMessages and maxInflightBytes bound the unacknowledged appends to a member: 64 messages and 4.1 MiB. At
	// a round trip of 200 ms that is 20 MB/s, far above 2,700 revisions a day.
	maxInflightMessages = 64
	maxInflightBytes    = maxUncommittedBytes

	// maxApplyBytes bounds the committed entries of one Ready.
	maxApplyBytes = maxUncommittedBytes

	// SnapshotEntries and SnapshotBytes are the entries applied between two snapshots, whichever is reached first: 1,024
	// entries are 9 h of 2,700 revisions a day; 16 MiB are 258 of the largest entries. The entry that crosses the bound
	// is included.
	SnapshotEntries = 1024
	SnapshotBytes   = 16 << 20

	// trailingEntries is the number of entries before a snapshot that stay in the log, so that a slightly lagging member
	// needs no snapshot: 256 of the largest are 16.25 MiB. The log is at most 16 + 16.25 + 4.1 MiB and one Ready more,
	// 4.1 MiB, hence 40.5 MiB.
	trailingEntries = 256

	// MaxMessageBytes is the maximum size of an encoded message: a snapshot and 64 KiB for its envelope. A transport has
	// to carry as much.
	MaxMessageBytes = revision.MaxSnapshotBytes + 64<<10

	// maxPromotionLag is the maximum number of committed entries that the learner may lack when it is promoted: one
	// append of MaxProposals.
	maxPromotionLag = 64

	// maxMemberID is the largest id of a member. raft reserves the highest ids for local targets.
	maxMemberID = 1 << 62

	// maxTerm and maxIndex bound the terms and indexes of messages: raft adds to them without a check of overflow.
	maxTerm  = 1 << 62
	maxIndex = maxTerm
)
