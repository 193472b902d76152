// Package checkpoint saves what a broker has learned to a folder and reads it after a restart: the driver beside
// packages snapshot (the file) and recovery (what of it counts). It works beside the loop and never has it wait.
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
	QuarantineName = "learned.moth.bad" // the latest file that could not be used
	lockName       = "lock"

	intervalJitter = 0.25 // of the interval, either way: brokers that started together do not save together
)

// Files is what the saver does with files. Tests put faults in its place.
type Files interface {
	Read(path string) ([]byte, error)
	// Replace puts a file in the place of another, whole or not at all, and returns once it lasts.
	Replace(path string, b []byte) error
	Rename(from, to string) error
}

// Disk is the real files.
type Disk struct{}

// Read reads a file up to a little more than a snapshot may have.
func (Disk) Read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	return io.ReadAll(io.LimitReader(f, snapshot.MaxSize+1))
}

// Replace writes, syncs and renames.
func (Disk) Replace(path string, b []byte) error {
	return renameio.WriteFile(path, b, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}

// Rename renames.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// errNotLocked tells that another process is the folder's writer.
var errNotLocked = errors.New("the state folder is locked by another process")

// Options are what a deployment fixes.
type Options struct {
	Folder   string
	Interval time.Duration
	Instance string
	Settings uint64 // fingerprint
	Seed     uint64
	Files    Files // nil: Disk
	Log      *slog.Logger
}

// Saver saves the server-health state of one broker. Make it with Open.
type Saver struct {
	options Options
	rng     *rand.Rand
	now     func() float64

	collectorMu sync.Mutex // guards collector; held for the few steps of a batch, never across I/O
	collector   *recovery.Collector
	restored    *snapshot.Snapshot // what the process before has left; nil: nothing usable

	folderMu          sync.Mutex // guards what follows, and the folder
	lockFile          *os.File
	lastLoggedFailure string // the failure that was logged last; it is logged once
}

// Open locks the folder and reads the state in it. It never fails: without a usable folder or file the start is blank, and
// one log line says why.
func Open(opt Options) *Saver {
	if opt.Files == nil {
		opt.Files = Disk{}
	}
	k := &Saver{options: opt, rng: rand.New(rand.NewPCG(opt.Seed, 0x510e527fade682d1)), collector: recovery.NewCollector(),
		now: func() float64 { return float64(time.Now().UnixNano()) / 1e9 }}
	k.folderMu.Lock()
	defer k.folderMu.Unlock()
	mine := k.tryLock()
	if mine {
		k.removeTemporaryFiles()
	}
	path := filepath.Join(opt.Folder, FileName)
	b, err := opt.Files.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		opt.Log.Info("no saved state, starting blank", "folder", opt.Folder)
		return k
	}
	var s *snapshot.Snapshot
	if err == nil {
		if s, err = snapshot.Decode(b); err == nil {
			err = s.CheckOwner(opt.Instance, opt.Settings)
		}
	}
	switch {
	case err != nil && mine: // kept for inspection, and out of the way
		aside := filepath.Join(opt.Folder, QuarantineName)
		opt.Log.Warn("saved state unusable, starting blank", "error", err, "quarantine", aside, "moved", opt.Files.Rename(path, aside) == nil)
	case err != nil:
		opt.Log.Warn("saved state unusable, starting blank", "error", err)
	case recovery.CheckAge(s, k.now()) != nil:
		opt.Log.Info("saved state too old, starting blank", "error", recovery.CheckAge(s, k.now()))
	default:
		k.restored = s
		opt.Log.Info("saved state restored", "servers", len(s.Servers), "age", fmt.Sprintf("%.1f s", k.now()-s.WrittenAt))
	}
	return k
}

// removeTemporaryFiles removes what writers that were killed have left half written: else they would fill the folder in
// time.
func (k *Saver) removeTemporaryFiles() {
	left, _ := filepath.Glob(filepath.Join(k.options.Folder, "."+FileName+"*"))
	for _, path := range left {
		if err := os.Remove(path); err != nil {
			k.options.Log.Warn("stale temporary file not removed", "path", path, "error", err)
		}
	}
}

// tryLock tells whether this process is the folder's writer, and tries to become it. A process that takes over from another
// reads at once and writes once the other has ended. The caller holds saving.
func (k *Saver) tryLock() bool {
	path := filepath.Join(k.options.Folder, lockName)
	if k.lockFile != nil {
		held, err1 := k.lockFile.Stat()
		there, err2 := os.Stat(path)
		if err1 == nil && err2 == nil && os.SameFile(held, there) {
			return true
		}
		_ = k.lockFile.Close() // the folder is gone, or another: what was locked guards nothing
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

// logOnce logs a failure once, until another follows or it is over. The caller holds saving.
func (k *Saver) logOnce(what string, err error) {
	if k.lastLoggedFailure != what {
		k.lastLoggedFailure = what
		k.options.Log.Warn(what, "error", err, "folder", k.options.Folder)
	}
}

// Save writes the present state. It logs a failure before it returns it; errNotLocked: another process owns the folder.
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

// Run saves at intervals until ctx ends, and once more then.
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

// Watch wraps a Decider: its events are collected, and the restored state follows its first endpoint update.
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

// collect collects from the events, and adds the restored state behind the first endpoint update.
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
