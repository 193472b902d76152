package consensus

import (
	"math"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// disk is the storage of a simulated member: what is on it survives a crash.
type disk interface {
	raft.Storage
	Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error
	Compact(snapshot *raftpb.Snapshot, first uint64) error
	Reopen() error // after a crash
}

// memoryDisk is a disk in memory, with the faults that can be planted in one.
type memoryDisk struct {
	*raft.MemoryStorage
	fault       fault
	saves       int
	beforeSaves *raft.MemoryStorage // with faultSaveSkipped: what a crash leaves
	savedState  *raftpb.HardState   // last saved
}

var _ disk = (*memoryDisk)(nil)

func newMemoryDisk(start *raftpb.Snapshot, planted fault) *memoryDisk {
	d := &memoryDisk{MemoryStorage: raft.NewMemoryStorage(), fault: planted}
	must(d.ApplySnapshot(start))
	d.savedState = &raftpb.HardState{Term: new(uint64(bootstrapTerm)), Commit: new(uint64(bootstrapIndex))}
	must(d.SetHardState(d.savedState))
	d.beforeSaves = d.clone()
	return d
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (d *memoryDisk) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	d.saves++
	if d.saves%maxSkippedSaves == 0 && d.fault == faultSaveSkipped {
		d.beforeSaves = d.clone()
	}
	if !raft.IsEmptySnap(snapshot) {
		must(d.ApplySnapshot(snapshot))
	}
	if len(entries) > 0 {
		must(d.Append(d.corrupt(entries)))
	}
	if !raft.IsEmptyHardState(hardState) {
		d.savedState = hardState
		must(d.SetHardState(hardState))
	}
	return nil
}

// maxSkippedSaves is how many saves a disk with faultSaveSkipped forgets at most.
const maxSkippedSaves = 8

// corrupt changes the documents that are stored, with faultContent.
func (d *memoryDisk) corrupt(entries []*raftpb.Entry) []*raftpb.Entry {
	if d.fault != faultContent {
		return entries
	}
	spoilt := make([]*raftpb.Entry, len(entries))
	for i, entry := range entries {
		spoilt[i] = proto.CloneOf(entry)
		for at, letter := range spoilt[i].GetData() {
			if letter == documentMark {
				spoilt[i].Data[at] = documentMark + 1
			}
		}
	}
	return spoilt
}

func (d *memoryDisk) Compact(snapshot *raftpb.Snapshot, first uint64) error {
	metadata := snapshot.GetMetadata()
	if _, err := d.CreateSnapshot(metadata.GetIndex(), metadata.GetConfState(), snapshot.GetData()); err != nil {
		return err
	}
	if kept, _ := d.FirstIndex(); first > kept {
		return d.MemoryStorage.Compact(first - 1)
	}
	return nil
}

func (d *memoryDisk) Reopen() error {
	snapshot, err := d.Snapshot()
	if err != nil {
		return err
	}
	switch d.fault {
	case faultSaveSkipped:
		d.MemoryStorage = d.beforeSaves
		d.beforeSaves = d.clone()
		d.savedState, _, _ = d.InitialState()
	case faultVoteForgotten:
		d.savedState = &raftpb.HardState{Term: new(d.savedState.GetTerm()), Commit: new(d.savedState.GetCommit())}
		return d.SetHardState(d.savedState)
	case faultCommitForgotten:
		d.savedState = proto.CloneOf(d.savedState)
		d.savedState.Commit = new(snapshot.GetMetadata().GetIndex())
		return d.SetHardState(d.savedState)
	}
	return nil
}

// clone returns the state of now. Entries before the snapshot are left out.
func (d *memoryDisk) clone() *raft.MemoryStorage {
	copied := raft.NewMemoryStorage()
	snapshot, err := d.Snapshot()
	must(err)
	must(copied.ApplySnapshot(snapshot))
	last, err := d.LastIndex()
	must(err)
	if index := snapshot.GetMetadata().GetIndex(); last > index {
		entries, err := d.Entries(index+1, last+1, math.MaxUint64)
		must(err)
		must(copied.Append(entries))
	}
	must(copied.SetHardState(d.savedState))
	return copied
}
