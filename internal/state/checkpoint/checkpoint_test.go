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

// TestMain also runs the child process of TestKillDuringSaveLeavesValidFile, which writes a byte to its standard output and
// then saves in a loop until it is killed.
func TestMain(m *testing.M) {
	if folder := os.Getenv("CHECKPOINT_TEST_FOLDER"); folder != "" {
		saver := Open(Options{Folder: folder, Interval: time.Hour, Instance: "n1", Settings: 7, Log: slog.New(slog.DiscardHandler)})
		_, _ = os.Stdout.Write([]byte{0}) // if this fails, the parent reports that the child did not start
		for n := 0; ; n++ {
			recordOutcomes(saver, 1+n%200)
			_ = saver.Save() // the parent checks the file after the kill
		}
	}
	os.Exit(m.Run())
}

// recordOutcomes passes an endpoint list of a number of servers and one outcome of each to a Saver.
func recordOutcomes(saver *Saver, servers int) {
	decider := saver.Watch(idleDecider{})
	now := float64(time.Now().UnixNano()) / 1e9
	update := decision.EndpointUpdate{Mode: decision.FullUpdate}
	events := []decision.Event{nil}
	for i := range servers {
		id := fmt.Sprintf("s-%08x", i)
		update.Servers = append(update.Servers, decision.Server{ID: id})
		events = append(events, decision.AttemptFinished{Server: id, Latency: 0.01, LoadReport: decision.LoadReport{Utilization: 0.5}})
	}
	events[0] = update
	decider.Handle(now, events)
}

// idleDecider is a Decider that takes no action.
type idleDecider struct{}

func (idleDecider) Handle(float64, []decision.Event) []decision.Action { return nil }

// openSaver opens a Saver and returns it with its log.
func openSaver(folder string, files Files) (*Saver, *logtest.Buffer) {
	var log logtest.Buffer
	return Open(Options{Folder: folder, Interval: 20 * time.Millisecond, Instance: "n1", Settings: 7, Files: files,
		Log: slog.New(slog.NewTextHandler(&log, nil))}), &log
}

func TestOpenRestoresSavedState(t *testing.T) {
	folder := t.TempDir()
	saver, log := openSaver(folder, nil)
	require.Equal(t, 1, strings.Count(log.String(), "starting with empty state"))
	recordOutcomes(saver, 20)
	ctx, cancel := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { saver.Run(ctx) })
	require.Eventually(t, func() bool { _, err := os.Stat(filepath.Join(folder, FileName)); return err == nil }, time.Second, time.Millisecond)
	recordOutcomes(saver, 40)
	cancel() // Run saves once more before it returns, even if a save is in progress
	run.Wait()
	saver, log = openSaver(folder, nil)
	require.NotNil(t, saver.restoredState)
	require.Len(t, saver.restoredState.Servers, 40)
	require.Equal(t, 1, strings.Count(log.String(), "saved state restored"))
	var restored int
	decider := saver.Watch(deciderFunc(func(events []decision.Event) {
		for _, e := range events {
			if observation, ok := e.(decision.PeerObservation); ok && observation.LoadReport.Utilization == 0.5 {
				restored++
			}
		}
	}))
	update := decision.EndpointUpdate{Mode: decision.CachedUpdate, Servers: []decision.Server{{ID: "s-00000001"}, {ID: "s-00000002", StartedAt: 5}}}
	for range 2 {
		decider.Handle(saver.now(), []decision.Event{update})
	}
	require.Equal(t, 1, restored, "only once, and only for the server that is still the same process")
}

// deciderFunc is a Decider that takes no action and calls the function with each batch of events.
type deciderFunc func([]decision.Event)

func (f deciderFunc) Handle(_ float64, events []decision.Event) []decision.Action {
	f(events)
	return nil
}

// TestKillDuringSaveLeavesValidFile kills up to a thousand processes while they save: the file must never be partially written,
// nor missing once it was written.
func TestKillDuringSaveLeavesValidFile(t *testing.T) {
	folder := t.TempDir()
	rng := rand.New(rand.NewPCG(1, 2))
	deadline := time.Now().Add(40 * time.Second)
	kills, validFiles := 0, 0
	for ; kills < 1000 && time.Now().Before(deadline); kills++ {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "CHECKPOINT_TEST_FOLDER="+folder, "GOMAXPROCS=1")
		stdout, err := cmd.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		_, err = io.ReadFull(stdout, make([]byte, 1))
		require.NoError(t, err, "the child process did not start")
		time.Sleep(time.Duration(rng.IntN(16)) * time.Millisecond)
		require.NoError(t, cmd.Process.Kill())
		cmd.Wait()
		b, err := Disk{}.Read(filepath.Join(folder, FileName))
		if errors.Is(err, os.ErrNotExist) {
			require.Zero(t, validFiles, "the file was written before and is missing now")
			continue
		}
		require.NoError(t, err)
		_, err = snapshot.Decode(b)
		require.NoError(t, err, "after %d kills", kills)
		validFiles++
	}
	t.Logf("valid file after %d of %d kills", validFiles, kills)
	require.Greater(t, validFiles, kills/2)
	saver, _ := openSaver(folder, nil)
	require.NotNil(t, saver.restoredState)
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Len(t, entries, 2, "the state file and the lock file: temporary files were removed")
}

// powerLossFiles is a Files that simulates a power loss during Replace, which writes at most stepsLeft bytes, and fails unless
// one more step is left for the rename.
type powerLossFiles struct {
	Disk
	stepsLeft int  // steps that reach the disk: one for each byte of the new file, then one for the rename
	complete  bool // whether all bytes reached the disk
	reorders  bool // whether the rename reaches the disk before the bytes, as is possible without a sync
}

var errPowerLoss = errors.New("power loss")

func (f *powerLossFiles) Replace(path string, b []byte) error {
	n := min(f.stepsLeft, len(b))
	f.complete = n == len(b)
	temp := path + ".tmp"
	if f.reorders {
		temp = path
	}
	if err := os.WriteFile(temp, b[:n], 0o600); err != nil {
		return err
	}
	if f.stepsLeft <= len(b) {
		return errPowerLoss
	}
	return os.Rename(temp, path)
}

// TestPowerLossAtEachStepOfSave interrupts a save after each byte and before the rename. If the disk keeps the order of write
// and rename, the old file remains; otherwise Open detects and quarantines the partial file and starts with empty state.
func TestPowerLossAtEachStepOfSave(t *testing.T) {
	for _, reorders := range []bool{false, true} {
		for steps := 0; ; steps++ {
			folder := t.TempDir()
			saver, _ := openSaver(folder, nil)
			recordOutcomes(saver, 1)
			require.NoError(t, saver.Save())
			old, err := os.ReadFile(filepath.Join(folder, FileName))
			require.NoError(t, err)
			saver.lockFile.Close()
			files := &powerLossFiles{stepsLeft: steps, reorders: reorders}
			saver, _ = openSaver(folder, files)
			recordOutcomes(saver, 2)
			err = saver.Save()
			saver.lockFile.Close()
			if err == nil {
				break
			}
			saver, log := openSaver(folder, nil)
			if reorders && files.complete {
				require.Len(t, saver.restoredState.Servers, 2)
			} else if reorders {
				require.Nil(t, saver.restoredState, "power loss after step %d", steps)
				require.Equal(t, 1, strings.Count(log.String(), "saved state unusable"))
				require.FileExists(t, filepath.Join(folder, QuarantineName))
				require.NoFileExists(t, filepath.Join(folder, FileName))
			} else {
				require.NotNil(t, saver.restoredState, "power loss after step %d", steps)
				require.Len(t, saver.restoredState.Servers, 1)
			}
			saver.lockFile.Close()
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
		saver, log := openSaver(folder, nil)
		require.Nil(t, saver.restoredState)
		require.Equal(t, 1, strings.Count(log.String(), reason), reason)
		require.FileExists(t, filepath.Join(folder, QuarantineName))
		recordOutcomes(saver, 3)
		require.NoError(t, saver.Save())
	}
}

// failingFiles is a Files whose Replace fails with err while err is set.
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

func TestSaveLogsRepeatedFailureOnce(t *testing.T) {
	for _, err := range []error{syscall.ENOSPC, syscall.EROFS} {
		files := &failingFiles{err: err}
		saver, log := openSaver(t.TempDir(), files)
		recordOutcomes(saver, 3)
		for range 20 {
			require.ErrorIs(t, saver.Save(), err)
		}
		require.Equal(t, 1, strings.Count(log.String(), "state not saved"))
		files.err = nil
		require.NoError(t, saver.Save())
		require.NoError(t, saver.Save())
		require.Equal(t, 1, strings.Count(log.String(), "state saved again"))
	}
}

func TestSaveRequiresFolderLock(t *testing.T) {
	folder := t.TempDir()
	first, _ := openSaver(folder, nil)
	recordOutcomes(first, 3)
	require.NoError(t, first.Save())
	second, log := openSaver(folder, nil) // reads, but cannot save while first holds the lock
	require.NotNil(t, second.restoredState)
	require.Equal(t, 1, strings.Count(log.String(), "locked by another process"))
	recordOutcomes(second, 9)
	for range 5 {
		require.Error(t, second.Save())
	}
	require.Equal(t, 1, strings.Count(log.String(), "locked by another process"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	first.Run(ctx) // returns at once and releases the lock
	require.NoError(t, second.Save())
	require.Equal(t, 1, strings.Count(log.String(), "state saved again"))
	third, _ := openSaver(folder, nil)
	require.Len(t, third.restoredState.Servers, 9)
}

func TestSaveSurvivesFolderReplacement(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "state")
	saver, log := openSaver(folder, nil) // the folder does not exist yet
	recordOutcomes(saver, 3)
	require.Error(t, saver.Save())
	require.NoError(t, os.Mkdir(folder, 0o700))
	require.NoError(t, saver.Save())
	require.NoError(t, os.RemoveAll(folder))
	for range 5 {
		require.Error(t, saver.Save())
	}
	require.Equal(t, 2, strings.Count(log.String(), "state folder unusable"), "once for each time the folder was missing")
	require.NoError(t, os.Mkdir(folder, 0o700))
	other, _ := openSaver(folder, nil)
	require.NotNil(t, other.lockFile)
	require.Error(t, saver.Save(), "another writer has locked the new folder")
	other.lockFile.Close()
	require.NoError(t, saver.Save())
}

// hangingFiles is a Files whose Replace blocks until release is closed.
type hangingFiles struct {
	Disk
	replaceCalled chan struct{} // closed when Replace is called
	release       chan struct{}
}

func (f *hangingFiles) Replace(string, []byte) error {
	close(f.replaceCalled)
	<-f.release
	return nil
}

// TestHangingDiskDoesNotBlockDecider records outcomes while a save hangs: only the save may wait for the disk.
func TestHangingDiskDoesNotBlockDecider(t *testing.T) {
	files := &hangingFiles{replaceCalled: make(chan struct{}), release: make(chan struct{})}
	saver, _ := openSaver(t.TempDir(), files)
	recordOutcomes(saver, 200)
	go func() { _ = saver.Save() }() // blocks until the end of the test
	<-files.replaceCalled
	startedAt := time.Now()
	for range 100 {
		recordOutcomes(saver, 200)
	}
	require.Less(t, time.Since(startedAt), 2*time.Second)
	close(files.release)
}

func BenchmarkCollectOutcome(b *testing.B) {
	saver, _ := openSaver(b.TempDir(), nil)
	recordOutcomes(saver, 200)
	decider := saver.Watch(idleDecider{})
	events := []decision.Event{decision.AttemptFinished{Server: "s-00000001", Latency: 0.01, LoadReport: decision.LoadReport{Utilization: 0.5}}}
	b.ReportAllocs()
	for i := range b.N {
		decider.Handle(float64(i)/1000, events)
	}
}

func BenchmarkSave200(b *testing.B) {
	saver, _ := openSaver(b.TempDir(), nil)
	recordOutcomes(saver, 200)
	b.ReportAllocs()
	for range b.N {
		if err := saver.Save(); err != nil {
			b.Fatal(err)
		}
	}
}
