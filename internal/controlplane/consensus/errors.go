package consensus

import (
	"errors"
	"fmt"
)

// Errors that a Node returns, in addition to NotLeaderError.
var (
	// ErrTooManyProposals is returned by Propose while MaxProposals proposals are pending.
	ErrTooManyProposals = errors.New("consensus: too many pending proposals")
	// ErrTooManyReads is returned by Read while MaxReads reads are pending.
	ErrTooManyReads = errors.New("consensus: too many pending reads")
	// ErrTimeout is the outcome of a proposal or read that has no result before its deadline. The proposal may still be
	// applied.
	ErrTimeout = errors.New("consensus: timeout")
	// ErrOutcomeUnknown is the outcome of a proposal whose leader lost the leadership. It may or may not be applied.
	ErrOutcomeUnknown = errors.New("consensus: leadership lost, the proposal may or may not be applied")
	// ErrProposalDropped is returned by Propose if raft did not append the proposal.
	ErrProposalDropped = errors.New("consensus: proposal dropped")
	// ErrMalformedMessage is returned by Step and DecodeMessage for a message that a correct member never sends.
	ErrMalformedMessage = errors.New("consensus: malformed message")
	// ErrMissingEntries stops a node whose storage lacks entries that it has acknowledged.
	ErrMissingEntries = errors.New("consensus: the stored log lacks entries that this member has acknowledged")
	// ErrRaftPanic stops a node after raft panicked on a message.
	ErrRaftPanic = errors.New("consensus: node stopped, raft panicked on a message")
	// ErrInvalidStorage is returned by New if the storage cannot be read, is empty or inconsistent, or has a configuration
	// with unknown members.
	ErrInvalidStorage = errors.New("consensus: invalid storage")
	// ErrInvalidOptions is returned by New for invalid options.
	ErrInvalidOptions = errors.New("consensus: invalid options")
)

// NotLeaderError is returned by Propose on a member that is not the leader.
type NotLeaderError struct {
	Leader uint64 // id of the member to propose to; 0: no leader is known
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "consensus: this member is not the leader, no leader is known"
	}
	return fmt.Sprintf("consensus: this member is not the leader, the leader is member %d", e.Leader)
}
