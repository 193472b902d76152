package raftlog

import (
	"bytes"
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
)

// filledLog returns the content of a log file with a snapshot, several pages of entries and free pages. It also returns the
// state of the log.
func filledLog(t testing.TB) ([]byte, logState) {
	t.Helper()
	log, path := create(t)
	random := rand.New(rand.NewPCG(9, 9))
	for range 40 {
		require.NoError(t, newRandomWrite(log, random).apply(log))
	}
	state := log.memory
	require.NotEmpty(t, state.entries)
	require.NoError(t, log.Close())
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	return content, state
}

// openContent writes a file with a content and opens it as a log.
func openContent(t testing.TB, content []byte) (*Log, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(path, content, fileMode))
	return Open(path, testOptions)
}

// isInvalidFile reports whether an error wraps one of the errors that Open returns for an invalid file.
func isInvalidFile(err error) bool {
	for _, target := range []error{ErrForeign, ErrVersion, ErrTruncated, ErrCorrupt} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// corruptionTrials is the number of changed files that TestOpenDetectsChangedBytes opens.
var corruptionTrials = flag.Int("changes", 250, "number of trials of TestOpenDetectsChangedBytes")

// TestOpenDetectsChangedBytes changes one to three random bytes of a file. Open must either reject it or return the original
// state, if the bytes are in free space.
func TestOpenDetectsChangedBytes(t *testing.T) {
	t.Parallel()
	content, want := filledLog(t)
	lastUsed := bytes.LastIndexFunc(content, func(r rune) bool { return r != 0 })
	random := rand.New(rand.NewPCG(1, 2))
	rejected := 0
	trials := *corruptionTrials
	for range trials {
		corrupt := bytes.Clone(content)
		for range 1 + random.IntN(3) {
			corrupt[random.IntN(lastUsed+1)] ^= byte(1 + random.IntN(255))
		}
		log, err := openContent(t, corrupt)
		if err != nil {
			require.True(t, isInvalidFile(err), "%v", err)
			rejected++
			continue
		}
		requireEqualStates(t, want, log.memory)
		require.NoError(t, log.Close())
	}
	t.Logf("%d of %d changed files rejected, the other changes hit free space", rejected, trials)
	require.Greater(t, rejected, trials/10)
}

// TestOpenDetectsChangeInEveryRecord changes one byte of each record in turn.
func TestOpenDetectsChangeInEveryRecord(t *testing.T) {
	content, want := filledLog(t)
	for _, stored := range want.entries {
		payload, err := proto.Marshal(stored)
		require.NoError(t, err)
		record := encodeRecord(entriesBucket, entryKey(stored.GetIndex()), payload)
		requireChangeDetected(t, content, record)
	}
	state := encodeRecord(stateBucket, singleKey, want.state().encode())
	requireChangeDetected(t, content, state)
	snapshot, err := proto.Marshal(want.snapshot)
	require.NoError(t, err)
	requireChangeDetected(t, content, encodeRecord(snapshotBucket, singleKey, snapshot))
	requireChangeDetected(t, content, encodeRecord(identityBucket, singleKey, encodeIdentity(testOptions.Identity)))
}

// requireChangeDetected changes a byte in each copy of a record in a file, and requires that Open returns ErrCorrupt.
func requireChangeDetected(t *testing.T, content, record []byte) {
	t.Helper()
	corrupt := bytes.Clone(content)
	found := 0
	for offset := 0; ; found++ { // free pages may contain further copies of the record
		next := bytes.Index(corrupt[offset:], record)
		if next < 0 {
			break
		}
		offset += next
		corrupt[offset+len(record)/2] ^= 0x40
		offset++
	}
	require.Positive(t, found, "record not found in the file")
	_, err := openContent(t, corrupt)
	require.ErrorIs(t, err, ErrCorrupt)
}

// TestOpenDetectsMissingEntry deletes the record of the last entry, to which the state record refers.
func TestOpenDetectsMissingEntry(t *testing.T) {
	log, path := create(t)
	require.NoError(t, log.Save(hardState(2, 0, 2), entries(2, 9, 2), nil))
	require.NoError(t, log.db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket(entriesBucket).Delete(entryKey(9))
	}))
	require.NoError(t, log.Close())
	_, err := Open(path, testOptions)
	require.ErrorIs(t, err, ErrCorrupt)
	require.ErrorContains(t, err, "last entry is 8 of term 2, want 9 of term 2")
}

func TestOpenRejectsTruncatedFile(t *testing.T) {
	content, want := filledLog(t)
	random := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		log, err := openContent(t, content[:random.IntN(len(content))])
		if err == nil { // only unused bytes at the end were removed
			requireEqualStates(t, want, log.memory)
			require.NoError(t, log.Close())
			continue
		}
		require.True(t, isInvalidFile(err), "%v", err)
	}
	_, err := openContent(t, nil)
	require.ErrorIs(t, err, ErrTruncated)
	_, err = openContent(t, content[:len(content)/16])
	require.Error(t, err)
}

func TestOpenRejectsForeignFile(t *testing.T) {
	_, err := openContent(t, []byte(strings.Repeat("not a raft log\n", 1000)))
	require.ErrorIs(t, err, ErrForeign)

	path := filepath.Join(t.TempDir(), "log")
	db, err := bolt.Open(path, fileMode, nil)
	require.NoError(t, err)
	require.NoError(t, db.Close())
	_, err = Open(path, testOptions)
	require.ErrorIs(t, err, ErrForeign, "a bbolt file of another program")
}

func TestOpenRejectsOtherVersion(t *testing.T) {
	log, path := create(t)
	identity := encodeIdentity(testOptions.Identity)
	identity[len(magic)+3] = formatVersion + 1
	require.NoError(t, log.db.Update(func(tx *bolt.Tx) error { return putRecord(tx, identityBucket, singleKey, identity) }))
	require.NoError(t, log.Close())
	_, err := Open(path, testOptions)
	require.ErrorIs(t, err, ErrVersion)
}

// TestVerifyPagesAcceptsDeepTreesAndLongFreelists opens a log with thousands of entries, and then with thousands of free pages.
func TestVerifyPagesAcceptsDeepTreesAndLongFreelists(t *testing.T) {
	log, path := create(t)
	require.NoError(t, log.Save(hardState(2, 0, 2), entries(2, 3000, 2), nil))
	log = reopen(t, log, path)
	require.NoError(t, log.Save(hardState(2, 0, 3000), nil, nil))
	require.NoError(t, log.Compact(snapshotAt(3000, 2, strings.Repeat("s", 5<<20)), 2999))
	log = reopen(t, log, path)
	require.NoError(t, log.Save(nil, entries(3001, 3100, 2), nil))
	reopen(t, log, path)
}

// FuzzDecodeEntry decodes arbitrary records: each must be rejected with ErrCorrupt or have the index of its key.
func FuzzDecodeEntry(f *testing.F) {
	payload, err := proto.Marshal(entry(5, 2, "content"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint64(5), encodeRecord(entriesBucket, entryKey(5), payload))
	f.Add(uint64(6), encodeRecord(entriesBucket, entryKey(5), payload))
	f.Add(uint64(6), encodeRecord(entriesBucket, entryKey(6), payload))
	f.Add(uint64(5), []byte("short"))
	f.Fuzz(func(t *testing.T, index uint64, record []byte) {
		key := entryKey(index)
		found, err := decodeEntry(key, record)
		if err == nil {
			require.Equal(t, index, found.GetIndex())
			return
		}
		require.ErrorIs(t, err, ErrCorrupt)
		checksummed, err := decodeEntry(key, encodeRecord(entriesBucket, key, record))
		if err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
		} else {
			require.Equal(t, index, checksummed.GetIndex())
		}
		if _, err := decodeState(record); err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
		}
	})
}
