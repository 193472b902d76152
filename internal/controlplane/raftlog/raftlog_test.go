package raftlog

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

var testOptions = Options{Identity: Identity{Fleet: 7, Node: 2}, MaxBytes: 64 << 20}

// snapshotAt returns a snapshot at an index and term, with voters 1 to 3 and learner 4.
func snapshotAt(index, term uint64, data string) *raftpb.Snapshot {
	return &raftpb.Snapshot{
		Data: []byte(data),
		Metadata: &raftpb.SnapshotMetadata{
			Index: new(index), Term: new(term),
			ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3}, Learners: []uint64{4}},
		},
	}
}

// hardState returns a hard state.
func hardState(term, vote, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: new(term), Vote: new(vote), Commit: new(commit)}
}

// entry returns an entry with an index, a term and data.
func entry(index, term uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Index: new(index), Term: new(term), Data: []byte(data)}
}

// entries returns entries with the indexes first to last, all of one term.
func entries(first, last, term uint64) []*raftpb.Entry {
	var list []*raftpb.Entry
	for index := first; index <= last; index++ {
		list = append(list, entry(index, term, "entry"))
	}
	return list
}

// create returns a new log with a snapshot at index 1, and its path. The log is closed at the end of the test.
func create(t testing.TB) (*Log, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	log, err := Create(path, testOptions, snapshotAt(1, 1, "start"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	return log, path
}

// reopen closes a log, opens it again and requires that its state has not changed.
func reopen(t testing.TB, log *Log, path string) *Log {
	t.Helper()
	require.NoError(t, log.Close())
	reopened, err := Open(path, testOptions)
	require.NoError(t, err)
	t.Cleanup(func() { _ = reopened.Close() })
	requireEqualStates(t, log.memory, reopened.memory)
	return reopened
}

// requireEqualStates requires that two states are equal.
func requireEqualStates(t testing.TB, want, got logState) {
	t.Helper()
	require.Equal(t, want.state(), got.state())
	require.True(t, proto.Equal(want.snapshot, got.snapshot))
	require.Len(t, got.entries, len(want.entries))
	for i := range want.entries {
		require.True(t, proto.Equal(want.entries[i], got.entries[i]), "entry %d", want.entries[i].GetIndex())
	}
}

func TestCreateStartsWithSnapshot(t *testing.T) {
	log, path := create(t)
	hard, conf, err := log.InitialState()
	require.NoError(t, err)
	require.True(t, proto.Equal(hardState(1, 0, 1), hard))
	require.Equal(t, []uint64{1, 2, 3}, conf.GetVoters())
	require.Equal(t, []uint64{4}, conf.GetLearners())
	first, _ := log.FirstIndex()
	last, _ := log.LastIndex()
	require.Equal(t, uint64(2), first)
	require.Equal(t, uint64(1), last)
	term, err := log.Term(1)
	require.NoError(t, err)
	require.Equal(t, uint64(1), term)
	reopen(t, log, path)
}

func TestSaveSurvivesReopening(t *testing.T) {
	log, path := create(t)
	require.NoError(t, log.Save(hardState(2, 3, 1), entries(2, 9, 2), nil))
	log = reopen(t, log, path)
	require.NoError(t, log.Save(hardState(3, 1, 4), entries(7, 8, 3), nil))
	log = reopen(t, log, path)

	last, _ := log.LastIndex()
	require.Equal(t, uint64(8), last, "the new entries 7 and 8 also replace entry 9")
	got, err := log.Entries(2, 9, math.MaxUint64)
	require.NoError(t, err)
	require.Len(t, got, 7)
	require.Equal(t, uint64(2), got[4].GetTerm())
	require.Equal(t, uint64(3), got[5].GetTerm())
}

func TestEntriesAndTermBounds(t *testing.T) {
	log, _ := create(t)
	require.NoError(t, log.Save(hardState(2, 0, 1), entries(2, 9, 2), nil))
	size := uint64(proto.Size(entry(2, 2, "entry")))
	got, err := log.Entries(2, 10, 3*size)
	require.NoError(t, err)
	require.Len(t, got, 3)
	got, err = log.Entries(5, 10, 0)
	require.NoError(t, err)
	require.Len(t, got, 1, "at least one entry, whatever its size")
	require.Equal(t, 1, cap(got), "append by the caller must not overwrite entries of the log")
	_, err = log.Entries(1, 3, size)
	require.ErrorIs(t, err, raft.ErrCompacted)
	_, err = log.Entries(2, 11, size)
	require.ErrorIs(t, err, raft.ErrUnavailable)
	_, err = log.Term(0)
	require.ErrorIs(t, err, raft.ErrCompacted)
	_, err = log.Term(10)
	require.ErrorIs(t, err, raft.ErrUnavailable)
}

func TestCompactKeepsEntriesAfterFirst(t *testing.T) {
	log, path := create(t)
	require.NoError(t, log.Save(hardState(2, 0, 8), entries(2, 9, 2), nil))
	require.NoError(t, log.Compact(snapshotAt(8, 2, "eight"), 6))
	log = reopen(t, log, path)
	first, _ := log.FirstIndex()
	last, _ := log.LastIndex()
	require.Equal(t, []uint64{6, 9}, []uint64{first, last})
	snapshot, err := log.Snapshot()
	require.NoError(t, err)
	require.Equal(t, "eight", string(snapshot.GetData()))
	term, err := log.Term(5)
	require.NoError(t, err, "the entry before the first keeps its term")
	require.Equal(t, uint64(2), term)

	require.NoError(t, log.Save(hardState(2, 0, 9), nil, nil))
	require.NoError(t, log.Compact(snapshotAt(9, 2, "nine"), 10))
	log = reopen(t, log, path)
	require.NoError(t, log.Save(nil, entries(10, 12, 2), nil))
	reopen(t, log, path)
}

func TestSaveOfSnapshotReplacesLog(t *testing.T) {
	log, path := create(t)
	require.NoError(t, log.Save(hardState(2, 0, 3), entries(2, 9, 2), nil))
	require.NoError(t, log.Save(hardState(4, 0, 20), entries(21, 22, 4), snapshotAt(20, 4, "twenty")))
	log = reopen(t, log, path)
	first, _ := log.FirstIndex()
	last, _ := log.LastIndex()
	require.Equal(t, []uint64{21, 22}, []uint64{first, last})
}

func TestInvalidWritesAreRejectedWithoutEffect(t *testing.T) {
	log, path := create(t)
	require.NoError(t, log.Save(hardState(3, 2, 4), entries(2, 9, 3), nil))
	entriesWithGap := []*raftpb.Entry{entry(10, 3, ""), entry(12, 3, "")}
	for name, write := range map[string]func() error{
		"gap before the entries":            func() error { return log.Save(nil, entries(11, 12, 3), nil) },
		"compacted entry":                   func() error { return log.Save(nil, entries(1, 2, 3), nil) },
		"gap between the entries":           func() error { return log.Save(nil, entriesWithGap, nil) },
		"entry above the current term":      func() error { return log.Save(nil, entries(10, 10, 4), nil) },
		"entry below the last term":         func() error { return log.Save(nil, entries(10, 10, 2), nil) },
		"committed entry replaced":          func() error { return log.Save(hardState(4, 0, 4), entries(4, 9, 4), nil) },
		"lower term":                        func() error { return log.Save(hardState(2, 0, 4), nil, nil) },
		"second vote in the term":           func() error { return log.Save(hardState(3, 1, 4), nil, nil) },
		"vote withdrawn":                    func() error { return log.Save(hardState(3, 0, 4), nil, nil) },
		"lower commit index":                func() error { return log.Save(hardState(3, 2, 3), nil, nil) },
		"commit index above the last entry": func() error { return log.Save(hardState(3, 2, 10), nil, nil) },
		"old snapshot":                      func() error { return log.Save(nil, nil, snapshotAt(1, 1, "")) },
		"snapshot of an uncommitted entry":  func() error { return log.Compact(snapshotAt(5, 3, ""), 5) },
		"snapshot with another term":        func() error { return log.Compact(snapshotAt(4, 2, ""), 5) },
		"snapshot above the last entry":     func() error { return log.Compact(snapshotAt(12, 3, ""), 5) },
		"deletion of an uncovered entry":    func() error { return log.Compact(snapshotAt(4, 3, ""), 6) },
	} {
		require.ErrorIs(t, write(), ErrInvalidWrite, name)
	}
	log = reopen(t, log, path)
	require.NoError(t, log.Save(hardState(3, 2, 9), entries(10, 10, 3), nil), "a valid write succeeds")
}

func TestCreateRejectsExistingAndReplacesTemporaryFile(t *testing.T) {
	_, path := create(t)
	_, err := Create(path, testOptions, snapshotAt(1, 1, "start"))
	require.ErrorIs(t, err, ErrExists)

	other := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(other+".new", []byte("partial file"), fileMode))
	log, err := Create(other, testOptions, snapshotAt(1, 1, "start"))
	require.NoError(t, err)
	require.NoError(t, log.Close())
	_, err = Create(filepath.Join(t.TempDir(), "log"), testOptions, nil)
	require.ErrorIs(t, err, ErrInvalidWrite)
}

func TestOpenErrors(t *testing.T) {
	log, path := create(t)
	_, err := Open(path+".none", testOptions)
	require.ErrorIs(t, err, ErrNotExist)
	_, err = Open(path, testOptions)
	require.ErrorIs(t, err, ErrLocked)
	require.NoError(t, log.Close())
	for _, identity := range []Identity{{Fleet: 8, Node: 2}, {Fleet: 7, Node: 3}} {
		_, err = Open(path, Options{Identity: identity})
		require.ErrorIs(t, err, ErrForeign)
	}
	require.ErrorIs(t, log.Save(hardState(5, 0, 1), nil, nil), ErrClosed)
}

// TestRandomWritesMatchMemoryStorage applies random writes to a log and to raft.MemoryStorage and compares the two.
func TestRandomWritesMatchMemoryStorage(t *testing.T) {
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 1))
		log, path := create(t)
		model := raft.NewMemoryStorage()
		require.NoError(t, model.ApplySnapshot(snapshotAt(1, 1, "start")))
		hard := hardState(1, 0, 1)
		for range 60 {
			last, _ := log.LastIndex()
			hard = hardState(hard.GetTerm()+uint64(random.IntN(2)), 0, hard.GetCommit())
			from := hard.GetCommit() + 1 + uint64(random.Int64N(int64(last-hard.GetCommit()+1)))
			added := entries(from, from+uint64(random.IntN(4)), hard.GetTerm())
			end := added[len(added)-1].GetIndex()
			hard.Commit = new(hard.GetCommit() + uint64(random.Int64N(int64(end-hard.GetCommit()+1))))
			require.NoError(t, log.Save(hard, added, nil))
			require.NoError(t, model.Append(added))
			require.NoError(t, model.SetHardState(hard))
			compactRandomly(t, random, log, model)
			requireEqualsModel(t, model, log)
		}
		requireEqualsModel(t, model, reopen(t, log, path))
	}
}

// compactRandomly compacts a log and its model to the same index, with a probability of one sixth.
func compactRandomly(t *testing.T, random *rand.Rand, log *Log, model *raft.MemoryStorage) {
	t.Helper()
	hard, conf, _ := log.InitialState()
	snapshot, _ := log.Snapshot()
	if random.IntN(6) > 0 || hard.GetCommit() <= snapshot.GetMetadata().GetIndex() {
		return
	}
	modelSnapshot, err := model.CreateSnapshot(hard.GetCommit(), conf, []byte("snapshot"))
	require.NoError(t, err)
	before, _ := log.FirstIndex()
	first := before + uint64(random.Int64N(int64(hard.GetCommit()+2-before)))
	require.NoError(t, log.Compact(modelSnapshot, first))
	if first > before {
		require.NoError(t, model.Compact(first-1))
	}
}

// requireEqualsModel requires that a log returns the same as its model.
func requireEqualsModel(t *testing.T, model *raft.MemoryStorage, log *Log) {
	t.Helper()
	wantFirst, _ := model.FirstIndex()
	wantLast, _ := model.LastIndex()
	first, _ := log.FirstIndex()
	last, _ := log.LastIndex()
	require.Equal(t, []uint64{wantFirst, wantLast}, []uint64{first, last})
	if first <= last {
		want, err := model.Entries(first, last+1, math.MaxUint64)
		require.NoError(t, err)
		got, err := log.Entries(first, last+1, math.MaxUint64)
		require.NoError(t, err)
		require.Len(t, got, len(want))
		for i := range want {
			require.True(t, proto.Equal(want[i], got[i]))
		}
	}
	wantSnapshot, _ := model.Snapshot()
	snapshot, _ := log.Snapshot()
	require.True(t, proto.Equal(wantSnapshot, raftpb.EnsureSnapshot(proto.CloneOf(snapshot))))
	wantTerm, wantErr := model.Term(first - 1)
	term, err := log.Term(first - 1)
	require.Equal(t, wantErr, err)
	require.Equal(t, wantTerm, term)
}
