package raftlog

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// logState is the log in memory, from which it is read. A new one replaces it after each synced write.
type logState struct {
	hardState *raftpb.HardState
	snapshot  *raftpb.Snapshot
	compacted entryID         // the entry before the first of entries
	entries   []*raftpb.Entry // ascending, without gaps, from compacted.index + 1; immutable
}

// entryID identifies an entry.
type entryID struct {
	index uint64
	term  uint64
}

// last returns the id of the last entry.
func (m logState) last() entryID {
	if len(m.entries) == 0 {
		return m.compacted
	}
	entry := m.entries[len(m.entries)-1]
	return entryID{index: entry.GetIndex(), term: entry.GetTerm()}
}

// withSnapshot returns the log replaced by a snapshot, without entries.
func (m logState) withSnapshot(snapshot *raftpb.Snapshot) logState {
	metadata := snapshot.GetMetadata()
	m.snapshot = snapshot
	m.compacted = entryID{index: metadata.GetIndex(), term: metadata.GetTerm()}
	m.entries = nil
	return m
}

// withEntries returns the log with entries that replace those of the same and higher indexes.
func (m logState) withEntries(entries []*raftpb.Entry) logState {
	kept := entries[0].GetIndex() - m.compacted.index - 1
	m.entries = append(m.entries[:kept:kept], entries...)
	return m
}

// compactedTo returns the log without the entries before an index.
func (m logState) compactedTo(first uint64) logState {
	dropped := first - m.compacted.index - 1
	if dropped == 0 {
		return m
	}
	entry := m.entries[dropped-1]
	m.compacted = entryID{index: entry.GetIndex(), term: entry.GetTerm()}
	m.entries = append([]*raftpb.Entry(nil), m.entries[dropped:]...)
	return m
}

// InitialState implements raft.Storage.
func (l *Log) InitialState() (*raftpb.HardState, *raftpb.ConfState, error) {
	members := proto.CloneOf(l.memory.snapshot.GetMetadata().GetConfState())
	return l.memory.hardState, raftpb.EnsureConfState(members), nil
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

// Snapshot implements raft.Storage. The snapshot is shared and must not be changed.
func (l *Log) Snapshot() (*raftpb.Snapshot, error) { return l.memory.snapshot, nil }

// checkInvariants checks what holds for every log. Its error wraps ErrCorrupt.
func (m logState) checkInvariants() error {
	snapshot := m.snapshot.GetMetadata().GetIndex()
	last, commit := m.last(), m.hardState.GetCommit()
	switch {
	case m.compacted.index > snapshot || last.index < snapshot:
		return fmt.Errorf("%w: snapshot of entry %d, entries %d to %d", ErrCorrupt, snapshot, m.compacted.index+1,
			last.index)
	case commit < snapshot || commit > last.index:
		return fmt.Errorf("%w: commit %d, snapshot of %d, last %d", ErrCorrupt, commit, snapshot, last.index)
	case last.term > m.hardState.GetTerm():
		return fmt.Errorf("%w: last entry of term %d in term %d", ErrCorrupt, last.term, m.hardState.GetTerm())
	}
	return checkConsecutive(m.compacted, m.entries)
}

// checkConsecutive checks that entries follow an entry with consecutive indexes and non-decreasing terms.
func checkConsecutive(before entryID, entries []*raftpb.Entry) error {
	for _, entry := range entries {
		if entry.GetIndex() != before.index+1 || entry.GetTerm() < before.term {
			return fmt.Errorf("%w: entry %d of term %d follows entry %d of term %d", ErrCorrupt, entry.GetIndex(),
				entry.GetTerm(), before.index, before.term)
		}
		before = entryID{index: entry.GetIndex(), term: entry.GetTerm()}
	}
	return nil
}
