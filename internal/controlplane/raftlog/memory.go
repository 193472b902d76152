package raftlog

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// logState is the in-memory copy of a log, which serves all reads. A new one replaces it after each synced write.
type logState struct {
	hardState *raftpb.HardState
	snapshot  *raftpb.Snapshot
	compacted entryID         // the latest compacted entry, directly before the first of entries
	entries   []*raftpb.Entry // with consecutive indexes from compacted.index + 1; immutable
}

// entryID identifies a raft entry.
type entryID struct {
	index uint64
	term  uint64
}

// last returns the id of the last entry, compacted or not.
func (s logState) last() entryID {
	if len(s.entries) == 0 {
		return s.compacted
	}
	entry := s.entries[len(s.entries)-1]
	return entryID{index: entry.GetIndex(), term: entry.GetTerm()}
}

// withSnapshot returns the state after a snapshot has replaced the log: without entries, with the same hard state.
func (s logState) withSnapshot(snapshot *raftpb.Snapshot) logState {
	metadata := snapshot.GetMetadata()
	s.snapshot = snapshot
	s.compacted = entryID{index: metadata.GetIndex(), term: metadata.GetTerm()}
	s.entries = nil
	return s
}

// withEntries returns the state with entries, which replace those of the same and higher indexes.
func (s logState) withEntries(entries []*raftpb.Entry) logState {
	kept := entries[0].GetIndex() - s.compacted.index - 1
	s.entries = append(s.entries[:kept:kept], entries...)
	return s
}

// compactedTo returns the state without the entries before index first.
func (s logState) compactedTo(first uint64) logState {
	dropped := first - s.compacted.index - 1
	if dropped == 0 {
		return s
	}
	entry := s.entries[dropped-1]
	s.compacted = entryID{index: entry.GetIndex(), term: entry.GetTerm()}
	s.entries = append([]*raftpb.Entry(nil), s.entries[dropped:]...)
	return s
}

// InitialState implements raft.Storage.
func (l *Log) InitialState() (*raftpb.HardState, *raftpb.ConfState, error) {
	confState := proto.CloneOf(l.memory.snapshot.GetMetadata().GetConfState())
	return l.memory.hardState, raftpb.EnsureConfState(confState), nil
}

// Entries implements raft.Storage.
func (l *Log) Entries(low, high, maxSize uint64) ([]*raftpb.Entry, error) {
	first := l.memory.compacted.index + 1
	if low < first {
		return nil, raft.ErrCompacted
	}
	if high > l.memory.last().index+1 || low >= high {
		return nil, raft.ErrUnavailable
	}
	entries := l.memory.entries[low-first : high-first]
	count := 1
	size := uint64(proto.Size(entries[0]))
	for count < len(entries) {
		size += uint64(proto.Size(entries[count]))
		if size > maxSize {
			break
		}
		count++
	}
	return entries[:count:count], nil
}

// Term implements raft.Storage.
func (l *Log) Term(index uint64) (uint64, error) {
	switch {
	case index < l.memory.compacted.index:
		return 0, raft.ErrCompacted
	case index == l.memory.compacted.index:
		return l.memory.compacted.term, nil
	case index > l.memory.last().index:
		return 0, raft.ErrUnavailable
	}
	return l.memory.entries[index-l.memory.compacted.index-1].GetTerm(), nil
}

// FirstIndex implements raft.Storage.
func (l *Log) FirstIndex() (uint64, error) { return l.memory.compacted.index + 1, nil }

// LastIndex implements raft.Storage.
func (l *Log) LastIndex() (uint64, error) { return l.memory.last().index, nil }

// Snapshot implements raft.Storage. The returned snapshot is shared and must not be modified.
func (l *Log) Snapshot() (*raftpb.Snapshot, error) { return l.memory.snapshot, nil }

// checkInvariants checks that snapshot, entries and hard state are consistent. The error wraps ErrCorrupt.
func (s logState) checkInvariants() error {
	snapshot := s.snapshot.GetMetadata().GetIndex()
	last, commit := s.last(), s.hardState.GetCommit()
	switch {
	case s.compacted.index > snapshot || last.index < snapshot:
		return fmt.Errorf("%w: snapshot at index %d, want from compacted index %d to last index %d", ErrCorrupt, snapshot,
			s.compacted.index, last.index)
	case commit < snapshot || commit > last.index:
		return fmt.Errorf("%w: commit index %d, want from snapshot index %d to last index %d", ErrCorrupt, commit, snapshot,
			last.index)
	case last.term > s.hardState.GetTerm():
		return fmt.Errorf("%w: term %d of the last entry is above the current term %d", ErrCorrupt, last.term,
			s.hardState.GetTerm())
	}
	return checkConsecutive(s.compacted, s.entries)
}

// checkConsecutive checks that entries follow the entry previous with consecutive indexes and non-decreasing terms. The error
// wraps ErrCorrupt.
func checkConsecutive(previous entryID, entries []*raftpb.Entry) error {
	for _, entry := range entries {
		if entry.GetIndex() != previous.index+1 || entry.GetTerm() < previous.term {
			return fmt.Errorf("%w: entry %d of term %d follows entry %d of term %d", ErrCorrupt, entry.GetIndex(),
				entry.GetTerm(), previous.index, previous.term)
		}
		previous = entryID{index: entry.GetIndex(), term: entry.GetTerm()}
	}
	return nil
}
