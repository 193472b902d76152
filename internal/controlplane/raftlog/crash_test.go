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

// The crash tests run this test binary as a child process, which writes to a log, and kill it. These environment variables
// configure the child.
const (
	childPath  = "RAFTLOG_CHILD_PATH"  // path of its log; unset: the process is not a child
	childSeed  = "RAFTLOG_CHILD_SEED"  // seed of its random writes
	childFault = "RAFTLOG_CHILD_FAULT" // injected fault: faultEarlyAcknowledgement; unset: none
	childLimit = "RAFTLOG_CHILD_LIMIT" // maximum size of a file in bytes, to simulate a full disk; unset: none

	faultEarlyAcknowledgement = "early" // the child acknowledges a write before it is saved

	killedFiles = 5  // number of logs whose writers are killed
	kills       = 20 // number of kills per log
)

func TestMain(m *testing.M) {
	if path := os.Getenv(childPath); path != "" {
		os.Exit(runChild(path))
	}
	os.Exit(m.Run())
}

// runChild writes to a log until it is killed or the disk is full. After each write it prints an acknowledgement with the
// saved term, vote, commit index and last index. It returns an exit status.
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
		write := newRandomWrite(log, random)
		if os.Getenv(childFault) == faultEarlyAcknowledgement {
			fmt.Println("saved", write.acknowledgement())
			time.Sleep(time.Millisecond)
		}
		if err := write.apply(log); err != nil {
			fmt.Println("error", err)
			return 1
		}
		fmt.Println("saved", write.acknowledgement())
	}
}

// randomWrite is a Save, followed by a Compact if compact is set.
type randomWrite struct {
	hardState *raftpb.HardState
	entries   []*raftpb.Entry
	compact   bool
}

// newRandomWrite returns a random write that is valid for the log in its current state. The data of each entry is
// entryData of its index and term.
func newRandomWrite(log *Log, random *rand.Rand) randomWrite {
	hard := log.memory.hardState
	last := log.memory.last().index
	term := hard.GetTerm() + uint64(random.IntN(2))
	first := hard.GetCommit() + 1 + uint64(random.Int64N(int64(last-hard.GetCommit()+1)))
	var added []*raftpb.Entry
	for index := first; index <= first+uint64(random.IntN(5)); index++ {
		added = append(added, entry(index, term, entryData(index, term)))
	}
	end := added[len(added)-1].GetIndex()
	commit := hard.GetCommit() + uint64(random.Int64N(int64(end-hard.GetCommit()+1)))
	return randomWrite{hardState: hardState(term, 1+term%3, commit), entries: added, compact: random.IntN(10) == 0}
}

// entryData returns the data of the entry with an index and a term.
func entryData(index, term uint64) string {
	return strings.Repeat(fmt.Sprint(index, term, ";"), int(index*term%700))
}

// acknowledgement returns the term, vote, commit index and last index of the write, in the order that killChild parses.
func (w randomWrite) acknowledgement() string {
	last := w.entries[len(w.entries)-1]
	return fmt.Sprint(w.hardState.GetTerm(), w.hardState.GetVote(), w.hardState.GetCommit(), last.GetIndex())
}

// apply saves the write and then compacts the log if compact is set.
func (w randomWrite) apply(log *Log) error {
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
	return log.Compact(snapshotAt(commit, term, entryData(commit, 7)), first)
}

// acknowledgement is the state of the log after the last write that a child has acknowledged.
type acknowledgement struct {
	term   uint64
	vote   uint64
	commit uint64 // commit index
	last   uint64 // index of the last entry
}

// startChild starts a child with additional environment variables and returns a scanner of the lines that it prints.
func startChild(t *testing.T, path string, seed uint64, environment ...string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childPath+"="+path, childSeed+"="+strconv.FormatUint(seed, 10))
	command.Env = append(command.Env, environment...)
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	return command, bufio.NewScanner(output)
}

// killChild starts a child, kills it at a random time within 5 ms of its first line and returns its last acknowledgement.
func killChild(t *testing.T, path string, seed uint64, environment ...string) acknowledgement {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 4))
	command, lines := startChild(t, path, seed, environment...)
	var last string
	for lines.Scan() {
		if last == "" {
			time.AfterFunc(time.Duration(random.IntN(5_000))*time.Microsecond, func() { _ = command.Process.Kill() })
		}
		last = lines.Text()
	}
	_ = command.Wait() // the error is that the child was killed
	var acked acknowledgement
	_, err := fmt.Sscanf(last, "saved %d %d %d %d", &acked.term, &acked.vote, &acked.commit, &acked.last)
	require.NoError(t, err, "last line %q", last)
	return acked
}

// checkAcknowledged returns an error if a log lacks any of the acknowledged writes. One more write may have completed.
func checkAcknowledged(log *Log, acked acknowledgement) error {
	hard, last := log.memory.hardState, log.memory.last()
	switch {
	case hard.GetTerm() < acked.term || hard.GetTerm() > acked.term+1:
		return fmt.Errorf("term is %d, acknowledged %d", hard.GetTerm(), acked.term)
	case hard.GetTerm() == acked.term && hard.GetVote() != acked.vote:
		return fmt.Errorf("vote is %d, acknowledged %d", hard.GetVote(), acked.vote)
	case hard.GetCommit() < acked.commit || last.index < acked.commit:
		return fmt.Errorf("commit index is %d and last index %d, acknowledged commit index %d", hard.GetCommit(), last.index, acked.commit)
	case hard.GetTerm() == acked.term && hard.GetCommit() == acked.commit && last.index < acked.last && last.term < acked.term:
		return fmt.Errorf("last index is %d, acknowledged %d", last.index, acked.last)
	}
	for _, entry := range log.memory.entries {
		if string(entry.GetData()) != entryData(entry.GetIndex(), entry.GetTerm()) {
			return fmt.Errorf("entry %d of term %d has wrong data", entry.GetIndex(), entry.GetTerm())
		}
	}
	return nil
}

// TestKilledWriterKeepsAcknowledgedWrites kills the writers of five logs at random times, 20 times each.
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
				require.NoError(t, checkAcknowledged(log, acked), "kill %d", kill)
				require.NoError(t, log.Close())
			}
		})
	}
}

// TestCrashCheckDetectsEarlyAcknowledgement kills writers that acknowledge writes before they are saved, which
// checkAcknowledged must detect.
func TestCrashCheckDetectsEarlyAcknowledgement(t *testing.T) {
	t.Parallel()
	for kill := range uint64(40) {
		log, path := create(t)
		require.NoError(t, log.Close())
		acked := killChild(t, path, kill, childFault+"="+faultEarlyAcknowledgement)
		log, err := Open(path, testOptions)
		require.NoError(t, err)
		err = checkAcknowledged(log, acked)
		require.NoError(t, log.Close())
		if err != nil {
			t.Logf("detected after kill %d: %v", kill, err)
			return
		}
	}
	t.Error("early acknowledgement not detected")
}

// TestFullDiskKeepsAcknowledgedWrites lets a writer fail at the file size limit of its process and then opens its log.
func TestFullDiskKeepsAcknowledgedWrites(t *testing.T) {
	log, path := create(t)
	require.NoError(t, log.Close())
	limit := 200 << 10
	command, lines := startChild(t, path, 1, childLimit+"="+strconv.Itoa(limit))
	var previous, last string
	for lines.Scan() {
		previous, last = last, lines.Text()
	}
	require.Error(t, command.Wait())
	require.Contains(t, last, "error "+ErrNoSpace.Error())
	var acked acknowledgement
	_, err := fmt.Sscanf(previous, "saved %d %d %d %d", &acked.term, &acked.vote, &acked.commit, &acked.last)
	require.NoError(t, err, "last line but one: %q", previous)
	log, err = Open(path, testOptions)
	require.NoError(t, err)
	require.NoError(t, checkAcknowledged(log, acked))
	require.NoError(t, newRandomWrite(log, rand.New(rand.NewPCG(2, 2))).apply(log), "a write succeeds without the limit")
	require.NoError(t, log.Close())
}

func TestSaveFailsUntilReopenedAfterMaxBytes(t *testing.T) {
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
	require.Equal(t, err, log.Save(hardState(2, 0, 1), nil, nil), "every further write returns the same error")
}

// TestOpenAfterPowerLossInSave opens files that mix sectors from before and after a save, as a power loss can leave them. bbolt
// syncs its pages before it writes the meta page, which fits in one sector.
func TestOpenAfterPowerLossInSave(t *testing.T) {
	t.Parallel()
	const sector = 512
	random := rand.New(rand.NewPCG(5, 5))
	log, path := create(t)
	for range 10 {
		require.NoError(t, newRandomWrite(log, random).apply(log))
	}
	for round := range 40 {
		before, stateBefore := readFile(t, path), log.memory
		write := newRandomWrite(log, random)
		write.compact = false
		require.NoError(t, write.apply(log))
		after := readFile(t, path)
		pageSize := os.Getpagesize()
		mixed := bytes.Clone(after)
		copy(mixed[:2*pageSize], before[:2*pageSize]) // both meta pages are from before the save
		for offset := 2 * pageSize; offset+sector <= len(before); offset += sector {
			if random.IntN(2) == 0 {
				copy(mixed[offset:offset+sector], before[offset:offset+sector])
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

// requireOpensAs requires that a file with this content opens as a log with the state want.
func requireOpensAs(t *testing.T, content []byte, want logState, round int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(path, content, fileMode))
	log, err := Open(path, testOptions)
	require.NoError(t, err, "round %d", round)
	requireEqualStates(t, want, log.memory)
	require.NoError(t, log.Close())
}
