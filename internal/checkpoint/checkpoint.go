// Package checkpoint saves what a broker has learned to a folder and reads it after a restart: the driver beside
// packages snapshot (the file) and recovery (what it is worth). It works beside the loop and never has it wait.
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
	"mothrouter/internal/recovery"
	"mothrouter/internal/snapshot"
)

// Names of the files in the folder.
const (
	FileName  = "learned.moth"
	AsideName = "learned.moth.bad" // the latest file that could not be used
	lockName  = "lock"

	jitter = 0.25 // of the interval, either way: brokers that started together do not save together
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
	return io.ReadAll(io.LimitReader(f, snapshot.Most+1))
}

// Replace writes, syncs and renames.
func (Disk) Replace(path string, b []byte) error {
	return renameio.WriteFile(path, b, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}

// Rename renames.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

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

// Saver keeps one broker's learned state. Make it with Open.
type Saver struct {
	opt Options
	rng *rand.Rand
	now func() float64

	mu      sync.Mutex // guards learner; held for the few steps of a batch, never across I/O
	learner *recovery.Learner
	found   *snapshot.Snapshot // what the process before has left; nil: nothing of use

	saving sync.Mutex // guards what follows, and the folder
	lock   *os.File
	silent string // the trouble that was told of last; it is told once
}

// Open takes the folder and reads what it holds. It never fails: without a folder or file of use the start is blank,
// and one log line says why.
func Open(opt Options) *Saver {
	if opt.Files == nil {
		opt.Files = Disk{}
	}
	k := &Saver{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 0x510e527fade682d1)), learner: recovery.NewLearner(),
		now: func() float64 { return float64(time.Now().UnixNano()) / 1e9 }}
	k.saving.Lock()
	defer k.saving.Unlock()
	mine := k.locked()
	if mine {
		k.sweep()
	}
	path := filepath.Join(opt.Folder, FileName)
	b, err := opt.Files.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		opt.Log.Info("nothing learned was found, the start is blank", "folder", opt.Folder)
		return k
	}
	var s *snapshot.Snapshot
	if err == nil {
		if s, err = snapshot.Decode(b); err == nil {
			err = s.Fits(opt.Instance, opt.Settings)
		}
	}
	switch {
	case err != nil && mine: // kept for a look, and out of the way
		aside := filepath.Join(opt.Folder, AsideName)
		opt.Log.Warn("what was learned cannot be used, the start is blank", "err", err, "set aside as", aside, "moved", opt.Files.Rename(path, aside) == nil)
	case err != nil:
		opt.Log.Warn("what was learned cannot be used, the start is blank", "err", err)
	case recovery.Stale(s, k.now()) != "":
		opt.Log.Info("what was learned is stale, the start is blank", "why", recovery.Stale(s, k.now()))
	default:
		k.found = s
		opt.Log.Info("what was learned is taken up", "servers", len(s.Servers), "age", fmt.Sprintf("%.1f s", k.now()-s.Written))
	}
	return k
}

// sweep removes what writers that were killed have left half written: else they would fill the folder in time.
func (k *Saver) sweep() {
	left, _ := filepath.Glob(filepath.Join(k.opt.Folder, "."+FileName+"*"))
	for _, path := range left {
		if err := os.Remove(path); err != nil {
			k.opt.Log.Warn("stale temporary file not removed", "path", path, "error", err)
		}
	}
}

// locked tells whether this process is the folder's writer, and tries to become it. A process that takes over from
// another reads at once and writes once the other has ended. The caller holds saving.
func (k *Saver) locked() bool {
	path := filepath.Join(k.opt.Folder, lockName)
	if k.lock != nil {
		held, err1 := k.lock.Stat()
		there, err2 := os.Stat(path)
		if err1 == nil && err2 == nil && os.SameFile(held, there) {
			return true
		}
		_ = k.lock.Close() // the folder is gone, or another: what was locked guards nothing
		k.lock = nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		k.tell("the folder of what is learned cannot be used", err)
		return false
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written to it
		k.tell("another process writes to the folder of what is learned", err)
		return false
	}
	k.lock = f
	return true
}

// tell logs a trouble once, until another comes or it is over. The caller holds saving.
func (k *Saver) tell(what string, err error) {
	if k.silent != what {
		k.silent = what
		k.opt.Log.Warn(what, "err", err, "folder", k.opt.Folder)
	}
}

// Save writes what is known now.
func (k *Saver) Save() error {
	k.mu.Lock()
	s := k.learner.Snapshot(k.now())
	k.mu.Unlock()
	k.saving.Lock()
	defer k.saving.Unlock()
	if !k.locked() {
		return errors.New("the folder is not this process's")
	}
	s.Instance, s.Settings = k.opt.Instance, k.opt.Settings
	b, err := snapshot.Encode(s)
	if err == nil {
		err = k.opt.Files.Replace(filepath.Join(k.opt.Folder, FileName), b)
	}
	if err != nil {
		k.tell("what is learned cannot be saved, and is not until this is over", err)
		return err
	}
	if k.silent != "" {
		k.silent = ""
		k.opt.Log.Info("what is learned is saved again")
	}
	return nil
}

// Run saves at intervals until ctx ends, and once more then.
func (k *Saver) Run(ctx context.Context) {
	for {
		span := float64(k.opt.Interval) * (1 - jitter + 2*jitter*k.rng.Float64())
		t := time.NewTimer(time.Duration(span))
		select {
		case <-ctx.Done():
			t.Stop()
			_ = k.Save() // it has logged why it failed
			k.saving.Lock()
			defer k.saving.Unlock()
			if k.lock != nil {
				_ = k.lock.Close() // nothing was written to it
				k.lock = nil
			}
			return
		case <-t.C:
			_ = k.Save() // it has logged why it failed, and is tried again
		}
	}
}

// Watch wraps a Decider: what it sees is learned, and what the process before knew is told to it with its first list.
func (k *Saver) Watch(d decision.Decider) decision.Decider { return &watch{k: k, inner: d} }

type watch struct {
	k     *Saver
	inner decision.Decider
	told  bool
}

// Handle implements decision.Decider.
func (w *watch) Handle(now float64, events []decision.Event) []decision.Action {
	return w.inner.Handle(now, w.k.see(now, events, &w.told))
}

// see learns of the events, and adds what was remembered to the first list.
func (k *Saver) see(now float64, events []decision.Event, told *bool) []decision.Event {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range events {
		switch e := e.(type) {
		case decision.EndpointUpdate:
			k.learner.List(e)
			if !*told && len(e.Servers) > 0 && k.found != nil {
				*told = true
				events = append(events, recovery.Restore(k.found, e.Servers, now)...)
			}
		case decision.AttemptFinished:
			k.learner.Saw(now, e.Server, e.Status, e.Latency, e.LoadReport)
		case decision.HealthChecked:
			if e.Status != decision.OK || e.LoadReport != decision.NoLoadReport {
				k.learner.Saw(now, e.Server, decision.NotSent, 0, e.LoadReport)
			}
		}
	}
	return events
}
