package consensus

import (
	"errors"
	"fmt"
)

// Errors of a node. NotLeaderError is another.
var (
	// ErrTooManyProposals is the error of Propose while MaxProposals are pending.
	ErrTooManyProposals = errors.New("consensus: too many pending proposals")
	// ErrTooManyReads is the error of Read while MaxReads are pending.
	ErrTooManyReads = errors.New("consensus: too many pending reads")
	// ErrTimeout is the error of a proposal or read that has no result in time. The proposal may still be applied.
	ErrTimeout = errors.New("consensus: timeout")
	// ErrOutcomeUnknown is the error of a proposal whose leader has lost its leadership. It may be applied or not.
	ErrOutcomeUnknown = errors.New("consensus: leadership lost, the proposal may be applied or not")
	// ErrProposalDropped is the error of Propose for a proposal that raft has not appended.
	ErrProposalDropped = errors.New("consensus: proposal dropped")
	// ErrMalformedMessage is the error of Step and DecodeMessage for a message that no member sends.
	ErrMalformedMessage = errors.New("consensus: malformed message")
	// ErrMissingEntries stops a node whose storage lacks entries that it has acknowledged.
	ErrMissingEntries = errors.New("consensus: the stored log lacks entries that this member has acknowledged")
	// ErrRaftPanic stops a node whose raft has panicked on a message.
	ErrRaftPanic = errors.New("consensus: node stopped, raft panicked on a message")
	// ErrInvalidStorage is the error of New for a storage that is not that of this member.
	ErrInvalidStorage = errors.New("consensus: invalid storage")
	// ErrInvalidOptions is the error of New for its options.
	ErrInvalidOptions = errors.New("consensus: invalid options")
)

// NotLeaderError is the error of Propose at a member that is not the leader.
type NotLeaderError struct {
	Leader uint64 // id of the member to propose to; 0: no leader is known
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "consensus: no leader is known"
	}
	return fmt.Sprintf("consensus: the leader is %d", e.Leader)
}
