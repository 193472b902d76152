package raftlog

import (
	"fmt"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Save writes what a raft.Ready asks to be saved, in one transaction that is synced before it returns: a snapshot
// replaces the log, entries replace those of the same and higher indexes, then the hard state. Each may be empty. Its
// error wraps ErrInvalidWrite if the write is inconsistent with the log (nothing is written), ErrNoSpace if the disk or
// the file is full, ErrCorrupt if the file is corrupt, or is that of the disk.
func (l *Log) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	if l.brokenErr != nil {
		return l.brokenErr
	}
	before := l.memory
	next := before
	if !raft.IsEmptySnap(snapshot) {
		if snapshot.GetMetadata().GetIndex() <= before.snapshot.GetMetadata().GetIndex() {
			return fmt.Errorf("%w: snapshot of entry %d after that of %d", ErrInvalidWrite,
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

// Compact stores a snapshot that this member made itself and drops the entries before an index, in one transaction
// that is synced before it returns. The snapshot must be newer than the stored one and of a committed entry, and the
// entries that it doesn't cover are kept. Errors are those of Save.
func (l *Log) Compact(snapshot *raftpb.Snapshot, first uint64) error {
	if l.brokenErr != nil {
		return l.brokenErr
	}
	before := l.memory
	index := snapshot.GetMetadata().GetIndex()
	term, err := l.Term(index)
	switch {
	case err != nil || term != snapshot.GetMetadata().GetTerm():
		return fmt.Errorf("%w: snapshot of entry %d, which is not in the log", ErrInvalidWrite, index)
	case index <= before.snapshot.GetMetadata().GetIndex() || index > before.hardState.GetCommit():
		return fmt.Errorf("%w: snapshot of entry %d, commit is %d", ErrInvalidWrite, index, before.hardState.GetCommit())
	case first <= before.compacted.index || first > index+1:
		return fmt.Errorf("%w: snapshot of entry %d, entries kept from %d", ErrInvalidWrite, index, first)
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

// checkAppend checks that entries follow the log or replace entries of it. Its error wraps ErrInvalidWrite.
func (m logState) checkAppend(entries []*raftpb.Entry) error {
	first := entries[0].GetIndex()
	if first <= m.compacted.index || first > m.last().index+1 {
		return fmt.Errorf("%w: entry %d, the log has %d to %d", ErrInvalidWrite, first, m.compacted.index+1, m.last().index)
	}
	before := m.compacted
	if kept := first - m.compacted.index - 1; kept > 0 {
		entry := m.entries[kept-1]
		before = entryID{index: entry.GetIndex(), term: entry.GetTerm()}
	}
	if err := checkConsecutive(before, entries); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidWrite, err)
	}
	return nil
}

// checkTransition checks that a write does not decrease the term or the commit index, change the vote in a term, or
// replace committed entries. Its error wraps ErrInvalidWrite.
func (m logState) checkTransition(before logState) error {
	was, is := before.hardState, m.hardState
	switch {
	case is.GetTerm() < was.GetTerm():
		return fmt.Errorf("%w: term %d after %d", ErrInvalidWrite, is.GetTerm(), was.GetTerm())
	case is.GetTerm() == was.GetTerm() && was.GetVote() != 0 && is.GetVote() != was.GetVote():
		return fmt.Errorf("%w: vote for %x after %x in term %d", ErrInvalidWrite, is.GetVote(), was.GetVote(), is.GetTerm())
	case is.GetCommit() < was.GetCommit():
		return fmt.Errorf("%w: commit %d after %d", ErrInvalidWrite, is.GetCommit(), was.GetCommit())
	}
	for index := max(before.compacted.index, m.compacted.index) + 1; index <= was.GetCommit(); index++ {
		if index > m.last().index || before.termAt(index) != m.termAt(index) {
			return fmt.Errorf("%w: committed entry %d would be lost", ErrInvalidWrite, index)
		}
	}
	if err := m.checkInvariants(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidWrite, err)
	}
	return nil
}

// termAt returns the term of the entry at an index, which the log must have.
func (m logState) termAt(index uint64) uint64 { return m.entries[index-m.compacted.index-1].GetTerm() }

// writeSave writes the difference between two states.
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

// deleteEntries deletes the entries from first to before end.
func deleteEntries(tx *bolt.Tx, first, end uint64) error {
	bucket := tx.Bucket(entriesBucket)
	for index := first; index < end; index++ {
		if err := bucket.Delete(entryKey(index)); err != nil {
			return err
		}
	}
	return nil
}

// commitWrite runs a write in one transaction and, when it is synced, replaces the log in memory by next.
func (l *Log) commitWrite(next logState, write func(tx *bolt.Tx) error) error {
	if err := l.update(write); err != nil {
		l.brokenErr = err
		return err
	}
	l.memory = next
	return nil
}

// update runs a write in one synced transaction.
func (l *Log) update(write func(tx *bolt.Tx) error) (err error) {
	defer recoverCorruption(&err)
	defer panicOnFault()()
	return diskError(l.db.Update(write))
}
