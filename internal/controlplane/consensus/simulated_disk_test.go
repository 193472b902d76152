package consensus

import (
	"math"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// disk is the storage of a simulated member. Its content survives a crash.
type disk interface {
	raft.Storage
	Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error
	Compact(snapshot *raftpb.Snapshot, first uint64) error
	// Reopen opens the disk after a crash.
	Reopen() error
}

// memoryDisk is an in-memory disk with an injected fault.
type memoryDisk struct {
	*raft.MemoryStorage
	fault           fault
	saves           int                 // calls of Save
	stateAfterCrash *raft.MemoryStorage // with faultLostSaves: the state that Reopen restores
	savedHardState  *raftpb.HardState   // stored hard state
}

var _ disk = (*memoryDisk)(nil)

// newMemoryDisk returns a disk that contains a bootstrap snapshot.
func newMemoryDisk(bootstrap *raftpb.Snapshot, injected fault) *memoryDisk {
	d := &memoryDisk{MemoryStorage: raft.NewMemoryStorage(), fault: injected}
	must(d.ApplySnapshot(bootstrap))
	d.savedHardState = &raftpb.HardState{Term: new(uint64(bootstrapTerm)), Commit: new(uint64(bootstrapIndex))}
	must(d.SetHardState(d.savedHardState))
	d.stateAfterCrash = d.clone()
	return d
}

// must panics on an error.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (d *memoryDisk) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	d.saves++
	if d.saves%maxLostSaves == 0 && d.fault == faultLostSaves {
		d.stateAfterCrash = d.clone()
	}
	if !raft.IsEmptySnap(snapshot) {
		must(d.ApplySnapshot(snapshot))
	}
	if len(entries) > 0 {
		must(d.Append(d.corrupt(entries)))
	}
	if !raft.IsEmptyHardState(hardState) {
		d.savedHardState = hardState
		must(d.SetHardState(hardState))
	}
	return nil
}

// maxLostSaves is the maximum number of saves that a disk with faultLostSaves loses.
const maxLostSaves = 8

// corrupt returns copies of the entries with changed documents if the fault is faultCorruptDocument, else the entries.
func (d *memoryDisk) corrupt(entries []*raftpb.Entry) []*raftpb.Entry {
	if d.fault != faultCorruptDocument {
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
	case faultLostSaves:
		d.MemoryStorage = d.stateAfterCrash
		d.stateAfterCrash = d.clone()
		d.savedHardState, _, _ = d.InitialState()
	case faultLostVote:
		d.savedHardState = &raftpb.HardState{Term: new(d.savedHardState.GetTerm()), Commit: new(d.savedHardState.GetCommit())}
		return d.SetHardState(d.savedHardState)
	case faultLostCommitIndex:
		d.savedHardState = proto.CloneOf(d.savedHardState)
		d.savedHardState.Commit = new(snapshot.GetMetadata().GetIndex())
		return d.SetHardState(d.savedHardState)
	}
	return nil
}

// clone returns a copy of the current state, without the entries before the snapshot.
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
	must(copied.SetHardState(d.savedHardState))
	return copied
}
