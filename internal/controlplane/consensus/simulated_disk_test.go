package consensus

import (
	"math"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// disk is the storage of a simulated member. It survives a crash.
type disk interface {
	raft.Storage
	Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error
	Compact(snapshot *raftpb.Snapshot, first uint64) error
	// Reopen opens it after a crash.
	Reopen() error
}

// memoryDisk is a disk in memory with planted faults.
type memoryDisk struct {
	*raft.MemoryStorage
	fault       fault
	saves       int
	beforeSaves *raft.MemoryStorage // with faultSaveSkipped: the state after a crash
	savedState  *raftpb.HardState   // hard state of the last Save
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

// maxSkippedSaves is the maximum number of saves that a disk with faultSaveSkipped loses.
const maxSkippedSaves = 8

// corrupt returns the entries with changed documents with faultContent, else the entries.
func (d *memoryDisk) corrupt(entries []*raftpb.Entry) []*raftpb.Entry {
	if d.fault != faultContent {
		return entries
	}
	corrupted := make([]*raftpb.Entry, len(entries))
	for i, entry := range entries {
		corrupted[i] = proto.CloneOf(entry)
		for offset, character := range corrupted[i].GetData() {
			if character == documentMark {
				corrupted[i].Data[offset] = documentMark + 1
			}
		}
	}
	return corrupted
}

func (d *memoryDisk) Compact(snapshot *raftpb.Snapshot, first uint64) error {
	metadata := snapshot.GetMetadata()
	if _, err := d.CreateSnapshot(metadata.GetIndex(), metadata.GetConfState(), snapshot.GetData()); err != nil {
		return err
	}
	if stored, _ := d.FirstIndex(); first > stored {
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

// clone returns a copy of the current state without entries before the snapshot.
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
