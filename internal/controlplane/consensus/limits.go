package consensus

import (
	"time"

	"mothrouter/internal/controlplane/revision"
)

// Timing. The leader sends a heartbeat every 200 ms; a raft follower that receives none for 1.5 to 3 s starts an election.
// A failed leader thus costs 3 s, which leaves 5 s of the 8 s within which a revision has to be in force at all brokers.
const (
	// DefaultTickInterval is the time between two ticks.
	DefaultTickInterval = 100 * time.Millisecond

	// heartbeatTicks is the number of ticks between two heartbeats of the leader, 200 ms.
	heartbeatTicks = 2

	// electionTicks is the minimum election timeout in ticks, 1.5 s; raft randomizes the timeout up to twice that.
	electionTicks = 15

	// maxTicksPerCall limits how many missed ticks one call of Tick catches up on, so that a member that was paused
	// receives messages before it starts an election.
	maxTicksPerCall = heartbeatTicks

	// readIndexIntervalTicks is the number of ticks between two ReadIndex rounds, 0.5 s. ConfirmedAge is therefore at
	// most 0.5 s plus one round trip while a quorum is available. A round costs 2 messages of about 60 bytes per member.
	readIndexIntervalTicks = 5

	// DefaultVoterTimeout is the time without contact after which the learner replaces a voter. It is longer than a
	// restart of a control machine.
	DefaultVoterTimeout = 60 * time.Second

	// ReadTimeout is the time after which an unconfirmed read fails with ErrTimeout. It allows for one election of 3 s
	// and a ReadIndex round.
	ReadTimeout = 5 * time.Second

	// ProposalTimeout is the time after which a proposal that is not applied fails with ErrTimeout. The proposal may still
	// be applied later.
	ProposalTimeout = 8 * time.Second

	// snapshotTimeout is the time after which an unacknowledged snapshot is sent again, about the transfer time
	// of 17 MiB at 10 Mbit/s.
	snapshotTimeout = 15 * time.Second

	// confChangeInterval is the minimum time between two proposals of a configuration change. It is longer than an
	// election.
	confChangeInterval = 5 * time.Second
)

// Limits.
const (
	// MaxProposals is the maximum number of pending proposals on a leader. At the maximum size they take 64 x 65 KiB =
	// 4.1 MiB.
	MaxProposals = 64

	// MaxReads is the maximum number of pending reads on a member, 24 bytes each.
	MaxReads = 1024

	// maxOpenRounds is the maximum number of open ReadIndex rounds: 16 x 0.5 s = 8 s. Beyond that the reads of the oldest
	// round are moved to the next one.
	maxOpenRounds = 16

	// maxUncommittedBytes bounds the size of a leader's uncommitted entries: MaxProposals entries of the maximum size.
	maxUncommittedBytes = MaxProposals * revision.MaxCommandBytes

	// maxAppendBytes bounds the size of the entries in one append message: 3 entries of the maximum size.
	maxAppendBytes = 3 * revision.MaxCommandBytes

	// maxInflightMessages and maxInflightBytes bound the unacknowledged appends to a member: 64 messages and 4.1 MiB. At
	// a round-trip time of 200 ms that allows 20 MB/s, far more than 2,700 revisions a day need.
	maxInflightMessages = 64
	maxInflightBytes    = maxUncommittedBytes

	// maxApplyBytes bounds the size of the committed entries in one Ready of raft.
	maxApplyBytes = maxUncommittedBytes

	// SnapshotEntries and SnapshotBytes are the number and the size of the entries applied between two snapshots,
	// whichever is reached first. 1,024 entries are 9 h at 2,700 revisions a day; 16 MiB are 258 entries of the maximum
	// size. The entry that crosses the bound is included.
	SnapshotEntries = 1024
	SnapshotBytes   = 16 << 20

	// trailingEntries is the number of entries before a snapshot that stay in the log, so that a slightly lagging member
	// needs no snapshot. 256 entries of the maximum size are 16.25 MiB. The size of the log is at most 16 + 16.25 +
	// 4.1 MiB plus 4.1 MiB for one Ready, in total 40.5 MiB.
	trailingEntries = 256

	// MaxMessageBytes is the maximum size of an encoded message: a snapshot plus 64 KiB for the other fields. The
	// transport must accept messages of this size.
	MaxMessageBytes = revision.MaxSnapshotBytes + 64<<10

	// maxPromotionLag is the maximum number of committed entries that the learner may lack when it is promoted: as many
	// entries as MaxProposals proposals append.
	maxPromotionLag = 64

	// maxMemberID is the largest member id. raft reserves the highest ids for the targets of local messages.
	maxMemberID = 1 << 62

	// maxTerm and maxIndex bound the terms and indexes in messages: raft adds to them without checking for overflow.
	maxTerm  = 1 << 62
	maxIndex = maxTerm
)
