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
	identityBucket = []byte("identity") // one record: encodeIdentity
	stateBucket    = []byte("state")    // one record: a stateRecord
	snapshotBucket = []byte("snapshot") // one record: a raftpb.Snapshot
	entriesBucket  = []byte("entries")  // a raftpb.Entry for each key entryKey(index)

	singleKey = []byte("only") // the key of the record in a bucket with one record
)

// checksumBytes is the size of the xxhash that ends each record.
const checksumBytes = 8

// stateRecord is the record that every Save writes. It has the first and last entry, so that a missing one is detected.
type stateRecord struct {
	term, vote, commit uint64
	compacted, last    entryID
}

// stateBytes is the size of an encoded stateRecord: seven numbers of 8 bytes.
const stateBytes = 7 * 8

// state returns the record that Save writes for the log.
func (m logState) state() stateRecord {
	return stateRecord{
		term: m.hardState.GetTerm(), vote: m.hardState.GetVote(), commit: m.hardState.GetCommit(),
		compacted: m.compacted, last: m.last(),
	}
}

// encode returns the payload of the record: its numbers in big endian, in the order of the fields.
func (s stateRecord) encode() []byte {
	data := make([]byte, 0, stateBytes)
	for _, number := range []uint64{
		s.term, s.vote, s.commit, s.compacted.index, s.compacted.term, s.last.index, s.last.term,
	} {
		data = binary.BigEndian.AppendUint64(data, number)
	}
	return data
}

// decodeState decodes the payload of a state record. Its error wraps ErrCorrupt if the size is not stateBytes.
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

// decodeRecord checks the checksum of a record and returns its payload, a slice of it. Its error wraps ErrCorrupt.
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

// checksum returns the xxhash of a record. The lengths of bucket and key are hashed too, so that no bytes can move between
// bucket, key and payload without changing it.
func checksum(bucket, key, payload []byte) uint64 {
	digest := xxhash.New()
	for _, part := range [][]byte{bucket, key} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		_, _ = digest.Write(length[:]) // a Digest returns no error
		_, _ = digest.Write(part)
	}
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// putRecord writes a record under a key of a bucket, which must exist.
func putRecord(tx *bolt.Tx, bucket, key, payload []byte) error {
	return tx.Bucket(bucket).Put(key, encodeRecord(bucket, key, payload))
}

// putSnapshot writes the snapshot record and replaces the one before.
func putSnapshot(tx *bolt.Tx, snapshot *raftpb.Snapshot) error {
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return err
	}
	return putRecord(tx, snapshotBucket, singleKey, data)
}

// putEntry writes the record of an entry under its index.
func putEntry(tx *bolt.Tx, entry *raftpb.Entry) error {
	data, err := proto.Marshal(entry)
	if err != nil {
		return err
	}
	return putRecord(tx, entriesBucket, entryKey(entry.GetIndex()), data)
}

// entryKey returns the key of an entry: its index in big endian, so that keys are in the order of the indexes.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// getRecord returns the payload of the only record of a bucket, a slice of the mapped file that is valid until the transaction
// ends. Its error wraps ErrCorrupt.
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

// decodeEntry decodes the record of an entry and checks that its index is that of its key. Its error wraps ErrCorrupt.
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
