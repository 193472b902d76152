package raftlog

import (
	"fmt"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// load reads the file into memory and checks it. Its error wraps ErrForeign, ErrVersion or ErrCorrupt.
func (l *Log) load(identity Identity) (err error) {
	defer recoverCorruption(&err)
	defer panicOnFault()()
	return l.db.View(func(tx *bolt.Tx) error {
		if err := loadIdentity(tx, identity); err != nil {
			return err
		}
		loaded, err := loadMemory(tx)
		if err != nil {
			return err
		}
		l.memory = loaded
		return nil
	})
}

// loadIdentity checks that the identity record names a member. Its error wraps ErrForeign, ErrVersion or ErrCorrupt.
func loadIdentity(tx *bolt.Tx, identity Identity) error {
	if tx.Bucket(identityBucket) == nil {
		return fmt.Errorf("%w: no identity record", ErrForeign)
	}
	payload, err := getRecord(tx, identityBucket)
	if err != nil {
		return err
	}
	return checkIdentity(payload, identity)
}

// loadMemory reads hard state, snapshot and entries, and checks that they are consistent. Its error wraps ErrCorrupt.
func loadMemory(tx *bolt.Tx) (logState, error) {
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
		return logState{}, fmt.Errorf("%w: last entry is %d, not %d", ErrCorrupt, loaded.last().index, stored.last.index)
	}
	return loaded, loaded.checkInvariants()
}

// loadSnapshot reads the snapshot record. Its error wraps ErrCorrupt.
func loadSnapshot(tx *bolt.Tx) (*raftpb.Snapshot, error) {
	payload, err := getRecord(tx, snapshotBucket)
	if err != nil {
		return nil, err
	}
	snapshot := &raftpb.Snapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil {
		return nil, fmt.Errorf("%w: snapshot: %w", ErrCorrupt, err)
	}
	return snapshot, nil
}

// loadEntries reads the entries. It fails at the first one that does not have the index expected by the state
// record. Its error wraps ErrCorrupt.
func loadEntries(tx *bolt.Tx, stored stateRecord) ([]*raftpb.Entry, error) {
	bucket := tx.Bucket(entriesBucket)
	if bucket == nil {
		return nil, fmt.Errorf("%w: no bucket %s", ErrCorrupt, entriesBucket)
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
			return nil, fmt.Errorf("%w: entry %d instead of %d, the last index is %d", ErrCorrupt, entry.GetIndex(), next,
				stored.last.index)
		}
		entries = append(entries, entry)
		next++
	}
	return entries, nil
}
