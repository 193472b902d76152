package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"mothrouter/internal/controlplane/revision"
)

// Index and term of the bootstrap snapshot, the same on all members.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// BootstrapSnapshot returns the snapshot that the log of every member starts with. Its state machine is empty,
// and its raft configuration has the given voters and learners.
func BootstrapSnapshot(voters, learners []uint64) *raftpb.Snapshot {
	machine := revision.NewStateMachine()
	machine.Skip(bootstrapIndex)
	return &raftpb.Snapshot{
		Data: machine.Snapshot(),
		Metadata: &raftpb.SnapshotMetadata{
			Index:     new(uint64(bootstrapIndex)),
			Term:      new(uint64(bootstrapTerm)),
			ConfState: raftpb.EnsureConfState(&raftpb.ConfState{Voters: voters, Learners: learners}),
		},
	}
}

// restoreMachine restores the state machine in a snapshot and checks the snapshot's raft configuration against the members.
func restoreMachine(snapshot *raftpb.Snapshot, members []uint64) (*revision.StateMachine, error) {
	if raft.IsEmptySnap(snapshot) {
		return nil, fmt.Errorf("%w: the snapshot is empty", ErrMalformedMessage)
	}
	if err := checkConfState(snapshot.GetMetadata().GetConfState(), members); err != nil {
		return nil, err
	}
	machine, err := revision.Restore(snapshot.GetData())
	if err != nil {
		return nil, err
	}
	if machine.Applied() != snapshot.GetMetadata().GetIndex() {
		return nil, fmt.Errorf("%w: snapshot at index %d contains a state machine at index %d", ErrMalformedMessage,
			snapshot.GetMetadata().GetIndex(), machine.Applied())
	}
	return machine, nil
}

// checkConfState checks a raft configuration: its sets contain only members, each once; no learner is a voter; a learner of
// the next configuration is a voter of the outgoing configuration only; and AutoLeave is set only in a joint configuration.
func checkConfState(state *raftpb.ConfState, members []uint64) error {
	if len(state.GetVoters()) == 0 {
		return fmt.Errorf("%w: raft configuration without voters", ErrMalformedMessage)
	}
	if err := checkMemberSets(state, members); err != nil {
		return err
	}
	for _, id := range state.GetLearners() {
		if slices.Contains(state.GetVoters(), id) || slices.Contains(state.GetVotersOutgoing(), id) {
			return fmt.Errorf("%w: raft configuration with member %d as both learner and voter", ErrMalformedMessage, id)
		}
	}
	for _, id := range state.GetLearnersNext() {
		if slices.Contains(state.GetVoters(), id) || !slices.Contains(state.GetVotersOutgoing(), id) {
			return fmt.Errorf("%w: raft configuration with member %d in LearnersNext, want it in VotersOutgoing %d and not in Voters %d",
				ErrMalformedMessage, id, state.GetVotersOutgoing(), state.GetVoters())
		}
	}
	if state.GetAutoLeave() && len(state.GetVotersOutgoing()) == 0 {
		return fmt.Errorf("%w: raft configuration with AutoLeave set, but without VotersOutgoing", ErrMalformedMessage)
	}
	return nil
}

// checkMemberSets checks that each set of a configuration contains only members, each once.
func checkMemberSets(state *raftpb.ConfState, members []uint64) error {
	for _, set := range [][]uint64{
		state.GetVoters(), state.GetLearners(), state.GetVotersOutgoing(), state.GetLearnersNext(),
	} {
		for i, id := range set {
			if !slices.Contains(members, id) {
				return fmt.Errorf("%w: raft configuration with unknown member %d, want one of %d", ErrMalformedMessage, id, members)
			}
			if slices.Contains(set[:i], id) {
				return fmt.Errorf("%w: raft configuration with duplicate member %d", ErrMalformedMessage, id)
			}
		}
	}
	return nil
}
