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
	machine   *revision.Machine
	confState *raftpb.ConfState
	stopErr   error // what every further call returns

	now           time.Time // of the last Tick
	nextTickAt    time.Time
	pendingReady  *raft.Ready // handed out, Advance is awaited
	appliedTerm   uint64      // of the last entry applied
	proposals     proposals
	reads         reads
	members       members
	sinceSnapshot appliedSize
	compaction    *Compaction
}

// appliedSize is what was applied since the last snapshot.
type appliedSize struct {
	entries int
	bytes   int
}

// Compaction asks the storage to keep a snapshot and to drop the entries before First.
type Compaction struct {
	Snapshot   *raftpb.Snapshot
	FirstIndex uint64
}

// Ready is what a driver must do next, in the order of the fields: store the first three in one synced write, store
// the compaction, send the messages. Then it calls Advance. All parts are immutable and may be empty.
type Ready struct {
	HardState  *raftpb.HardState
	Entries    []*raftpb.Entry
	Snapshot   *raftpb.Snapshot
	Compaction *Compaction
	Messages   []*raftpb.Message
}

// Applied is what an Advance has brought.
type Applied struct {
	Proposals []ProposalOutcome    // of proposals made at this member
	Reads     []ReadOutcome        // of reads asked at this member
	Revisions []*configpb.Revision // new ones, ascending; after Restored there may be a gap before the first
	Restored  bool                 // the state came from a snapshot of the leader: see Machine for the newest
}

// ProposalOutcome is what became of a proposal.
type ProposalOutcome struct {
	Request uint64
	Result  revision.Result
	Err     error // ErrUnknown or ErrTimeout: it may be applied or not, ask again with the same request
}

// ReadOutcome is the answer to a read.
type ReadOutcome struct {
	ID     uint64
	Newest uint64 // number of the newest revision, at some time between the Read and this
	Err    error  // ErrTimeout
}

// New returns the node of a storage, which must hold StartSnapshot or what grew from it. The node has applied all that
// the storage knows to be committed, so that its newest revision is not behind that of an earlier run. The error wraps
// ErrSettings or ErrStorage.
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
		members:     newMembers(options.Members, now),
	}
	defer func() {
		if cause := recover(); cause != nil { // raft panics where the storage contradicts itself
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

// replay applies the entries that the storage knows to be committed. There is nothing to store or to send for them.
func (n *Node) replay() {
	var applied Applied // nobody waits for it
	for n.raw.HasReady() {
		ready := n.raw.Ready()
		if len(ready.Entries) > 0 || len(ready.Messages) > 0 || !raft.IsEmptyHardState(ready.HardState) {
			panic("consensus: a new node has something to store or to send")
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
		DisableProposalForwarding: true, // the leader stamps the time of publication
		StepDownOnRemoval:         true,
	}
}

// Machine returns the state machine, to be read only, and only while no method of the node runs. After an Advance with
// Restored it is another one.
func (n *Node) Machine() *revision.Machine { return n.machine }

// Leader returns the id of the leader, 0 where none is known.
func (n *Node) Leader() uint64 { return n.raw.BasicStatus().Lead }

// Err returns why the node has stopped, or nil. A stopped node sends and applies nothing more and must be made anew
// from its storage.
func (n *Node) Err() error { return n.stopErr }

// Tick tells the node the time. It is called every Options.TickInterval; where it comes late, two ticks are made up
// for at most.
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
		n.members.recordAllContacts(n.now)
	}
	n.proposals.expire(n.now)
	n.reads.expire(n.now)
	n.maintainMembers()
	n.startRoundIfDue()
}

// advanceClock takes the time in and tells whether more than an election timeout has passed since it last did.
func (n *Node) advanceClock(now time.Time) (paused bool) {
	if now.Before(n.now) {
		return false
	}
	paused = now.Sub(n.now) > n.options.electionTimeout()
	n.now = now
	return paused
}

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

// Propose appends a command to the log. It is answered by an Outcome with its request id, by ProposalTimeout at the
// latest; a request that is waiting already is not appended again. Its error is a NotLeaderError, or wraps ErrBusy,
// ErrDropped, revision.ErrCommand or ErrBroken, and then there is no outcome.
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
	if n.proposals.full() {
		return ErrBusy
	}
	data, err := revision.Encode(command)
	if err != nil {
		return err
	}
	if err := n.raw.Propose(data); err != nil {
		return fmt.Errorf("%w: %w", ErrProposalDropped, err)
	}
	n.proposals.add(command.GetRequest(), n.now.Add(ProposalTimeout))
	return nil
}

// Step takes in a message of another member. Its error wraps ErrMessage where the message is malformed: it has changed
// nothing. It wraps ErrLostLog or ErrBroken where the node has stopped, see Err.
func (n *Node) Step(message *raftpb.Message) error {
	if n.stopErr != nil {
		return n.stopErr
	}
	if err := n.checkMessage(message); err != nil {
		return err
	}
	if message.GetType() == raftpb.MsgReadIndex && (n.members.leaderTerm == 0 || !n.canServeReads()) {
		return nil // raft would pass it on in circles, or keep it without bound; the other asks again
	}
	n.members.recordContact(message.GetFrom(), n.now)
	if err := n.stepRaft(message); err != nil {
		return err
	}
	n.observeLeadership()
	return nil
}

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

// observeLeadership ends the proposals of a term that is over.
func (n *Node) observeLeadership() {
	status := n.raw.BasicStatus()
	term := uint64(0) // of this node's leadership
	if status.RaftState == raft.StateLeader {
		term = status.GetTerm()
	}
	if term == n.members.leaderTerm {
		return
	}
	n.members.startLeadership(term, n.now)
	n.proposals.abandonAll()
}
