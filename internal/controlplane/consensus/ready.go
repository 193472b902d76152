package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"mothrouter/internal/controlplane/revision"
)

// Ready returns the next work for the driver, or nil if there is none. Advance has to be called before the next call of
// Ready; Tick, Step, Propose and Read may be called in between. Ready panics if Advance was not called.
func (n *Node) Ready() *Ready {
	if n.stopErr != nil {
		return nil
	}
	if n.pendingReady != nil {
		panic("consensus: Ready called before Advance for the previous Ready")
	}
	if !n.raw.HasReady() && n.compaction == nil && !n.proposals.hasOutcomes() && !n.reads.hasOutcomes() {
		return nil
	}
	ready := n.raw.Ready()
	n.pendingReady = &ready
	compaction := n.compaction
	n.compaction = nil
	if !raft.IsEmptySnap(ready.Snapshot) {
		compaction = nil // superseded by the leader's snapshot, which is newer
	}
	n.leaderState.recordSent(ready.Messages, n.now)
	return &Ready{
		HardState:  ready.HardState,
		Entries:    ready.Entries,
		Snapshot:   ready.Snapshot,
		Compaction: compaction,
		Messages:   ready.Messages,
	}
}

// Advance confirms that the last Ready was persisted and sent. It applies the committed entries and returns the result.
// It panics if Ready was not called before.
func (n *Node) Advance() Applied {
	if n.pendingReady == nil {
		panic("consensus: Advance called without a preceding Ready")
	}
	ready := n.pendingReady
	n.pendingReady = nil
	var applied Applied
	if !raft.IsEmptySnap(ready.Snapshot) {
		n.restore(ready.Snapshot)
		applied.Restored = true
	}
	for _, entry := range ready.CommittedEntries {
		n.apply(entry, &applied)
	}
	n.raw.Advance(*ready)
	n.observeLeadership()
	for _, state := range ready.ReadStates {
		n.reads.recordResponse(state.RequestCtx, n.options.Incarnation, state.Index)
	}
	n.reads.completeRounds(n.machine.Applied(), n.machine.Number())
	n.startReadIndexIfDue()
	n.planCompaction()
	applied.Proposals = n.proposals.drainOutcomes()
	applied.Reads = n.reads.drainOutcomes()
	return applied
}

// restore replaces the state with a snapshot from the leader that checkMessage has accepted.
func (n *Node) restore(snapshot *raftpb.Snapshot) {
	machine, err := restoreMachine(snapshot, n.options.Members)
	if err != nil {
		panic(fmt.Sprintf("consensus: restoring an accepted snapshot: %v", err))
	}
	if machine.Applied() < n.machine.Applied() || machine.Number() < n.machine.Number() {
		panic(fmt.Sprintf("consensus: snapshot at index %d, revision %d is older than the state at index %d, revision %d",
			machine.Applied(), machine.Number(), n.machine.Applied(), n.machine.Number()))
	}
	n.machine = machine
	n.confState = snapshot.GetMetadata().GetConfState()
	n.appliedTerm = snapshot.GetMetadata().GetTerm()
	n.sinceSnapshot = appliedSize{}
}

// apply applies one committed entry.
func (n *Node) apply(entry *raftpb.Entry, applied *Applied) {
	n.appliedTerm = entry.GetTerm()
	n.sinceSnapshot.entries++
	n.sinceSnapshot.bytes += len(entry.GetData())
	switch {
	case entry.GetType() == raftpb.EntryConfChangeV2:
		n.machine.Skip(entry.GetIndex())
		n.applyConfChange(entry)
	case entry.GetType() != raftpb.EntryNormal || len(entry.GetData()) == 0:
		n.machine.Skip(entry.GetIndex()) // the empty entry of a new leader
	default:
		n.applyCommand(entry, applied)
	}
}

// applyCommand applies the command in an entry. An entry that cannot be decoded is rejected, identically on every member.
func (n *Node) applyCommand(entry *raftpb.Entry, applied *Applied) {
	command, err := revision.Decode(entry.GetData())
	if err != nil {
		n.options.Logger.Error("cannot decode the command in a log entry", "index", entry.GetIndex(), "error", err)
		command = nil
	}
	result := n.machine.Apply(entry.GetIndex(), command)
	if result.Rejection == revision.Accepted && !result.Repeated {
		applied.Revisions = append(applied.Revisions, n.machine.Newest())
	}
	n.proposals.finish(ProposalOutcome{Request: command.GetRequest(), Result: result})
}

// planCompaction requests a compaction once enough entries are applied since the last snapshot.
func (n *Node) planCompaction() {
	if n.sinceSnapshot.entries < n.options.snapshotEntries && n.sinceSnapshot.bytes < SnapshotBytes {
		return
	}
	index := n.machine.Applied()
	first, err := n.storage.FirstIndex()
	if err != nil {
		panic(fmt.Sprintf("consensus: reading the first index of the storage: %v", err))
	}
	if trailing := uint64(n.options.trailingEntries); index > trailing {
		first = max(first, index-trailing+1)
	}
	n.sinceSnapshot = appliedSize{}
	n.compaction = &Compaction{
		FirstIndex: first,
		Snapshot: &raftpb.Snapshot{
			Data: n.machine.Snapshot(),
			Metadata: &raftpb.SnapshotMetadata{
				Index: new(index), Term: new(n.appliedTerm), ConfState: n.confState,
			},
		},
	}
}
