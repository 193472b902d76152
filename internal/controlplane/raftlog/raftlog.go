// Package raftlog is the durable storage of one raft member: hard state, entries and the latest snapshot in one bbolt
// file. Save and Compact sync their writes to disk before they return.
//
// A Log implements raft.Storage with a copy in memory, so that reads cannot fail with an I/O error, on which raft would
// panic. The size of the copy is bounded by the entries that the caller keeps between compactions.
//
// Every record has a checksum over its bucket, key and payload, and Open checks the complete file, including bbolt's
// pages. It cannot detect that a disk returns an earlier, valid version of the file.
//
// After a failed write the Log is unusable for writes, since the content of the disk is unknown after a failed sync: all
// further calls of Save and Compact return the same error until the file is reopened.
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

// Errors of this package. A returned error wraps one of them or is an error of the operating system.
var (
	ErrNotExist     = errors.New("raftlog: log does not exist")
	ErrExists       = errors.New("raftlog: log already exists")
	ErrLocked       = errors.New("raftlog: log is open in another process")
	ErrForeign      = errors.New("raftlog: not the log of this member")
	ErrVersion      = errors.New("raftlog: unsupported format version")
	ErrTruncated    = errors.New("raftlog: file truncated")
	ErrCorrupt      = errors.New("raftlog: file corrupt")
	ErrNoSpace      = errors.New("raftlog: disk full or maximum file size reached")
	ErrInvalidWrite = errors.New("raftlog: write inconsistent with the log")
	ErrClosed       = errors.New("raftlog: log is closed")
)

// DefaultMaxBytes is the default maximum size of the file. A snapshot of 17 MiB and 40 MiB of entries need 114 MiB, since
// bbolt writes new pages before it frees the old ones. That is doubled for fragmentation of the free pages and rounded up.
const DefaultMaxBytes = 256 << 20

const (
	// lockTimeout is how long Open waits for the file lock. The system may release the lock of a killed process with a short
	// delay.
	lockTimeout = 500 * time.Millisecond

	fileMode = 0o600 // readable and writable by the owner only

	// magic is the beginning of the identity record. A bbolt file without it was not written by this package.
	magic = "mothrouter raft log\n"

	// formatVersion is the version of the record format. Open rejects a file of any other version.
	formatVersion = 1

	// identityBytes is the size of the payload of an identity record: magic, version, fleet and node.
	identityBytes = len(magic) + 4 + 8 + 8
)

// Identity identifies the raft member that owns a log.
type Identity struct {
	Fleet uint64 // fingerprint of the fleet
	Node  uint64 // raft id of the member
}

// Options configure a Log.
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

// Create creates and opens a log that starts with a snapshot, which must be the same for all members. A member that lost
// its disk must not rejoin under its old id with a new log, since it would have forgotten its votes and entries. The
// error wraps ErrExists if the file exists, ErrInvalidWrite if the snapshot is empty, or ErrNoSpace.
func Create(path string, options Options, bootstrap *raftpb.Snapshot) (*Log, error) {
	if raft.IsEmptySnap(bootstrap) {
		return nil, fmt.Errorf("%w: empty snapshot, a new log has to start with a snapshot", ErrInvalidWrite)
	}
	if _, err := os.Lstat(path); err == nil {
		return nil, fmt.Errorf("%w: %s", ErrExists, path)
	} else if !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	if err := createFile(path, options, bootstrap); err != nil {
		return nil, err
	}
	return Open(path, options)
}

// createFile writes the file under a temporary name and then renames it, so that a partial file never has its final
// name.
func createFile(path string, options Options, bootstrap *raftpb.Snapshot) error {
	temporary := path + ".new"
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := bolt.Open(temporary, fileMode, &bolt.Options{MaxSize: options.maxBytes()})
	if err != nil {
		return diskError(err)
	}
	log := &Log{db: db}
	err = log.initialize(options.Identity, bootstrap)
	if err := errors.Join(err, db.Close()); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

// initialize creates the buckets of a new log and writes its identity, snapshot and state records.
func (l *Log) initialize(identity Identity, bootstrap *raftpb.Snapshot) error {
	return l.update(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{identityBucket, stateBucket, snapshotBucket, entriesBucket} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		if err := putRecord(tx, identityBucket, singleKey, encodeIdentity(identity)); err != nil {
			return err
		}
		next := logState{}.withSnapshot(bootstrap)
		next.hardState = &raftpb.HardState{
			Term: new(bootstrap.GetMetadata().GetTerm()), Vote: new(uint64(0)), Commit: new(bootstrap.GetMetadata().GetIndex()),
		}
		if err := putSnapshot(tx, bootstrap); err != nil {
			return err
		}
		return putRecord(tx, stateBucket, singleKey, next.state().encode())
	})
}

// Open opens a log, checks the complete file and loads it into memory. The error wraps ErrNotExist, ErrLocked, ErrForeign,
// ErrVersion, ErrTruncated or ErrCorrupt.
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

// openVerified opens and locks an existing file and checks its pages. bbolt later locks the same open file again, which has no
// further effect.
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

// lock locks a file. It waits up to lockTimeout for another process that holds the lock and then returns an error that wraps
// ErrLocked.
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

// Close closes the file and releases its lock. Later writes return ErrClosed, and later calls of Close have no effect.
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

// checkIdentity checks that the payload of an identity record identifies the member want. The error wraps ErrForeign if the
// payload is malformed or identifies another member, ErrVersion if its version is not formatVersion, or ErrCorrupt if its
// size is wrong.
func checkIdentity(data []byte, want Identity) error {
	if len(data) < len(magic)+4 || string(data[:len(magic)]) != magic {
		return fmt.Errorf("%w: identity record does not start with %q", ErrForeign, magic)
	}
	if version := binary.BigEndian.Uint32(data[len(magic):]); version != formatVersion {
		return fmt.Errorf("%w: %d, want %d", ErrVersion, version, formatVersion)
	}
	if len(data) != identityBytes {
		return fmt.Errorf("%w: identity record has %d bytes, want %d", ErrCorrupt, len(data), identityBytes)
	}
	fields := data[len(magic)+4:]
	found := Identity{Fleet: binary.BigEndian.Uint64(fields), Node: binary.BigEndian.Uint64(fields[8:])}
	if found != want {
		return fmt.Errorf("%w: log of fleet %x node %x, want fleet %x node %x", ErrForeign, found.Fleet, found.Node, want.Fleet,
			want.Node)
	}
	return nil
}

// openError wraps an error that bbolt returns for a file with valid pages in ErrForeign, ErrVersion, ErrCorrupt or ErrNoSpace.
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

// diskError wraps errors that report a full disk or file in ErrNoSpace. It also compares their texts, since bbolt does not wrap
// all errors of the operating system.
func diskError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, berrors.ErrMaxSizeReached) {
		return fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		if errors.Is(err, errno) || strings.Contains(err.Error(), errno.Error()) {
			return fmt.Errorf("%w: %w", ErrNoSpace, err)
		}
	}
	return err
}

// recoverCorruption converts a panic of bbolt, or an access fault in its memory-mapped file, to an error that wraps ErrCorrupt.
// It has to be called by defer.
func recoverCorruption(err *error) {
	if cause := recover(); cause != nil {
		*err = fmt.Errorf("%w: %v", ErrCorrupt, cause)
	}
}

// panicOnFault turns an access fault in the memory-mapped file, which would otherwise end the process, into a panic until
// restore is called.
func panicOnFault() (restore func()) {
	previous := debug.SetPanicOnFault(true)
	return func() { debug.SetPanicOnFault(previous) }
}

// syncDirectory syncs a directory, which makes renames in it durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
