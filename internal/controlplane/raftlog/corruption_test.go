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

// filledLog returns the content of a file with a snapshot, entries of several pages and free pages.
func filledLog(t testing.TB) ([]byte, logState) {
	t.Helper()
	log, path := create(t)
	random := rand.New(rand.NewPCG(9, 9))
	for range 40 {
		require.NoError(t, randomWrite(log, random).write(log))
	}
	kept := log.memory
	require.NotEmpty(t, kept.entries)
	require.NoError(t, log.Close())
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	return content, kept
}

func openContent(t testing.TB, content []byte) (*Log, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(path, content, fileMode))
	return Open(path, testOptions)
}

func isSentinel(err error) bool {
	for _, named := range []error{ErrForeign, ErrVersion, ErrTorn, ErrCorrupt} {
		if errors.Is(err, named) {
			return true
		}
	}
	return false
}

var corruptionTrials = flag.Int("changes", 250, "trials of TestChangedBytesAreDetected")

// TestOpenDetectsChangedBytes changes bytes anywhere: the log is refused with an error that has a name, or nothing
// that it holds has changed.
func TestOpenDetectsChangedBytes(t *testing.T) {
	t.Parallel()
	content, kept := filledLog(t)
	used := bytes.LastIndexFunc(content, func(r rune) bool { return r != 0 })
	random := rand.New(rand.NewPCG(1, 2))
	refused := 0
	changes := *corruptionTrials
	for range changes {
		damaged := bytes.Clone(content)
		for range 1 + random.IntN(3) {
			damaged[random.IntN(used+1)] ^= byte(1 + random.IntN(255))
		}
		log, err := openContent(t, damaged)
		if err != nil {
			require.True(t, isSentinel(err), "%v", err)
			refused++
			continue
		}
		requireSame(t, kept, log.memory)
		require.NoError(t, log.Close())
	}
	t.Logf("%d of %d changes refused, the others hit free space", refused, changes)
	require.Greater(t, refused, changes/10)
}

// TestOpenDetectsChangeInEveryRecord changes a byte within each record.
func TestOpenDetectsChangeInEveryRecord(t *testing.T) {
	content, kept := filledLog(t)
	for _, stored := range kept.entries {
		payload, err := proto.Marshal(stored)
		require.NoError(t, err)
		record := encodeRecord(entriesBucket, entryKey(stored.GetIndex()), payload)
		requireChangeDetected(t, content, record)
	}
	state := encodeRecord(stateBucket, singleKey, kept.state().encode())
	requireChangeDetected(t, content, state)
	snapshot, err := proto.Marshal(kept.snapshot)
	require.NoError(t, err)
	requireChangeDetected(t, content, encodeRecord(snapshotBucket, singleKey, snapshot))
	requireChangeDetected(t, content, encodeRecord(identityBucket, singleKey, encodeIdentity(testOptions.Identity)))
}

func requireChangeDetected(t *testing.T, content, record []byte) {
	t.Helper()
	damaged := bytes.Clone(content)
	found := 0
	for at := 0; ; found++ { // older pages may hold the same record
		next := bytes.Index(damaged[at:], record)
		if next < 0 {
			break
		}
		at += next
		damaged[at+len(record)/2] ^= 0x40
		at++
	}
	require.Positive(t, found, "the record is in the file")
	_, err := openContent(t, damaged)
	require.ErrorIs(t, err, ErrCorrupt)
}

// TestOpenDetectsMissingEntry shortens the count of a page, which hides its last record from bbolt.
func TestOpenDetectsMissingEntry(t *testing.T) {
	log, path := create(t)
	require.NoError(t, log.Save(hardState(2, 0, 2), entries(2, 9, 2), nil))
	require.NoError(t, log.db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket(entriesBucket).Delete(entryKey(9))
	}))
	require.NoError(t, log.Close())
	_, err := Open(path, testOptions)
	require.ErrorIs(t, err, ErrCorrupt)
	require.ErrorContains(t, err, "last entry is 8, not 9")
}

func TestOpenRejectsTruncatedFile(t *testing.T) {
	content, kept := filledLog(t)
	random := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		log, err := openContent(t, content[:random.IntN(len(content))])
		if err == nil { // only unused room at the end is gone
			requireSame(t, kept, log.memory)
			require.NoError(t, log.Close())
			continue
		}
		require.True(t, isSentinel(err), "%v", err)
	}
	_, err := openContent(t, nil)
	require.ErrorIs(t, err, ErrTorn)
	_, err = openContent(t, content[:len(content)/16])
	require.Error(t, err)
}

func TestOpenRejectsForeignFile(t *testing.T) {
	_, err := openContent(t, []byte(strings.Repeat("a letter to nobody\n", 1000)))
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

// TestVerifyPagesAcceptsDeepTreesAndLongFreelists plays logs of many shapes, so that trees have depth and free lists many pages.
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

// FuzzDecodeEntry reads records of any content: only what encodeRecord returns for its bucket and key is accepted.
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
		resealed, err := decodeEntry(key, encodeRecord(entriesBucket, key, record))
		if err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
		} else {
			require.Equal(t, index, resealed.GetIndex())
		}
		if _, err := decodeState(record); err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
		}
	})
}
