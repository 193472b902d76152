package consensus

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/revision"
)

// Node is one member of the replicated log.
type Node struct {
	options   Options
	raw       *raft.RawNode
	storage   raft.Storage
	machine   *revision.StateMachine
	confState *raftpb.ConfState // raft configuration as of the last applied entry
	stopErr   error             // if not nil, the node has stopped; Propose, Read, Step and Err return it

	now           time.Time // of the latest Tick
	nextTickAt    time.Time
	pendingReady  *raft.Ready // returned by Ready, until Advance
	appliedTerm   uint64      // of the last applied entry
	proposals     proposals
	reads         reads
	leaderState   leaderState
	sinceSnapshot appliedSize
	compaction    *Compaction
}

// appliedSize is the size of the entries applied since the last snapshot.
type appliedSize struct {
	entries int
	bytes   int
}

// Compaction requests that the storage persist a snapshot and delete the entries before FirstIndex.
type Compaction struct {
	Snapshot   *raftpb.Snapshot
	FirstIndex uint64
}

// Ready is work for the driver, to be done in the order of the fields: persist the first three in one synced write,
// persist the compaction, send the messages. The driver then calls Advance. It must not modify the fields. Any of them
// may be empty.
type Ready struct {
	HardState  *raftpb.HardState
	Entries    []*raftpb.Entry
	Snapshot   *raftpb.Snapshot
	Compaction *Compaction
	Messages   []*raftpb.Message
}

// Applied is the result of a call of Advance.
type Applied struct {
	Proposals []ProposalOutcome    // of proposals to this member
	Reads     []ReadOutcome        // of reads on this member
	Revisions []*configpb.Revision // newly applied, in ascending order; if Restored, there may be a gap before the first
	Restored  bool                 // the state was replaced by a snapshot from the leader; Machine has the newest revision
}

// ProposalOutcome is the outcome of a proposal.
type ProposalOutcome struct {
	Request uint64          // request id of the command
	Result  revision.Result // valid if Err is nil
	Err     error           // wraps ErrOutcomeUnknown or ErrTimeout: may or may not be applied; retry with the same request id
}

// ReadOutcome is the outcome of a read.
type ReadOutcome struct {
	ID     uint64 // as passed to Read
	Newest uint64 // number of the newest revision at some time between Read and this outcome
	Err    error  // wraps ErrTimeout
}

// New creates a node from its storage, which must contain BootstrapSnapshot or a log that started with it. The node has
// applied all entries that are committed according to the storage, so its newest revision is at least that of any earlier
// run. The error wraps ErrInvalidOptions or ErrInvalidStorage.
func New(options Options, storage raft.Storage, now time.Time) (node *Node, err error) {
	options, err = options.withDefaults()
	if err != nil {
		return nil, err
	}
	snapshot, err := storage.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidStorage, err)
	}
	machine, err := restoreMachine(snapshot, options.Members)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidStorage, err)
	}
	node = &Node{
		options:     options,
		storage:     storage,
		now:         now,
		nextTickAt:  now.Add(options.TickInterval),
		machine:     machine,
		confState:   snapshot.GetMetadata().GetConfState(),
		appliedTerm: snapshot.GetMetadata().GetTerm(),
		proposals:   newProposals(),
		leaderState: newLeaderState(options.Members, now),
	}
	defer func() {
		if cause := recover(); cause != nil { // raft panics on an inconsistent storage
			node, err = nil, fmt.Errorf("%w: %v", ErrInvalidStorage, cause)
		}
	}()
	node.raw, err = raft.NewRawNode(node.config())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidStorage, err)
	}
	node.replay()
	return node, nil
}

// replay applies the entries that are committed according to the storage. Nothing has to be persisted or sent for them.
func (n *Node) replay() {
	var applied Applied // discarded: no proposal or read is pending
	for n.raw.HasReady() {
		ready := n.raw.Ready()
		if len(ready.Entries) > 0 || len(ready.Messages) > 0 || !raft.IsEmptyHardState(ready.HardState) {
			panic("consensus: raft has data to persist or to send while replaying committed entries")
		}
		for _, entry := range ready.CommittedEntries {
			n.apply(entry, &applied)
		}
		n.raw.Advance(ready)
	}
	n.planCompaction()
}

func (n *Node) config() *raft.Config {
	return &raft.Config{
		ID:                        n.options.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   n.storage,
		Applied:                   n.machine.Applied(),
		MaxSizePerMsg:             maxAppendBytes,
		MaxCommittedSizePerReady:  maxApplyBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxInflightBytes:          maxInflightBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		Logger:                    &raftLogger{logger: n.options.Logger},
		DisableProposalForwarding: true, // the publication time must be set by the leader
		StepDownOnRemoval:         true,
	}
}

// Machine returns the state machine. The caller must not modify it, nor use it while a method of the node runs. An Advance
// that returns Restored replaces it.
func (n *Node) Machine() *revision.StateMachine { return n.machine }

// Leader returns the id of the leader, 0 if none is known.
func (n *Node) Leader() uint64 { return n.raw.BasicStatus().Lead }

// Err returns the error that stopped the node, or nil. It wraps ErrMissingEntries or ErrRaftPanic. A stopped node neither
// sends nor applies anything; a new one has to be created from its storage.
func (n *Node) Err() error { return n.stopErr }

// Tick advances the node's clock. It has to be called every Options.TickInterval; a late call catches up on at most
// maxTicksPerCall ticks.
func (n *Node) Tick(now time.Time) {
	if n.stopErr != nil {
		return
	}
	paused := n.advanceClock(now)
	for range n.ticksDue() {
		n.raw.Tick()
	}
	n.observeLeadership()
	if paused {
		n.leaderState.resetContacts(n.now)
	}
	n.proposals.expire(n.now)
	n.reads.expire(n.now)
	n.maintainMembers()
	n.startReadIndexIfDue()
}

// advanceClock sets the time and reports whether more than an election timeout has passed since the previous call.
func (n *Node) advanceClock(now time.Time) (paused bool) {
	if now.Before(n.now) {
		return false
	}
	paused = now.Sub(n.now) > n.options.electionTimeout()
	n.now = now
	return paused
}

// ticksDue returns the number of ticks that are due, at most maxTicksPerCall, and schedules the next one.
func (n *Node) ticksDue() int {
	due := 0
	for ; due < maxTicksPerCall && !n.nextTickAt.After(n.now); due++ {
		n.nextTickAt = n.nextTickAt.Add(n.options.TickInterval)
	}
	if !n.nextTickAt.After(n.now) {
		n.nextTickAt = n.now.Add(n.options.TickInterval)
	}
	return due
}

// Propose appends a command to the log. An Advance within ProposalTimeout returns the ProposalOutcome with the command's
// request id. A command whose request is already pending is not appended again. If Propose returns an error, there is no
// outcome. The error is a *NotLeaderError, the error of Err if the node has stopped, or wraps ErrTooManyProposals,
// ErrProposalDropped or revision.ErrInvalidCommand.
func (n *Node) Propose(command *configpb.Command) error {
	if n.stopErr != nil {
		return n.stopErr
	}
	status := n.raw.BasicStatus()
	if status.RaftState != raft.StateLeader {
		return &NotLeaderError{Leader: status.Lead}
	}
	if n.proposals.has(command.GetRequest()) {
		return nil
	}
	if n.proposals.isFull() {
		return fmt.Errorf("%w: the limit is %d", ErrTooManyProposals, MaxProposals)
	}
	data, err := revision.Encode(command)
	if err != nil {
		return err
	}
	if err := n.raw.Propose(data); err != nil {
		return fmt.Errorf("%w: request %x: %w", ErrProposalDropped, command.GetRequest(), err)
	}
	n.proposals.add(command.GetRequest(), n.now.Add(ProposalTimeout))
	return nil
}

// Step processes a message from another member. The error wraps ErrMalformedMessage if the message was rejected without
// effect, and ErrMissingEntries or ErrRaftPanic if the node has stopped (see Err).
func (n *Node) Step(message *raftpb.Message) error {
	if n.stopErr != nil {
		return n.stopErr
	}
	if err := n.checkMessage(message); err != nil {
		return err
	}
	if message.GetType() == raftpb.MsgReadIndex && (n.leaderState.leaderTerm == 0 || !n.canServeReads()) {
		return nil // raft would forward it in a loop or queue it without bound; the sender retries
	}
	n.leaderState.recordContact(message.GetFrom(), n.now)
	if err := n.stepRaft(message); err != nil {
		return err
	}
	n.observeLeadership()
	return nil
}

// stepRaft passes a checked message to raft. A panic in raft stops the node.
func (n *Node) stepRaft(message *raftpb.Message) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			n.stopErr = fmt.Errorf("%w: %v from %d: %v", ErrRaftPanic, message.GetType(), message.GetFrom(), cause)
			err = n.stopErr
		}
	}()
	if err := n.raw.Step(message); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	return nil
}

// observeLeadership resets the leader state and abandons the pending proposals when this member gains or loses the
// leadership.
func (n *Node) observeLeadership() {
	status := n.raw.BasicStatus()
	leaderTerm := uint64(0)
	if status.RaftState == raft.StateLeader {
		leaderTerm = status.GetTerm()
	}
	if leaderTerm == n.leaderState.leaderTerm {
		return
	}
	n.leaderState.setLeaderTerm(leaderTerm, n.now)
	n.proposals.abandonAll()
}
