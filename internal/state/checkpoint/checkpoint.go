// Package checkpoint saves a broker's server-health state to a folder and restores it after a restart. It drives the
// packages snapshot, the file format, and recovery, which collects the state and decides which of it is still valid. Saves
// run beside the broker's loop, which never waits for I/O.
package checkpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"mothrouter/internal/decision"
	"mothrouter/internal/state/recovery"
	"mothrouter/internal/state/snapshot"
)

// Names of the files in the folder.
const (
	FileName       = "learned.moth"
	QuarantineName = "learned.moth.bad" // the latest unusable file
	lockName       = "lock"
)

// intervalJitter is the maximum deviation of the time between two saves, as a fraction of the interval, so that brokers that
// started together do not save together.
const intervalJitter = 0.25

// randomStream is the second word of the seed of a saver's random numbers.
const randomStream = 0x510e527fade682d1

// Files is the file access of a Saver. Tests inject faults through it.
type Files interface {
	Read(path string) ([]byte, error)
	// Replace writes a file atomically in place of another, and returns once it is durable.
	Replace(path string, b []byte) error
	Rename(from, to string) error
}

// Disk is the Files of the operating system.
type Disk struct{}

// Read reads a file, up to one byte more than snapshot.MaxSize.
func (Disk) Read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	return io.ReadAll(io.LimitReader(f, snapshot.MaxSize+1))
}

// Replace writes and syncs a temporary file and renames it.
func (Disk) Replace(path string, b []byte) error {
	return renameio.WriteFile(path, b, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}

// Rename renames a file.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// errNotLocked is the error of a save by a process that does not hold the folder's lock.
var errNotLocked = errors.New("the state folder is locked by another process")

// Options configure a Saver.
type Options struct {
	Folder   string
	Interval time.Duration // mean time between two saves
	Instance string        // name of the broker
	Settings uint64        // snapshot.Fingerprint of its settings
	Seed     uint64        // of random numbers
	Files    Files         // nil: Disk
	Log      *slog.Logger
}

// Saver saves the server-health state of one broker. Make it with Open.
type Saver struct {
	options Options
	rng     *rand.Rand
	now     func() float64

	collectorMu sync.Mutex // guards collector; held for the few steps of a batch, never across I/O
	collector   *recovery.Collector
	restored    *snapshot.Snapshot // state of the previous process; nil: none usable

	folderMu          sync.Mutex // guards the following fields and the folder; held across I/O
	lockFile          *os.File
	lastLoggedFailure string // message of the failure logged last, not logged again until it changes; "": the last save succeeded
}

// Open locks the folder and reads the state in it. It never fails: without a usable folder or file the start is blank, and
// a log line has the reason.
func Open(opt Options) *Saver {
	if opt.Files == nil {
		opt.Files = Disk{}
	}
	k := &Saver{options: opt, rng: rand.New(rand.NewPCG(opt.Seed, randomStream)), collector: recovery.NewCollector(),
		now: func() float64 { return float64(time.Now().UnixNano()) / 1e9 }}
	k.folderMu.Lock()
	defer k.folderMu.Unlock()
	mine := k.tryLock()
	if mine {
		k.removeTemporaryFiles()
	}
	k.restore(mine)
	return k
}

// restore reads the saved state and logs whether it is usable. The caller holds folderMu; mine is whether it holds the
// folder's lock.
func (k *Saver) restore(mine bool) {
	s, err := k.read()
	log := k.options.Log
	switch {
	case errors.Is(err, fs.ErrNotExist):
		log.Info("no saved state, starting blank", "folder", k.options.Folder)
	case err != nil && mine:
		k.quarantine(err)
	case err != nil:
		log.Warn("saved state unusable, starting blank", "error", err)
	case recovery.CheckAge(s, k.now()) != nil:
		log.Info("saved state too old, starting blank", "error", recovery.CheckAge(s, k.now()))
	default:
		k.restored = s
		log.Info("saved state restored", "servers", len(s.Servers), "age", fmt.Sprintf("%.1f s", k.now()-s.WrittenAt))
	}
}

// read reads and decodes the saved state, and checks that it is this broker's.
func (k *Saver) read() (*snapshot.Snapshot, error) {
	b, err := k.options.Files.Read(filepath.Join(k.options.Folder, FileName))
	if err != nil {
		return nil, err
	}
	s, err := snapshot.Decode(b)
	if err != nil {
		return nil, err
	}
	return s, s.CheckOwner(k.options.Instance, k.options.Settings)
}

// quarantine renames an unusable file, so that it is kept for inspection and not read again.
func (k *Saver) quarantine(reason error) {
	path := filepath.Join(k.options.Folder, FileName)
	aside := filepath.Join(k.options.Folder, QuarantineName)
	moved := k.options.Files.Rename(path, aside) == nil
	k.options.Log.Warn("saved state unusable, starting blank", "error", reason, "quarantine", aside, "moved", moved)
}

// removeTemporaryFiles removes the temporary files of writers that were killed during a save. The caller holds the lock.
func (k *Saver) removeTemporaryFiles() {
	left, _ := filepath.Glob(filepath.Join(k.options.Folder, "."+FileName+"*"))
	for _, path := range left {
		if err := os.Remove(path); err != nil {
			k.options.Log.Warn("stale temporary file not removed", "path", path, "error", err)
		}
	}
}

// tryLock reports whether this process holds the folder's lock, and acquires it if it is free. A process that replaces another
// reads at once, and writes once the other has released the lock. The caller holds folderMu.
func (k *Saver) tryLock() bool {
	path := filepath.Join(k.options.Folder, lockName)
	if k.lockFile != nil {
		held, err1 := k.lockFile.Stat()
		there, err2 := os.Stat(path)
		if err1 == nil && err2 == nil && os.SameFile(held, there) {
			return true
		}
		_ = k.lockFile.Close() // the folder was removed or replaced, and the lock with it
		k.lockFile = nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		k.logOnce("state folder unusable", err)
		return false
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written to it
		k.logOnce("state folder locked by another process", err)
		return false
	}
	k.lockFile = f
	return true
}

// logOnce logs a failure unless it is the one logged last. The caller holds folderMu.
func (k *Saver) logOnce(what string, err error) {
	if k.lastLoggedFailure != what {
		k.lastLoggedFailure = what
		k.options.Log.Warn(what, "error", err, "folder", k.options.Folder)
	}
}

// Save writes the present state. It logs a failure and returns it; errNotLocked: another process holds the folder's lock.
func (k *Saver) Save() error {
	k.collectorMu.Lock()
	s := k.collector.Snapshot(k.now())
	k.collectorMu.Unlock()
	k.folderMu.Lock()
	defer k.folderMu.Unlock()
	if !k.tryLock() {
		return errNotLocked
	}
	s.Instance, s.SettingsFingerprint = k.options.Instance, k.options.Settings
	b, err := snapshot.Encode(s)
	if err == nil {
		err = k.options.Files.Replace(filepath.Join(k.options.Folder, FileName), b)
	}
	if err != nil {
		k.logOnce("state not saved", err)
		return err
	}
	if k.lastLoggedFailure != "" {
		k.lastLoggedFailure = ""
		k.options.Log.Info("state saved again")
	}
	return nil
}

// Run saves at jittered intervals until ctx ends, then once more, and releases the lock.
func (k *Saver) Run(ctx context.Context) {
	for {
		span := float64(k.options.Interval) * (1 - intervalJitter + 2*intervalJitter*k.rng.Float64())
		t := time.NewTimer(time.Duration(span))
		select {
		case <-ctx.Done():
			t.Stop()
			_ = k.Save() // it has logged why it failed
			k.folderMu.Lock()
			defer k.folderMu.Unlock()
			if k.lockFile != nil {
				_ = k.lockFile.Close() // nothing was written to it
				k.lockFile = nil
			}
			return
		case <-t.C:
			_ = k.Save() // it has logged why it failed, and is tried again
		}
	}
}

// Watch wraps a Decider. It collects state from the events, and adds the restored state to the batch of the first endpoint
// update.
func (k *Saver) Watch(d decision.Decider) decision.Decider {
	return &watchedDecider{saver: k, inner: d}
}

type watchedDecider struct {
	saver    *Saver
	inner    decision.Decider
	restored bool
}

// Handle implements decision.Decider.
func (w *watchedDecider) Handle(now float64, events []decision.Event) []decision.Action {
	return w.inner.Handle(now, w.saver.collect(now, events, &w.restored))
}

// collect collects state from a batch of events and returns the batch, with the restored state appended to that of the first
// endpoint update, which sets restoredOnce.
func (k *Saver) collect(now float64, events []decision.Event, restoredOnce *bool) []decision.Event {
	k.collectorMu.Lock()
	defer k.collectorMu.Unlock()
	for _, e := range events {
		switch e := e.(type) {
		case decision.EndpointUpdate:
			k.collector.UpdateEndpoints(e)
			if !*restoredOnce && len(e.Servers) > 0 && k.restored != nil {
				*restoredOnce = true
				events = append(events, recovery.Restore(k.restored, e.Servers, now)...)
			}
		case decision.AttemptFinished:
			k.collector.RecordOutcome(now, e.Server, e.Status, e.Latency, e.LoadReport)
		case decision.HealthChecked:
			if e.Status != decision.OK || e.LoadReport != decision.NoLoadReport {
				k.collector.RecordOutcome(now, e.Server, decision.NotSent, 0, e.LoadReport)
			}
		}
	}
	return events
}
