package checkpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/decision"
	"mothrouter/internal/harness/logtest"
	"mothrouter/internal/state/snapshot"
)

// TestMain also runs the process that TestKillsWhileSavingLeaveAValidFile kills: it writes a byte to its standard output, then
// saves without a pause.
func TestMain(m *testing.M) {
	if folder := os.Getenv("CHECKPOINT_TEST_FOLDER"); folder != "" {
		k := Open(Options{Folder: folder, Interval: time.Hour, Instance: "n1", Settings: 7, Log: slog.New(slog.DiscardHandler)})
		_, _ = os.Stdout.Write([]byte{0}) // without a reader the kill does not come, which the test notices
		for n := 0; ; n++ {
			recordOutcomes(k, 1+n%200)
			_ = k.Save() // it is killed at any moment; what it leaves behind is checked
		}
	}
	os.Exit(m.Run())
}

// recordOutcomes records an endpoint list of a number of servers and an outcome of each.
func recordOutcomes(k *Saver, servers int) {
	w := k.Watch(idleDecider{})
	now := float64(time.Now().UnixNano()) / 1e9
	l := decision.EndpointUpdate{Mode: decision.FullUpdate}
	events := []decision.Event{nil}
	for i := range servers {
		id := fmt.Sprintf("s-%08x", i)
		l.Servers = append(l.Servers, decision.Server{ID: id})
		events = append(events, decision.AttemptFinished{Server: id, Latency: 0.01, LoadReport: decision.LoadReport{Utilization: 0.5}})
	}
	events[0] = l
	w.Handle(now, events)
}

type idleDecider struct{}

func (idleDecider) Handle(float64, []decision.Event) []decision.Action { return nil }

func openSaver(folder string, files Files) (*Saver, *logtest.Buffer) {
	var out logtest.Buffer
	return Open(Options{Folder: folder, Interval: 20 * time.Millisecond, Instance: "n1", Settings: 7, Files: files,
		Log: slog.New(slog.NewTextHandler(&out, nil))}), &out
}

func TestOpenRestoresSavedState(t *testing.T) {
	folder := t.TempDir()
	k, out := openSaver(folder, nil)
	require.Equal(t, 1, strings.Count(out.String(), "starting blank"))
	recordOutcomes(k, 20)
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { k.Run(ctx) })
	require.Eventually(t, func() bool { _, err := os.Stat(filepath.Join(folder, FileName)); return err == nil }, time.Second, time.Millisecond)
	recordOutcomes(k, 40)
	cancel() // a clean end saves once more, also while a save is under way
	all.Wait()
	k, out = openSaver(folder, nil)
	require.NotNil(t, k.restored)
	require.Len(t, k.restored.Servers, 40)
	require.Equal(t, 1, strings.Count(out.String(), "saved state restored"))
	var heard int
	w := k.Watch(deciderFunc(func(events []decision.Event) {
		for _, e := range events {
			if h, ok := e.(decision.PeerObservation); ok && h.LoadReport.Utilization == 0.5 {
				heard++
			}
		}
	}))
	list := decision.EndpointUpdate{Mode: decision.CachedUpdate, Servers: []decision.Server{{ID: "s-00000001"}, {ID: "s-00000002", Started: 5}}}
	for range 2 {
		w.Handle(k.now(), []decision.Event{list})
	}
	require.Equal(t, 1, heard, "once, and of the same process only")
}

type deciderFunc func([]decision.Event)

func (l deciderFunc) Handle(_ float64, events []decision.Event) []decision.Action {
	l(events)
	return nil
}

// A process is killed a thousand times while it saves: the file is never torn, and never missing once it was written.
func TestKillsWhileSavingLeaveAValidFile(t *testing.T) {
	folder := t.TempDir()
	rng := rand.New(rand.NewPCG(1, 2))
	deadline := time.Now().Add(40 * time.Second)
	kills, validFiles := 0, 0
	for ; kills < 1000 && time.Now().Before(deadline); kills++ {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "CHECKPOINT_TEST_FOLDER="+folder, "GOMAXPROCS=1")
		started, err := cmd.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		_, err = io.ReadFull(started, make([]byte, 1))
		require.NoError(t, err, "the process did not begin to save")
		time.Sleep(time.Duration(rng.IntN(16)) * time.Millisecond)
		require.NoError(t, cmd.Process.Kill())
		cmd.Wait()
		b, err := Disk{}.Read(filepath.Join(folder, FileName))
		if errors.Is(err, os.ErrNotExist) {
			require.Zero(t, validFiles, "the file was written and is missing")
			continue
		}
		require.NoError(t, err)
		_, err = snapshot.Decode(b)
		require.NoError(t, err, "after %d kills", kills)
		validFiles++
	}
	t.Logf("%d kills, a valid file after %d of them", kills, validFiles)
	require.Greater(t, validFiles, kills/2)
	k, _ := openSaver(folder, nil)
	require.NotNil(t, k.restored)
	left, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Len(t, left, 2, "the file and the lock: what was half written is swept up")
}

// powerLossFiles are files that lose power: Replace writes stepsLeft bytes at most, and fails unless one more step is left
// for the rename.
type powerLossFiles struct {
	Disk
	stepsLeft int  // what still reaches the disk: bytes of the new file, then the rename
	complete  bool // all bytes did
	reorders  bool // the rename precedes the bytes, as it may without a sync
}

var errPowerLoss = errors.New("power loss")

func (c *powerLossFiles) Replace(path string, b []byte) error {
	n := min(c.stepsLeft, len(b))
	c.complete = n == len(b)
	temp := path + ".tmp"
	if c.reorders {
		temp = path
	}
	if err := os.WriteFile(temp, b[:n], 0o600); err != nil {
		return err
	}
	if c.stepsLeft <= len(b) {
		return errPowerLoss
	}
	return os.Rename(temp, path)
}

// A write is cut at each byte and before the rename. With files that keep the order of write and rename the old file is
// kept; with files that do not, the torn file is detected and quarantined, and the state starts blank.
func TestPowerLossAtEachStepOfASave(t *testing.T) {
	for _, torn := range []bool{false, true} {
		for steps := 0; ; steps++ {
			folder := t.TempDir()
			k, _ := openSaver(folder, nil)
			recordOutcomes(k, 1)
			require.NoError(t, k.Save())
			old, err := os.ReadFile(filepath.Join(folder, FileName))
			require.NoError(t, err)
			k.lockFile.Close()
			files := &powerLossFiles{stepsLeft: steps, reorders: torn}
			k, _ = openSaver(folder, files)
			recordOutcomes(k, 2)
			err = k.Save()
			k.lockFile.Close()
			if err == nil {
				break
			}
			k, out := openSaver(folder, nil)
			if torn && files.complete {
				require.Len(t, k.restored.Servers, 2)
			} else if torn {
				require.Nil(t, k.restored, "cut at %d", steps)
				require.Equal(t, 1, strings.Count(out.String(), "saved state unusable"))
				require.FileExists(t, filepath.Join(folder, QuarantineName))
				require.NoFileExists(t, filepath.Join(folder, FileName))
			} else {
				require.NotNil(t, k.restored, "cut at %d", steps)
				require.Len(t, k.restored.Servers, 1)
			}
			k.lockFile.Close()
			require.Less(t, steps, 3*len(old))
		}
	}
}

func TestOpenQuarantinesUnusableFiles(t *testing.T) {
	good, err := snapshot.Encode(&snapshot.Snapshot{WrittenAt: float64(time.Now().Unix()), Instance: "n1", SettingsFingerprint: 7})
	require.NoError(t, err)
	other, err := snapshot.Encode(&snapshot.Snapshot{WrittenAt: float64(time.Now().Unix()), Instance: "n1", SettingsFingerprint: 8})
	require.NoError(t, err)
	newer := append([]byte{}, good...)
	newer[9] = 9
	for reason, b := range map[string][]byte{
		"not a snapshot file":                []byte("hello"),
		"truncated":                          good[:len(good)-1],
		"too large":                          make([]byte, snapshot.MaxSize+10),
		"unsupported version":                newer,
		"belongs to another broker or fleet": other,
	} {
		folder := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(folder, FileName), b, 0o600))
		k, out := openSaver(folder, nil)
		require.Nil(t, k.restored)
		require.Equal(t, 1, strings.Count(out.String(), reason), reason)
		require.FileExists(t, filepath.Join(folder, QuarantineName))
		recordOutcomes(k, 3)
		require.NoError(t, k.Save())
	}
}

// failingFiles are files on which Replace fails with err while it is set.
type failingFiles struct {
	Disk
	mu  sync.Mutex
	err error
}

func (f *failingFiles) Replace(path string, b []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return f.err
	}
	return f.Disk.Replace(path, b)
}

func TestSaveLogsAFailureOnce(t *testing.T) {
	for _, err := range []error{syscall.ENOSPC, syscall.EROFS} {
		files := &failingFiles{err: err}
		k, out := openSaver(t.TempDir(), files)
		recordOutcomes(k, 3)
		for range 20 {
			require.ErrorIs(t, k.Save(), err)
		}
		require.Equal(t, 1, strings.Count(out.String(), "state not saved"))
		files.err = nil
		require.NoError(t, k.Save())
		require.NoError(t, k.Save())
		require.Equal(t, 1, strings.Count(out.String(), "state saved again"))
	}
}

func TestFolderHasOneWriter(t *testing.T) {
	folder := t.TempDir()
	first, _ := openSaver(folder, nil)
	recordOutcomes(first, 3)
	require.NoError(t, first.Save())
	second, out := openSaver(folder, nil) // starts while the first still runs: it reads and does not write
	require.NotNil(t, second.restored)
	require.Equal(t, 1, strings.Count(out.String(), "locked by another process"))
	recordOutcomes(second, 9)
	for range 5 {
		require.Error(t, second.Save())
	}
	require.Equal(t, 1, strings.Count(out.String(), "locked by another process"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	first.Run(ctx) // a graceful end, which releases the lock
	require.NoError(t, second.Save())
	require.Equal(t, 1, strings.Count(out.String(), "state saved again"))
	third, _ := openSaver(folder, nil)
	require.Len(t, third.restored.Servers, 9)
}

func TestSaveSurvivesFolderReplacement(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "state")
	k, out := openSaver(folder, nil) // the folder does not exist yet
	recordOutcomes(k, 3)
	require.Error(t, k.Save())
	require.NoError(t, os.Mkdir(folder, 0o700))
	require.NoError(t, k.Save())
	require.NoError(t, os.RemoveAll(folder))
	for range 5 {
		require.Error(t, k.Save())
	}
	require.Equal(t, 2, strings.Count(out.String(), "state folder unusable"), "once for each period of failure")
	require.NoError(t, os.Mkdir(folder, 0o700))
	other, _ := openSaver(folder, nil)
	require.NotNil(t, other.lockFile)
	require.Error(t, k.Save(), "another writer has locked the new folder")
	other.lockFile.Close()
	require.NoError(t, k.Save())
}

// A disk that hangs holds up the save, not the loop.
type hangingFiles struct {
	Disk
	entered, free chan struct{}
}

func (s *hangingFiles) Replace(string, []byte) error {
	close(s.entered)
	<-s.free
	return nil
}

func TestHangingDiskDoesNotBlockDecider(t *testing.T) {
	files := &hangingFiles{entered: make(chan struct{}), free: make(chan struct{})}
	k, _ := openSaver(t.TempDir(), files)
	recordOutcomes(k, 200)
	go func() { _ = k.Save() }() // the disk hangs, so it has no result
	<-files.entered
	began := time.Now()
	for range 100 {
		recordOutcomes(k, 200)
	}
	require.Less(t, time.Since(began), 2*time.Second)
	close(files.free)
}

func BenchmarkCollectOutcome(b *testing.B) {
	k, _ := openSaver(b.TempDir(), nil)
	recordOutcomes(k, 200)
	w := k.Watch(idleDecider{})
	events := []decision.Event{decision.AttemptFinished{Server: "s-00000001", Latency: 0.01, LoadReport: decision.LoadReport{Utilization: 0.5}}}
	b.ReportAllocs()
	for i := range b.N {
		w.Handle(float64(i)/1000, events)
	}
}

func BenchmarkSave200(b *testing.B) {
	k, _ := openSaver(b.TempDir(), nil)
	recordOutcomes(k, 200)
	b.ReportAllocs()
	for range b.N {
		if err := k.Save(); err != nil {
			b.Fatal(err)
		}
	}
}
