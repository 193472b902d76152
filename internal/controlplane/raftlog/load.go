package raftlog

import (
	"fmt"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// load reads the file into memory and checks its records. The error wraps ErrForeign, ErrVersion or ErrCorrupt.
func (l *Log) load(identity Identity) (err error) {
	defer recoverCorruption(&err)
	defer panicOnFault()()
	return l.db.View(func(tx *bolt.Tx) error {
		if err := verifyIdentity(tx, identity); err != nil {
			return err
		}
		loaded, err := loadState(tx)
		if err != nil {
			return err
		}
		l.memory = loaded
		return nil
	})
}

// verifyIdentity checks that the identity record identifies a member. The error wraps ErrForeign, ErrVersion or ErrCorrupt.
func verifyIdentity(tx *bolt.Tx, identity Identity) error {
	if tx.Bucket(identityBucket) == nil {
		return fmt.Errorf("%w: bucket %s is missing", ErrForeign, identityBucket)
	}
	payload, err := getRecord(tx, identityBucket)
	if err != nil {
		return err
	}
	return checkIdentity(payload, identity)
}

// loadState reads hard state, snapshot and entries, and checks that they are consistent. The error wraps ErrCorrupt.
func loadState(tx *bolt.Tx) (logState, error) {
	payload, err := getRecord(tx, stateBucket)
	if err != nil {
		return logState{}, err
	}
	stored, err := decodeState(payload)
	if err != nil {
		return logState{}, err
	}
	loaded := logState{
		hardState: &raftpb.HardState{Term: new(stored.term), Vote: new(stored.vote), Commit: new(stored.commit)},
		compacted: stored.compacted,
	}
	if loaded.snapshot, err = loadSnapshot(tx); err != nil {
		return logState{}, err
	}
	if loaded.entries, err = loadEntries(tx, stored); err != nil {
		return logState{}, err
	}
	if loaded.last() != stored.last {
		return logState{}, fmt.Errorf("%w: last entry is %d of term %d, want %d of term %d", ErrCorrupt, loaded.last().index,
			loaded.last().term, stored.last.index, stored.last.term)
	}
	return loaded, loaded.checkInvariants()
}

// loadSnapshot reads the snapshot record. The error wraps ErrCorrupt.
func loadSnapshot(tx *bolt.Tx) (*raftpb.Snapshot, error) {
	payload, err := getRecord(tx, snapshotBucket)
	if err != nil {
		return nil, err
	}
	snapshot := &raftpb.Snapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil {
		return nil, fmt.Errorf("%w: snapshot record: %w", ErrCorrupt, err)
	}
	return snapshot, nil
}

// loadEntries reads the entries. It returns an error that wraps ErrCorrupt at the first entry whose index is not the next one
// or is above the last one in the state record.
func loadEntries(tx *bolt.Tx, stored stateRecord) ([]*raftpb.Entry, error) {
	bucket := tx.Bucket(entriesBucket)
	if bucket == nil {
		return nil, fmt.Errorf("%w: bucket %s is missing", ErrCorrupt, entriesBucket)
	}
	var entries []*raftpb.Entry
	next := stored.compacted.index + 1
	cursor := bucket.Cursor()
	for key, record := cursor.First(); key != nil; key, record = cursor.Next() {
		entry, err := decodeEntry(key, record)
		if err != nil {
			return nil, err
		}
		if entry.GetIndex() != next || next > stored.last.index {
			return nil, fmt.Errorf("%w: found entry %d, want entry %d, last entry in the state record is %d", ErrCorrupt,
				entry.GetIndex(), next, stored.last.index)
		}
		entries = append(entries, entry)
		next++
	}
	return entries, nil
}
