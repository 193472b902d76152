// Package raftlog is the durable storage of one raft member: hard state, entries and the latest snapshot in one bbolt
// file. Save and Compact return after their write is synced to disk.
//
// A Log implements raft.Storage from a copy in memory, so a read has no I/O error, on which raft would panic. The size of
// the copy is bounded by the entries that its caller keeps between compactions.
//
// Every record has a checksum over its bucket, key and payload, and Open checks the complete file, including bbolt's
// pages. It cannot detect a disk that returns an earlier, valid version of the file.
//
// After a failed write the log is broken, since the content of the disk is unknown after a failed sync. Every further
// Save and Compact returns that error until the file is reopened.
//
// A Log is not safe for concurrent use.
package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Errors of this package. Returned errors wrap one of them or are those of the system.
var (
	ErrNotExist     = errors.New("raftlog: no such log")
	ErrExists       = errors.New("raftlog: log exists already")
	ErrLocked       = errors.New("raftlog: log is open in another process")
	ErrForeign      = errors.New("raftlog: not the log of this member")
	ErrVersion      = errors.New("raftlog: log of another version")
	ErrTorn         = errors.New("raftlog: file is shorter than its content")
	ErrCorrupt      = errors.New("raftlog: file corrupt")
	ErrNoSpace      = errors.New("raftlog: no room on the disk")
	ErrInvalidWrite = errors.New("raftlog: write that doesn't fit the log")
	ErrClosed       = errors.New("raftlog: log is closed")
)

// DefaultMaxBytes bounds the file: a snapshot of 17 MiB and 40 MiB of entries, each twice while bbolt writes the new
// pages beside the old ones, are 114 MiB; doubled for pages that are free but scattered, and rounded up.
const DefaultMaxBytes = 256 << 20

const (
	// lockTimeout is the maximum time that Open waits for the file lock: the system may release that of a killed process
	// shortly after its end.
	lockTimeout = 500 * time.Millisecond

	fileMode = 0o600 // readable and writable by the owner alone

	// magic is the start of every identity record. A bbolt file without it was not written by this package.
	magic = "mothrouter raft log\n"

	// formatVersion is the version of the records. Open rejects a file of any other version.
	formatVersion = 1

	// identityBytes is the size of an identity record: magic, version, fleet and node.
	identityBytes = len(magic) + 4 + 8 + 8
)

// Identity identifies the member whose log a file is.
type Identity struct {
	Fleet uint64 // fingerprint of the fleet
	Node  uint64 // raft id of the member
}

// Options are the options of a log.
type Options struct {
	Identity Identity
	MaxBytes int // maximum size of the file; 0 or less: DefaultMaxBytes
}

// Log is an open log.
type Log struct {
	db        *bolt.DB
	memory    logState
	brokenErr error // if not nil, every write returns it
}

var _ raft.Storage = (*Log)(nil)

// Create makes a new log that starts with a snapshot, which all members must share, and opens it. A member that lost
// its disk must not come back under its old id with a new log: it would have forgotten its votes and entries. Its
// error wraps ErrExists where there is a file already, ErrInvalidWrite where the snapshot is empty, or ErrNoSpace.
func Create(path string, options Options, start *raftpb.Snapshot) (*Log, error) {
	if raft.IsEmptySnap(start) {
		return nil, fmt.Errorf("%w: a log starts with a snapshot", ErrInvalidWrite)
	}
	if _, err := os.Lstat(path); err == nil {
		return nil, fmt.Errorf("%w: %s", ErrExists, path)
	} else if !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	if err := createFile(path, options, start); err != nil {
		return nil, err
	}
	return Open(path, options)
}

// createFile writes the file under a temporary name and then renames it, so that a partial file never has its final
// name.
func createFile(path string, options Options, start *raftpb.Snapshot) error {
	unfinished := path + ".new"
	if err := os.Remove(unfinished); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := bolt.Open(unfinished, fileMode, &bolt.Options{MaxSize: options.maxBytes()})
	if err != nil {
		return diskError(err)
	}
	log := &Log{db: db}
	err = log.initialize(options.Identity, start)
	if err := errors.Join(err, db.Close()); err != nil {
		return err
	}
	if err := os.Rename(unfinished, path); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

// initialize writes the identity, the snapshot and the state of a new log.
func (l *Log) initialize(identity Identity, start *raftpb.Snapshot) error {
	return l.update(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{identityBucket, stateBucket, snapshotBucket, entriesBucket} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		if err := putRecord(tx, identityBucket, singleKey, encodeIdentity(identity)); err != nil {
			return err
		}
		next := logState{}.withSnapshot(start)
		next.hardState = &raftpb.HardState{
			Term: new(start.GetMetadata().GetTerm()), Vote: new(uint64(0)), Commit: new(start.GetMetadata().GetIndex()),
		}
		if err := putSnapshot(tx, start); err != nil {
			return err
		}
		return putRecord(tx, stateBucket, singleKey, next.state().encode())
	})
}

// Open opens a log, checks the complete file and loads it. Its error wraps ErrNotExist, ErrLocked, ErrForeign, ErrVersion,
// ErrTorn or ErrCorrupt.
func Open(path string, options Options) (log *Log, err error) {
	defer recoverCorruption(&err)
	var verifyErr error
	db, err := bolt.Open(path, fileMode, &bolt.Options{
		MaxSize: options.maxBytes(),
		OpenFile: func(name string, _ int, mode os.FileMode) (*os.File, error) {
			var file *os.File
			file, verifyErr = openVerified(name, mode)
			return file, verifyErr
		},
	})
	if verifyErr != nil {
		return nil, verifyErr
	}
	if err != nil {
		return nil, openError(err)
	}
	log = &Log{db: db}
	if err := log.load(options.Identity); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return log, nil
}

// openVerified opens and locks an existing file and checks its pages. The lock is the one that bbolt takes anew.
func openVerified(name string, mode os.FileMode) (*os.File, error) {
	file, err := os.OpenFile(name, os.O_RDWR, mode)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%w: %s", ErrNotExist, name)
	}
	if err != nil {
		return nil, err
	}
	err = lock(file)
	if err == nil {
		err = verifyPages(file)
	}
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

// lock locks a file, within lockTimeout. Its error wraps ErrLocked if another process holds the lock.
func lock(file *os.File) error {
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockTimeout / 50) {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %s", ErrLocked, file.Name())
		}
	}
}

// Close closes the file. It is safe to call it twice.
func (l *Log) Close() error {
	if l.db == nil {
		return nil
	}
	err := l.db.Close()
	l.db = nil
	l.brokenErr = ErrClosed
	return err
}

// maxBytes returns the maximum size of the file in bytes, DefaultMaxBytes unless MaxBytes is positive.
func (o Options) maxBytes() int {
	if o.MaxBytes > 0 {
		return o.MaxBytes
	}
	return DefaultMaxBytes
}

// encodeIdentity returns the payload of an identity record: the magic, then version, fleet and node in big endian.
func encodeIdentity(identity Identity) []byte {
	data := []byte(magic)
	data = binary.BigEndian.AppendUint32(data, formatVersion)
	data = binary.BigEndian.AppendUint64(data, identity.Fleet)
	return binary.BigEndian.AppendUint64(data, identity.Node)
}

// checkIdentity checks that the payload of an identity record names a member. Its error wraps ErrForeign if it is no identity
// record or names another member, ErrVersion if its version is not formatVersion, or ErrCorrupt if its size is wrong.
func checkIdentity(data []byte, want Identity) error {
	if len(data) < len(magic)+4 || string(data[:len(magic)]) != magic {
		return fmt.Errorf("%w: malformed identity record", ErrForeign)
	}
	if version := binary.BigEndian.Uint32(data[len(magic):]); version != formatVersion {
		return fmt.Errorf("%w: %d, not %d", ErrVersion, version, formatVersion)
	}
	if len(data) != identityBytes {
		return fmt.Errorf("%w: identity of %d bytes", ErrCorrupt, len(data))
	}
	numbers := data[len(magic)+4:]
	found := Identity{Fleet: binary.BigEndian.Uint64(numbers), Node: binary.BigEndian.Uint64(numbers[8:])}
	if found != want {
		return fmt.Errorf("%w: fleet %x node %x, not fleet %x node %x", ErrForeign, found.Fleet, found.Node, want.Fleet,
			want.Node)
	}
	return nil
}

// openError wraps an error of bbolt on a file whose pages are valid in ErrForeign, ErrVersion or ErrCorrupt.
func openError(err error) error {
	switch {
	case errors.Is(err, berrors.ErrInvalid):
		return fmt.Errorf("%w: %w", ErrForeign, err)
	case errors.Is(err, berrors.ErrVersionMismatch):
		return fmt.Errorf("%w: %w", ErrVersion, err)
	case errors.Is(err, berrors.ErrChecksum):
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return diskError(err)
}

// diskError wraps the errors of a full disk or file in ErrNoSpace. bbolt returns some errors of the system as text only.
func diskError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, berrors.ErrMaxSizeReached) {
		return fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	for _, full := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		if errors.Is(err, full) || strings.Contains(err.Error(), full.Error()) {
			return fmt.Errorf("%w: %w", ErrNoSpace, err)
		}
	}
	return err
}

// recoverCorruption converts a panic of bbolt, or a fault in its mapped file, to an error that wraps ErrCorrupt. It has to
// be deferred.
func recoverCorruption(err *error) {
	if cause := recover(); cause != nil {
		*err = fmt.Errorf("%w: %v", ErrCorrupt, cause)
	}
}

// panicOnFault makes a fault in the mapped file a panic until the function that it returns is called.
func panicOnFault() (restore func()) {
	before := debug.SetPanicOnFault(true)
	return func() { debug.SetPanicOnFault(before) }
}

// syncDirectory syncs a directory, which makes a rename in it durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
