package raftlog

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Names of the buckets. The state and the snapshot are in separate buckets, since bbolt rewrites all pages of a leaf: every
// Save writes the state record of 56 bytes, while a snapshot can have megabytes.
var (
	identityBucket = []byte("identity") // one record, see encodeIdentity
	stateBucket    = []byte("state")    // one record: a stateRecord
	snapshotBucket = []byte("snapshot") // one record: a raftpb.Snapshot
	entriesBucket  = []byte("entries")  // a raftpb.Entry for each key entryKey(index)

	singleKey = []byte("only") // key of the record in a bucket with only one record
)

// checksumBytes is the size of the xxhash at the end of each record.
const checksumBytes = 8

// stateRecord is the content of the state record, which every Save writes. It has the ids of the latest compacted entry and of
// the last entry, so that missing entries are detected. Its other fields are the hard state.
type stateRecord struct {
	term      uint64
	vote      uint64 // raft id of the candidate that got the vote in term; 0: none
	commit    uint64 // commit index
	compacted entryID
	last      entryID
}

// stateBytes is the size of an encoded stateRecord: seven numbers of 8 bytes.
const stateBytes = 7 * 8

// state returns the state record.
func (s logState) state() stateRecord {
	return stateRecord{
		term:      s.hardState.GetTerm(),
		vote:      s.hardState.GetVote(),
		commit:    s.hardState.GetCommit(),
		compacted: s.compacted,
		last:      s.last(),
	}
}

// encode returns the payload of the record: its numbers as 8 bytes each in big endian, in the order of the fields.
func (s stateRecord) encode() []byte {
	data := make([]byte, 0, stateBytes)
	for _, number := range []uint64{
		s.term, s.vote, s.commit, s.compacted.index, s.compacted.term, s.last.index, s.last.term,
	} {
		data = binary.BigEndian.AppendUint64(data, number)
	}
	return data
}

// decodeState decodes the payload of a state record. The error wraps ErrCorrupt if the size is not stateBytes.
func decodeState(data []byte) (stateRecord, error) {
	if len(data) != stateBytes {
		return stateRecord{}, fmt.Errorf("%w: state record has %d bytes, want %d", ErrCorrupt, len(data), stateBytes)
	}
	number := func(i int) uint64 { return binary.BigEndian.Uint64(data[8*i:]) }
	return stateRecord{
		term:      number(0),
		vote:      number(1),
		commit:    number(2),
		compacted: entryID{index: number(3), term: number(4)},
		last:      entryID{index: number(5), term: number(6)},
	}, nil
}

// encodeRecord returns a record: the payload, followed by a checksum over bucket, key and payload.
func encodeRecord(bucket, key, payload []byte) []byte {
	record := make([]byte, 0, len(payload)+checksumBytes)
	record = append(record, payload...)
	return binary.BigEndian.AppendUint64(record, checksum(bucket, key, payload))
}

// decodeRecord verifies the checksum of a record and returns its payload, a subslice of record. The error wraps ErrCorrupt.
func decodeRecord(bucket, key, record []byte) ([]byte, error) {
	if len(record) < checksumBytes {
		return nil, fmt.Errorf("%w: record %s/%x has %d bytes, want at least %d", ErrCorrupt, bucket, key, len(record), checksumBytes)
	}
	payload := record[:len(record)-checksumBytes]
	found, want := checksum(bucket, key, payload), binary.BigEndian.Uint64(record[len(payload):])
	if found != want {
		return nil, fmt.Errorf("%w: record %s/%x has checksum %x, want %x", ErrCorrupt, bucket, key, found, want)
	}
	return payload, nil
}

// checksum returns the xxhash over bucket, key and payload. The lengths of bucket and key are included, so that a shift of
// bytes between bucket, key and payload changes the checksum.
func checksum(bucket, key, payload []byte) uint64 {
	digest := xxhash.New()
	for _, part := range [][]byte{bucket, key} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		_, _ = digest.Write(length[:]) // Write never returns an error
		_, _ = digest.Write(part)
	}
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// putRecord writes a record to a key of a bucket, which must exist.
func putRecord(tx *bolt.Tx, bucket, key, payload []byte) error {
	return tx.Bucket(bucket).Put(key, encodeRecord(bucket, key, payload))
}

// putSnapshot writes the snapshot record and replaces the previous one.
func putSnapshot(tx *bolt.Tx, snapshot *raftpb.Snapshot) error {
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return err
	}
	return putRecord(tx, snapshotBucket, singleKey, data)
}

// putEntry writes the record of an entry with its index as the key.
func putEntry(tx *bolt.Tx, entry *raftpb.Entry) error {
	data, err := proto.Marshal(entry)
	if err != nil {
		return err
	}
	return putRecord(tx, entriesBucket, entryKey(entry.GetIndex()), data)
}

// entryKey returns the key of an entry: its index in big endian, so that keys sort by index.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// getRecord returns the payload of the only record in a bucket, a slice of the memory-mapped file that is valid until the
// transaction ends. The error wraps ErrCorrupt.
func getRecord(tx *bolt.Tx, name []byte) ([]byte, error) {
	bucket := tx.Bucket(name)
	if bucket == nil {
		return nil, fmt.Errorf("%w: bucket %s is missing", ErrCorrupt, name)
	}
	record := bucket.Get(singleKey)
	if record == nil {
		return nil, fmt.Errorf("%w: bucket %s has no record %s", ErrCorrupt, name, singleKey)
	}
	return decodeRecord(name, singleKey, record)
}

// decodeEntry decodes the record of an entry and checks that its index matches its key. The error wraps ErrCorrupt.
func decodeEntry(key, record []byte) (*raftpb.Entry, error) {
	payload, err := decodeRecord(entriesBucket, key, record)
	if err != nil {
		return nil, err
	}
	entry := &raftpb.Entry{}
	if err := proto.Unmarshal(payload, entry); err != nil {
		return nil, fmt.Errorf("%w: record %s/%x: %w", ErrCorrupt, entriesBucket, key, err)
	}
	if string(entryKey(entry.GetIndex())) != string(key) {
		return nil, fmt.Errorf("%w: record %s/%x contains entry %d", ErrCorrupt, entriesBucket, key, entry.GetIndex())
	}
	return entry, nil
}
