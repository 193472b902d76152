package raftlog

import (
	"fmt"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Save writes the snapshot, entries and hard state of a raft.Ready, in one transaction that is synced before Save returns.
// A snapshot replaces the log; entries replace those of the same and higher indexes. Each argument may be empty. The error
// wraps ErrInvalidWrite if the write is inconsistent with the log (nothing is written), ErrNoSpace if the disk or the file
// is full, or ErrCorrupt if the file is corrupt; otherwise it is an I/O error.
func (l *Log) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	if l.brokenErr != nil {
		return l.brokenErr
	}
	before := l.memory
	next := before
	if !raft.IsEmptySnap(snapshot) {
		if snapshot.GetMetadata().GetIndex() <= before.snapshot.GetMetadata().GetIndex() {
			return fmt.Errorf("%w: snapshot at index %d, want above the stored snapshot's index %d", ErrInvalidWrite,
				snapshot.GetMetadata().GetIndex(), before.snapshot.GetMetadata().GetIndex())
		}
		next = next.withSnapshot(snapshot)
	}
	if len(entries) > 0 {
		if err := next.checkAppend(entries); err != nil {
			return err
		}
		next = next.withEntries(entries)
	}
	if !raft.IsEmptyHardState(hardState) {
		next.hardState = hardState
	}
	if err := next.checkTransition(before); err != nil {
		return err
	}
	return l.commitWrite(next, func(tx *bolt.Tx) error { return writeSave(tx, before, next, entries) })
}

// Compact stores a snapshot that this member took itself and deletes the entries before index first, in one transaction
// that is synced before Compact returns. The snapshot must be newer than the stored one and of a committed entry, and
// entries that it does not cover must be kept. The errors are those of Save.
func (l *Log) Compact(snapshot *raftpb.Snapshot, first uint64) error {
	if l.brokenErr != nil {
		return l.brokenErr
	}
	before := l.memory
	index := snapshot.GetMetadata().GetIndex()
	term, err := l.Term(index)
	switch {
	case err != nil || term != snapshot.GetMetadata().GetTerm():
		return fmt.Errorf("%w: snapshot at index %d has term %d, the log has term %d there (0: not in the log)", ErrInvalidWrite, index,
			snapshot.GetMetadata().GetTerm(), term)
	case index <= before.snapshot.GetMetadata().GetIndex() || index > before.hardState.GetCommit():
		return fmt.Errorf("%w: snapshot at index %d, want above the stored snapshot's index %d, at most commit index %d", ErrInvalidWrite,
			index, before.snapshot.GetMetadata().GetIndex(), before.hardState.GetCommit())
	case first <= before.compacted.index || first > index+1:
		return fmt.Errorf("%w: first entry to keep is %d, want %d to %d", ErrInvalidWrite, first, before.compacted.index+1, index+1)
	}
	next := before.compactedTo(first)
	next.snapshot = snapshot
	return l.commitWrite(next, func(tx *bolt.Tx) error {
		if err := deleteEntries(tx, before.compacted.index+1, first); err != nil {
			return err
		}
		if err := putSnapshot(tx, snapshot); err != nil {
			return err
		}
		return putRecord(tx, stateBucket, singleKey, next.state().encode())
	})
}

// checkAppend checks that entries follow the last entry of the log or replace entries in it. The error wraps ErrInvalidWrite.
func (s logState) checkAppend(entries []*raftpb.Entry) error {
	first := entries[0].GetIndex()
	if first <= s.compacted.index || first > s.last().index+1 {
		return fmt.Errorf("%w: first new entry is %d, want %d to %d", ErrInvalidWrite, first, s.compacted.index+1, s.last().index+1)
	}
	previous := s.compacted
	if kept := first - s.compacted.index - 1; kept > 0 {
		entry := s.entries[kept-1]
		previous = entryID{index: entry.GetIndex(), term: entry.GetTerm()}
	}
	if err := checkConsecutive(previous, entries); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidWrite, err)
	}
	return nil
}

// checkTransition checks that a write changes the state from before to s without decreasing the term or the commit index,
// changing the vote within a term, or replacing committed entries. The error wraps ErrInvalidWrite.
func (s logState) checkTransition(before logState) error {
	old, updated := before.hardState, s.hardState
	switch {
	case updated.GetTerm() < old.GetTerm():
		return fmt.Errorf("%w: term decreases from %d to %d", ErrInvalidWrite, old.GetTerm(), updated.GetTerm())
	case updated.GetTerm() == old.GetTerm() && old.GetVote() != 0 && updated.GetVote() != old.GetVote():
		return fmt.Errorf("%w: vote changes from %x to %x in term %d", ErrInvalidWrite, old.GetVote(), updated.GetVote(),
			updated.GetTerm())
	case updated.GetCommit() < old.GetCommit():
		return fmt.Errorf("%w: commit index decreases from %d to %d", ErrInvalidWrite, old.GetCommit(), updated.GetCommit())
	}
	for index := max(before.compacted.index, s.compacted.index) + 1; index <= old.GetCommit(); index++ {
		if index > s.last().index || before.termAt(index) != s.termAt(index) {
			return fmt.Errorf("%w: committed entry %d would be lost or replaced, commit index is %d, new last index is %d", ErrInvalidWrite,
				index, old.GetCommit(), s.last().index)
		}
	}
	if err := s.checkInvariants(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidWrite, err)
	}
	return nil
}

// termAt returns the term of the entry at an index, which must be in entries.
func (s logState) termAt(index uint64) uint64 { return s.entries[index-s.compacted.index-1].GetTerm() }

// writeSave writes the difference between the states before and next, of which entries are the new entries.
func writeSave(tx *bolt.Tx, before, next logState, entries []*raftpb.Entry) error {
	replaced := next.snapshot != before.snapshot
	first, end := uint64(0), before.last().index+1
	switch {
	case replaced:
		first = before.compacted.index + 1
	case len(entries) > 0:
		first = entries[0].GetIndex()
	default:
		first = end
	}
	if err := deleteEntries(tx, first, end); err != nil {
		return err
	}
	if replaced {
		if err := putSnapshot(tx, next.snapshot); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if err := putEntry(tx, entry); err != nil {
			return err
		}
	}
	return putRecord(tx, stateBucket, singleKey, next.state().encode())
}

// deleteEntries deletes the entries with indexes from first up to but not including end.
func deleteEntries(tx *bolt.Tx, first, end uint64) error {
	bucket := tx.Bucket(entriesBucket)
	for index := first; index < end; index++ {
		if err := bucket.Delete(entryKey(index)); err != nil {
			return err
		}
	}
	return nil
}

// commitWrite runs a write in one synced transaction and then replaces the copy in memory by next. After a failure the Log
// accepts no further writes.
func (l *Log) commitWrite(next logState, write func(tx *bolt.Tx) error) error {
	if err := l.update(write); err != nil {
		l.brokenErr = err
		return err
	}
	l.memory = next
	return nil
}

// update runs a write in one synced transaction. The error wraps ErrNoSpace or ErrCorrupt, or is an I/O error.
func (l *Log) update(write func(tx *bolt.Tx) error) (err error) {
	defer recoverCorruption(&err)
	defer panicOnFault()()
	return diskError(l.db.Update(write))
}
