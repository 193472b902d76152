package raftlog

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
)

// The crash tests run this test binary again as a child process that writes to a log, and kill it. These environment variables
// configure the child.
const (
	childPath  = "RAFTLOG_CHILD_PATH"  // of its log; unset: the process is no child
	childSeed  = "RAFTLOG_CHILD_SEED"  // of its random writes
	childFault = "RAFTLOG_CHILD_FAULT" // faultEarlyAcknowledgement or unset
	childLimit = "RAFTLOG_CHILD_LIMIT" // maximum size of a file in bytes, as of a full disk

	faultEarlyAcknowledgement = "early" // acknowledges a write before it is saved

	killedFiles = 5  // logs whose writers are killed
	kills       = 20 // for each of them
)

func TestMain(m *testing.M) {
	if path := os.Getenv(childPath); path != "" {
		os.Exit(runChild(path))
	}
	os.Exit(m.Run())
}

// runChild writes to a log until it is killed or the disk is full, and prints after each write the term, vote, commit
// and last index that are saved.
func runChild(path string) int {
	seed, err := strconv.ParseUint(os.Getenv(childSeed), 10, 64)
	if err != nil {
		return 2
	}
	if limit, err := strconv.ParseUint(os.Getenv(childLimit), 10, 64); err == nil {
		signal.Ignore(syscall.SIGXFSZ)
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
			return 2
		}
	}
	log, err := Open(path, testOptions)
	if err != nil {
		fmt.Println("error", err)
		return 1
	}
	random := rand.New(rand.NewPCG(seed, 3))
	for {
		next := randomWrite(log, random)
		if os.Getenv(childFault) == faultEarlyAcknowledgement {
			fmt.Println("saved", next.describe())
			time.Sleep(time.Millisecond)
		}
		if err := next.write(log); err != nil {
			fmt.Println("error", err)
			return 1
		}
		fmt.Println("saved", next.describe())
	}
}

// randomSave is one write: a Save, followed by a Compact if compact is set.
type randomSave struct {
	hardState *raftpb.HardState
	entries   []*raftpb.Entry
	compact   bool
}

// randomWrite returns a random write that is valid after the log. The data of an entry depends on its index and term alone.
func randomWrite(log *Log, random *rand.Rand) randomSave {
	hard := log.memory.hardState
	last := log.memory.last().index
	term := hard.GetTerm() + uint64(random.IntN(2))
	first := hard.GetCommit() + 1 + uint64(random.Int64N(int64(last-hard.GetCommit()+1)))
	var added []*raftpb.Entry
	for index := first; index <= first+uint64(random.IntN(5)); index++ {
		added = append(added, entry(index, term, contentOf(index, term)))
	}
	end := added[len(added)-1].GetIndex()
	commit := hard.GetCommit() + uint64(random.Int64N(int64(end-hard.GetCommit()+1)))
	return randomSave{hardState: hardState(term, 1+term%3, commit), entries: added, compact: random.IntN(10) == 0}
}

// contentOf returns the data of the entry with an index and a term.
func contentOf(index, term uint64) string {
	return strings.Repeat(fmt.Sprint(index, term, ";"), int(index*term%700))
}

// describe returns the term, vote, commit and last index of the write, in the order that killChild parses.
func (w randomSave) describe() string {
	last := w.entries[len(w.entries)-1]
	return fmt.Sprint(w.hardState.GetTerm(), w.hardState.GetVote(), w.hardState.GetCommit(), last.GetIndex())
}

// write saves the write and compacts the log if it says so.
func (w randomSave) write(log *Log) error {
	if err := log.Save(w.hardState, w.entries, nil); err != nil {
		return err
	}
	commit := w.hardState.GetCommit()
	if !w.compact || commit <= log.memory.snapshot.GetMetadata().GetIndex() {
		return nil
	}
	term, err := log.Term(commit)
	if err != nil {
		return err
	}
	first := max(log.memory.compacted.index+1, commit-min(commit, 3))
	return log.Compact(snapshotAt(commit, term, contentOf(commit, 7)), first)
}

// acknowledgement is the last write that a child has acknowledged.
type acknowledgement struct {
	term, vote, commit, last uint64
}

// startChild starts a child with more environment settings and returns a scanner of the lines that it prints.
func startChild(t *testing.T, path string, seed uint64, settings ...string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childPath+"="+path, childSeed+"="+strconv.FormatUint(seed, 10))
	command.Env = append(command.Env, settings...)
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	return command, bufio.NewScanner(output)
}

// killChild starts a child, kills it within 5 ms after its first line and returns its last acknowledgement.
func killChild(t *testing.T, path string, seed uint64, settings ...string) acknowledgement {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 4))
	command, lines := startChild(t, path, seed, settings...)
	var last string
	for lines.Scan() {
		if last == "" {
			time.AfterFunc(time.Duration(random.IntN(5_000))*time.Microsecond, func() { _ = command.Process.Kill() })
		}
		last = lines.Text()
	}
	_ = command.Wait() // it was killed
	var acked acknowledgement
	_, err := fmt.Sscanf(last, "saved %d %d %d %d", &acked.term, &acked.vote, &acked.commit, &acked.last)
	require.NoError(t, err, "last line %q", last)
	return acked
}

// checkNothingLost returns an error that names what a log lacks of the acknowledged writes, or nil. One write after them may
// be complete.
func checkNothingLost(log *Log, acked acknowledgement) error {
	hard, last := log.memory.hardState, log.memory.last()
	switch {
	case hard.GetTerm() < acked.term || hard.GetTerm() > acked.term+1:
		return fmt.Errorf("term %d, acknowledged %d", hard.GetTerm(), acked.term)
	case hard.GetTerm() == acked.term && hard.GetVote() != acked.vote:
		return fmt.Errorf("vote %d, acknowledged %d", hard.GetVote(), acked.vote)
	case hard.GetCommit() < acked.commit || last.index < acked.commit:
		return fmt.Errorf("commit %d of %d, acknowledged %d", hard.GetCommit(), last.index, acked.commit)
	case hard.GetTerm() == acked.term && hard.GetCommit() == acked.commit && last.index < acked.last && last.term < acked.term:
		return fmt.Errorf("last %d, acknowledged %d", last.index, acked.last)
	}
	for _, entry := range log.memory.entries {
		if string(entry.GetData()) != contentOf(entry.GetIndex(), entry.GetTerm()) {
			return fmt.Errorf("content of entry %d", entry.GetIndex())
		}
	}
	return nil
}

// TestKilledWriterKeepsAcknowledgedWrites kills a hundred writers of five files at random times.
func TestKilledWriterKeepsAcknowledgedWrites(t *testing.T) {
	for file := range uint64(killedFiles) {
		t.Run(fmt.Sprint("file ", file), func(t *testing.T) {
			t.Parallel()
			log, path := create(t)
			require.NoError(t, log.Close())
			for kill := file * kills; kill < (file+1)*kills; kill++ {
				acked := killChild(t, path, kill)
				log, err := Open(path, testOptions)
				require.NoError(t, err, "kill %d", kill)
				require.NoError(t, checkNothingLost(log, acked), "kill %d", kill)
				require.NoError(t, log.Close())
			}
		})
	}
}

// TestCrashCheckDetectsEarlyAcknowledgement kills writers that acknowledge writes before they are saved: checkNothingLost has
// to detect it.
func TestCrashCheckDetectsEarlyAcknowledgement(t *testing.T) {
	t.Parallel()
	for kill := range uint64(40) {
		log, path := create(t)
		require.NoError(t, log.Close())
		acked := killChild(t, path, kill, childFault+"="+faultEarlyAcknowledgement)
		log, err := Open(path, testOptions)
		require.NoError(t, err)
		err = checkNothingLost(log, acked)
		require.NoError(t, log.Close())
		if err != nil {
			t.Logf("detected after kill %d: %v", kill, err)
			return
		}
	}
	t.Error("early acknowledgement not detected")
}

// TestFullDiskKeepsAcknowledgedWrites has a writer fail at the file size limit of its process.
func TestFullDiskKeepsAcknowledgedWrites(t *testing.T) {
	log, path := create(t)
	require.NoError(t, log.Close())
	limit := 200 << 10
	command, lines := startChild(t, path, 1, childLimit+"="+strconv.Itoa(limit))
	var before, last string
	for lines.Scan() {
		before, last = last, lines.Text()
	}
	require.Error(t, command.Wait())
	require.Contains(t, last, "error "+ErrNoSpace.Error())
	var acked acknowledgement
	_, err := fmt.Sscanf(before, "saved %d %d %d %d", &acked.term, &acked.vote, &acked.commit, &acked.last)
	require.NoError(t, err, "line before %q", before)
	log, err = Open(path, testOptions)
	require.NoError(t, err)
	require.NoError(t, checkNothingLost(log, acked))
	require.NoError(t, randomWrite(log, rand.New(rand.NewPCG(2, 2))).write(log), "without the limit")
	require.NoError(t, log.Close())
}

func TestSaveFailsForeverAfterMaxBytes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	options := testOptions
	options.MaxBytes = 1 << 20
	log, err := Create(path, options, snapshotAt(1, 1, "start"))
	require.NoError(t, err)
	defer func() { require.NoError(t, log.Close()) }()
	large := strings.Repeat("x", 64<<10)
	for index := uint64(2); err == nil; index++ {
		require.Less(t, index, uint64(40))
		err = log.Save(hardState(1, 0, 1), []*raftpb.Entry{entry(index, 1, large)}, nil)
	}
	require.ErrorIs(t, err, ErrNoSpace)
	require.Equal(t, err, log.Save(hardState(2, 0, 1), nil, nil), "every write fails until the log is opened again")
}

// TestOpenAfterPowerLossInSave mixes the sectors of the file before a save with those after it, as a power failure may.
// bbolt syncs its pages before it writes the meta page, which lies within one sector.
func TestOpenAfterPowerLossInSave(t *testing.T) {
	t.Parallel()
	const sector = 512
	random := rand.New(rand.NewPCG(5, 5))
	log, path := create(t)
	for range 10 {
		require.NoError(t, randomWrite(log, random).write(log))
	}
	for round := range 40 {
		before, stateBefore := readFile(t, path), log.memory
		next := randomWrite(log, random)
		next.compact = false
		require.NoError(t, next.write(log))
		after := readFile(t, path)
		pageSize := os.Getpagesize()
		mixed := bytes.Clone(after)
		copy(mixed[:2*pageSize], before[:2*pageSize]) // neither meta page was written
		for at := 2 * pageSize; at+sector <= len(before); at += sector {
			if random.IntN(2) == 0 {
				copy(mixed[at:at+sector], before[at:at+sector])
			}
		}
		requireOpensAs(t, mixed, stateBefore, round)
		copy(mixed[2*pageSize:], after[2*pageSize:])
		requireOpensAs(t, mixed, stateBefore, round)
		requireOpensAs(t, after, log.memory, round)
	}
}

// readFile returns the content of a file.
func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	return data
}

// requireOpensAs requires that a file with a content opens as a log with a state.
func requireOpensAs(t *testing.T, content []byte, want logState, round int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(path, content, fileMode))
	log, err := Open(path, testOptions)
	require.NoError(t, err, "round %d", round)
	requireSame(t, want, log.memory)
	require.NoError(t, log.Close())
}
