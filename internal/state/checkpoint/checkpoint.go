// Package checkpoint saves a broker's server-health state to a folder and restores it after a restart. It does the I/O for
// the packages snapshot, which defines the file format, and recovery, which collects the state and decides which of it is
// still valid. Saves run in a goroutine of their own, so that the broker's event loop never waits for I/O.
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

// Names of the files in the state folder.
const (
	FileName       = "learned.moth"
	QuarantineName = "learned.moth.bad" // the latest unusable state file
	lockName       = "lock"
)

// intervalJitter is the maximum deviation of the time between two saves from the interval, as a fraction of the interval. It
// keeps brokers that started together from saving at the same times.
const intervalJitter = 0.25

// randomStream is the second seed word of a Saver's PCG generator.
const randomStream = 0x510e527fade682d1

// Files is the file access of a Saver. Tests inject faults through it.
type Files interface {
	Read(path string) ([]byte, error)
	// Replace atomically replaces the content of a file, or creates it, and returns once the content is durable.
	Replace(path string, b []byte) error
	Rename(from, to string) error
}

// Disk implements Files with the file system of the operating system.
type Disk struct{}

// Read reads a file, at most snapshot.MaxSize and one byte more, by which a file that is too large is detected.
func (Disk) Read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // nothing was written to it
	return io.ReadAll(io.LimitReader(f, snapshot.MaxSize+1))
}

// Replace writes and syncs a temporary file in the folder of path and renames it to path.
func (Disk) Replace(path string, b []byte) error {
	return renameio.WriteFile(path, b, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}

// Rename renames a file.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// errNotLocked is returned by Save while another process holds the folder lock or the lock file cannot be opened.
var errNotLocked = errors.New("state folder not locked by this process")

// Options configure a Saver.
type Options struct {
	Folder   string
	Interval time.Duration // mean time between two saves
	Instance string        // name of the broker
	Settings uint64        // snapshot.Fingerprint of the broker's settings
	Seed     uint64        // seed of the jitter
	Files    Files         // nil: Disk
	Log      *slog.Logger
}

// Saver collects, saves and restores the server-health state of one broker. Use Open to create one.
type Saver struct {
	options Options
	rng     *rand.Rand
	now     func() float64

	collectorMu   sync.Mutex // guards collector; held while a batch of events is collected, never during I/O
	collector     *recovery.Collector
	restoredState *snapshot.Snapshot // state of the previous process; nil if there was none or it was unusable

	folderMu          sync.Mutex // guards the following fields and the folder; held during I/O
	lockFile          *os.File   // holds the folder lock; nil: not held by this process
	lastLoggedFailure string     // latest failure, which is logged only when it changes; "" after a successful save
}

// Open tries to lock the folder and reads the state in it. It never fails: without a usable folder or file the broker starts
// with empty state, and the reason is logged.
func Open(options Options) *Saver {
	if options.Files == nil {
		options.Files = Disk{}
	}
	s := &Saver{options: options, rng: rand.New(rand.NewPCG(options.Seed, randomStream)), collector: recovery.NewCollector(),
		now: func() float64 { return float64(time.Now().UnixNano()) / 1e9 }}
	s.folderMu.Lock()
	defer s.folderMu.Unlock()
	locked := s.tryLock()
	if locked {
		s.removeTemporaryFiles()
	}
	s.restore(locked)
	return s
}

// restore reads the saved state and logs whether it is usable. locked is whether this process holds the folder lock, without
// which it must not rename an unusable file. The caller holds folderMu.
func (s *Saver) restore(locked bool) {
	saved, err := s.read()
	log := s.options.Log
	switch {
	case errors.Is(err, fs.ErrNotExist):
		log.Info("no saved state, starting with empty state", "folder", s.options.Folder)
	case err != nil && locked:
		s.quarantine(err)
	case err != nil:
		log.Warn("saved state unusable, starting with empty state", "error", err)
	case recovery.CheckAge(saved, s.now()) != nil:
		log.Info("saved state rejected by its age, starting with empty state", "error", recovery.CheckAge(saved, s.now()))
	default:
		s.restoredState = saved
		log.Info("saved state restored", "servers", len(saved.Servers), "age", fmt.Sprintf("%.1f s", s.now()-saved.WrittenAt))
	}
}

// read reads and decodes the saved state and checks that it belongs to this broker.
func (s *Saver) read() (*snapshot.Snapshot, error) {
	b, err := s.options.Files.Read(filepath.Join(s.options.Folder, FileName))
	if err != nil {
		return nil, err
	}
	saved, err := snapshot.Decode(b)
	if err != nil {
		return nil, err
	}
	return saved, saved.CheckOwner(s.options.Instance, s.options.Settings)
}

// quarantine renames an unusable file, so that it is kept for inspection and not read again. The caller holds the folder lock.
func (s *Saver) quarantine(reason error) {
	path := filepath.Join(s.options.Folder, FileName)
	quarantinePath := filepath.Join(s.options.Folder, QuarantineName)
	moved := s.options.Files.Rename(path, quarantinePath) == nil
	s.options.Log.Warn("saved state unusable, starting with empty state", "error", reason, "quarantine", quarantinePath, "moved", moved)
}

// removeTemporaryFiles removes the temporary files of writers that were killed during a save. The caller holds the folder lock.
func (s *Saver) removeTemporaryFiles() {
	stale, _ := filepath.Glob(filepath.Join(s.options.Folder, "."+FileName+"*"))
	for _, path := range stale {
		if err := os.Remove(path); err != nil {
			s.options.Log.Warn("stale temporary file not removed", "path", path, "error", err)
		}
	}
}

// tryLock acquires the folder lock if it is free and reports whether this process holds it. During a restart in which the
// new process starts before the old one ends, the new one reads the state at once and saves only after the old one has
// released the lock. The caller holds folderMu.
func (s *Saver) tryLock() bool {
	path := filepath.Join(s.options.Folder, lockName)
	if s.lockFile != nil {
		held, heldErr := s.lockFile.Stat()
		current, currentErr := os.Stat(path)
		if heldErr == nil && currentErr == nil && os.SameFile(held, current) {
			return true
		}
		_ = s.lockFile.Close() // the folder was removed or replaced, and the lock file with it
		s.lockFile = nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		s.logOnce("state folder unusable", err)
		return false
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written to it
		s.logOnce("state folder locked by another process", err)
		return false
	}
	s.lockFile = f
	return true
}

// logOnce logs a failure unless its message is that of the latest one logged. The caller holds folderMu.
func (s *Saver) logOnce(message string, err error) {
	if s.lastLoggedFailure != message {
		s.lastLoggedFailure = message
		s.options.Log.Warn(message, "error", err, "folder", s.options.Folder)
	}
}

// Save writes the current state to the folder. It logs and returns a failure, and returns errNotLocked if it cannot lock the
// folder.
func (s *Saver) Save() error {
	s.collectorMu.Lock()
	current := s.collector.Snapshot(s.now())
	s.collectorMu.Unlock()
	s.folderMu.Lock()
	defer s.folderMu.Unlock()
	if !s.tryLock() {
		return errNotLocked
	}
	current.Instance, current.SettingsFingerprint = s.options.Instance, s.options.Settings
	b, err := snapshot.Encode(current)
	if err == nil {
		err = s.options.Files.Replace(filepath.Join(s.options.Folder, FileName), b)
	}
	if err != nil {
		s.logOnce("state not saved", err)
		return err
	}
	if s.lastLoggedFailure != "" {
		s.lastLoggedFailure = ""
		s.options.Log.Info("state saved again")
	}
	return nil
}

// Run saves at jittered intervals until ctx is done, then saves once more and releases the folder lock.
func (s *Saver) Run(ctx context.Context) {
	for {
		interval := float64(s.options.Interval) * (1 - intervalJitter + 2*intervalJitter*s.rng.Float64())
		timer := time.NewTimer(time.Duration(interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			_ = s.Save() // Save logs its failures
			s.folderMu.Lock()
			defer s.folderMu.Unlock()
			if s.lockFile != nil {
				_ = s.lockFile.Close() // nothing was written to it
				s.lockFile = nil
			}
			return
		case <-timer.C:
			_ = s.Save() // Save logs its failures, and the next interval tries again
		}
	}
}

// Watch returns a Decider that passes its events on to inner. It collects state from them, and appends the restored state to
// the batch with the first endpoint update that lists servers.
func (s *Saver) Watch(inner decision.Decider) decision.Decider {
	return &watchedDecider{saver: s, inner: inner}
}

// watchedDecider is the Decider that Watch returns.
type watchedDecider struct {
	saver    *Saver
	inner    decision.Decider
	restored bool // whether the restored state was passed on to inner
}

// Handle implements decision.Decider.
func (w *watchedDecider) Handle(now float64, events []decision.Event) []decision.Action {
	return w.inner.Handle(now, w.saver.collect(now, events, &w.restored))
}

// collect collects state from a batch of events and returns the batch. If the batch has an endpoint update that lists servers,
// and *restored is not yet set, collect appends the restored state to the batch and sets *restored.
func (s *Saver) collect(now float64, events []decision.Event, restored *bool) []decision.Event {
	s.collectorMu.Lock()
	defer s.collectorMu.Unlock()
	for _, e := range events {
		switch e := e.(type) {
		case decision.EndpointUpdate:
			s.collector.UpdateEndpoints(e)
			if !*restored && len(e.Servers) > 0 && s.restoredState != nil {
				*restored = true
				events = append(events, recovery.Restore(s.restoredState, e.Servers, now)...)
			}
		case decision.AttemptFinished:
			s.collector.RecordOutcome(now, e.Server, e.Status, e.Latency, e.LoadReport)
		case decision.HealthChecked:
			if e.Status != decision.OK || e.LoadReport != decision.NoLoadReport {
				s.collector.RecordOutcome(now, e.Server, decision.NotSent, 0, e.LoadReport)
			}
		}
	}
	return events
}
