package raftlog

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The buckets. State and snapshot have separate buckets, since bbolt rewrites all pages of a leaf: every Save writes the
// state of 56 bytes, and a snapshot has megabytes.
var (
	identityBucket = []byte("identity")
	stateBucket    = []byte("state")
	snapshotBucket = []byte("snapshot")
	entriesBucket  = []byte("entries")

	singleKey = []byte("only") // of the buckets with one record
)

const checksumBytes = 8

// stateRecord is the record that every Save writes. It has the first and last entry, so that a missing one is detected.
type stateRecord struct {
	term, vote, commit uint64
	compacted, last    entryID
}

const stateBytes = 7 * 8

func (m logState) state() stateRecord {
	return stateRecord{
		term: m.hardState.GetTerm(), vote: m.hardState.GetVote(), commit: m.hardState.GetCommit(),
		compacted: m.compacted, last: m.last(),
	}
}

func (s stateRecord) encode() []byte {
	data := make([]byte, 0, stateBytes)
	for _, number := range []uint64{
		s.term, s.vote, s.commit, s.compacted.index, s.compacted.term, s.last.index, s.last.term,
	} {
		data = binary.BigEndian.AppendUint64(data, number)
	}
	return data
}

func decodeState(data []byte) (stateRecord, error) {
	if len(data) != stateBytes {
		return stateRecord{}, fmt.Errorf("%w: state of %d bytes", ErrCorrupt, len(data))
	}
	number := func(i int) uint64 { return binary.BigEndian.Uint64(data[8*i:]) }
	return stateRecord{
		term: number(0), vote: number(1), commit: number(2),
		compacted: entryID{index: number(3), term: number(4)},
		last:      entryID{index: number(5), term: number(6)},
	}, nil
}

// encodeRecord returns a record: the payload, and a checksum over bucket, key and payload.
func encodeRecord(bucket, key, payload []byte) []byte {
	record := make([]byte, 0, len(payload)+checksumBytes)
	record = append(record, payload...)
	return binary.BigEndian.AppendUint64(record, checksum(bucket, key, payload))
}

// decodeRecord checks a record and returns its payload, a slice of it.
func decodeRecord(bucket, key, record []byte) ([]byte, error) {
	if len(record) < checksumBytes {
		return nil, fmt.Errorf("%w: record %s/%x of %d bytes", ErrCorrupt, bucket, key, len(record))
	}
	payload := record[:len(record)-checksumBytes]
	if binary.BigEndian.Uint64(record[len(payload):]) != checksum(bucket, key, payload) {
		return nil, fmt.Errorf("%w: checksum of record %s/%x", ErrCorrupt, bucket, key)
	}
	return payload, nil
}

func checksum(bucket, key, payload []byte) uint64 {
	digest := xxhash.New()
	for _, part := range [][]byte{bucket, key} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		_, _ = digest.Write(length[:]) // never fails
		_, _ = digest.Write(part)
	}
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

func putRecord(tx *bolt.Tx, bucket, key, payload []byte) error {
	return tx.Bucket(bucket).Put(key, encodeRecord(bucket, key, payload))
}

func putSnapshot(tx *bolt.Tx, snapshot *raftpb.Snapshot) error {
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return err
	}
	return putRecord(tx, snapshotBucket, singleKey, data)
}

func putEntry(tx *bolt.Tx, entry *raftpb.Entry) error {
	data, err := proto.Marshal(entry)
	if err != nil {
		return err
	}
	return putRecord(tx, entriesBucket, entryKey(entry.GetIndex()), data)
}

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// getRecord returns the payload of the only record of a bucket, a slice of the mapped file.
func getRecord(tx *bolt.Tx, name []byte) ([]byte, error) {
	bucket := tx.Bucket(name)
	if bucket == nil {
		return nil, fmt.Errorf("%w: no bucket %s", ErrCorrupt, name)
	}
	record := bucket.Get(singleKey)
	if record == nil {
		return nil, fmt.Errorf("%w: no record in bucket %s", ErrCorrupt, name)
	}
	return decodeRecord(name, singleKey, record)
}

// decodeEntry reads the record of an entry.
func decodeEntry(key, record []byte) (*raftpb.Entry, error) {
	payload, err := decodeRecord(entriesBucket, key, record)
	if err != nil {
		return nil, err
	}
	entry := &raftpb.Entry{}
	if err := proto.Unmarshal(payload, entry); err != nil {
		return nil, fmt.Errorf("%w: entry %x: %w", ErrCorrupt, key, err)
	}
	if string(entryKey(entry.GetIndex())) != string(key) {
		return nil, fmt.Errorf("%w: entry %d under key %x", ErrCorrupt, entry.GetIndex(), key)
	}
	return entry, nil
}
