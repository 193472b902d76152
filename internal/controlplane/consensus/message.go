package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/revision"
)

// maxTerm keeps terms from wrapping around.
const maxTerm = 1 << 62

// EncodeMessage returns a message as bytes, MaxMessageBytes at most.
func EncodeMessage(message *raftpb.Message) ([]byte, error) {
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	return data, nil
}

// DecodeMessage reads a message. Its error wraps ErrMessage where the bytes are none, or more than MaxMessageBytes.
// Step checks what it says.
func DecodeMessage(data []byte) (*raftpb.Message, error) {
	if len(data) > MaxMessageBytes {
		return nil, fmt.Errorf("%w: %d bytes, of at most %d", ErrMalformedMessage, len(data), MaxMessageBytes)
	}
	message := &raftpb.Message{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	return message, nil
}

func malformed(message *raftpb.Message, format string, arguments ...any) error {
	return fmt.Errorf("%w: %v from %d: %s", ErrMalformedMessage, message.GetType(), message.GetFrom(),
		fmt.Sprintf(format, arguments...))
}

// checkMessage refuses what no member sends: raft trusts its messages, and panics on some of those.
func (n *Node) checkMessage(message *raftpb.Message) error {
	if message == nil {
		return fmt.Errorf("%w: none", ErrMalformedMessage)
	}
	from := message.GetFrom()
	if from == n.options.ID || !slices.Contains(n.options.Members, from) || message.GetTo() != n.options.ID {
		return malformed(message, "to %d", message.GetTo())
	}
	if len(message.GetResponses()) > 0 || message.GetTerm() > maxTerm {
		return malformed(message, "term %d, %d responses", message.GetTerm(), len(message.GetResponses()))
	}
	if (message.GetTerm() == 0) != (message.GetType() == raftpb.MsgReadIndex) {
		return malformed(message, "term %d", message.GetTerm())
	}
	current := message.GetTerm() >= n.raw.BasicStatus().GetTerm() // else raft takes note of its term only
	switch message.GetType() {
	case raftpb.MsgApp:
		return n.checkAppend(message, current)
	case raftpb.MsgSnap:
		return n.checkSnapshot(message)
	case raftpb.MsgHeartbeat:
		return n.checkHeartbeat(message, current)
	case raftpb.MsgAppResp:
		return n.checkAppendResponse(message)
	case raftpb.MsgHeartbeatResp:
		return n.checkHeartbeatResponse(message)
	case raftpb.MsgReadIndex, raftpb.MsgReadIndexResp:
		return checkRead(message)
	case raftpb.MsgVote, raftpb.MsgPreVote, raftpb.MsgVoteResp, raftpb.MsgPreVoteResp:
		return checkVote(message)
	}
	return malformed(message, "not a message between members")
}

// checkVote refuses a forced election, which only a transfer of the leadership would ask for.
func checkVote(message *raftpb.Message) error {
	if len(message.GetContext()) > 0 {
		return malformed(message, "context of %d bytes", len(message.GetContext()))
	}
	return nil
}

func checkRead(message *raftpb.Message) error {
	entries := message.GetEntries()
	if len(entries) != 1 || len(entries[0].GetData()) != roundContextBytes {
		return malformed(message, "%d entries", len(entries))
	}
	return nil
}

// checkHeartbeat finds out that this member has lost entries: a leader tells it a commit index no higher than what it
// has acknowledged, and it acknowledges only what is stored.
func (n *Node) checkHeartbeat(message *raftpb.Message, current bool) error {
	if len(message.GetContext()) != 0 && len(message.GetContext()) != heartbeatContextBytes {
		return malformed(message, "context of %d bytes", len(message.GetContext()))
	}
	last := n.lastStored()
	if !current || message.GetCommit() <= last {
		return nil
	}
	n.stopErr = fmt.Errorf("%w: commit %d of term %d, stored up to %d", ErrMissingEntries, message.GetCommit(),
		message.GetTerm(), last)
	return n.stopErr
}

func (n *Node) checkHeartbeatResponse(message *raftpb.Message) error {
	context := message.GetContext()
	if len(context) == 0 {
		return nil
	}
	if len(context) != heartbeatContextBytes {
		return malformed(message, "context of %d bytes", len(context))
	}
	position := binary.LittleEndian.Uint64(context)
	if n.isLeaderOf(message) && position > n.members.lastReadSent {
		return malformed(message, "read %d, of %d", position, n.members.lastReadSent)
	}
	return nil
}

func (n *Node) checkAppendResponse(message *raftpb.Message) error {
	if n.isLeaderOf(message) && !message.GetReject() && message.GetIndex() > n.lastStored() {
		return malformed(message, "index %d, stored up to %d", message.GetIndex(), n.lastStored())
	}
	return nil
}

func (n *Node) lastStored() uint64 {
	last, err := n.storage.LastIndex()
	if err != nil {
		panic(fmt.Sprintf("consensus: last index: %v", err))
	}
	return last
}

func (n *Node) checkAppend(message *raftpb.Message, current bool) error {
	if n.isLeaderOf(message) {
		return malformed(message, "append of term %d to its leader", message.GetTerm())
	}
	index, term := message.GetIndex(), message.GetLogTerm()
	if index == 0 || index >= maxTerm {
		return malformed(message, "entries after %d", index)
	}
	for _, entry := range message.GetEntries() {
		if entry.GetIndex() != index+1 || entry.GetTerm() < term || entry.GetTerm() > message.GetTerm() {
			return malformed(message, "entry %d of term %d after %d of term %d", entry.GetIndex(), entry.GetTerm(),
				index, term)
		}
		if err := n.checkEntry(message, entry); err != nil {
			return err
		}
		index, term = entry.GetIndex(), entry.GetTerm()
	}
	if !current {
		return nil
	}
	return n.checkNoCommittedConflict(message)
}

// isLeaderOf tells whether a message is of the term that this member leads.
func (n *Node) isLeaderOf(message *raftpb.Message) bool {
	return n.members.leaderTerm != 0 && n.members.leaderTerm == message.GetTerm()
}

func (n *Node) checkEntry(message *raftpb.Message, entry *raftpb.Entry) error {
	if len(entry.GetData()) > revision.MaxCommandBytes {
		return malformed(message, "entry of %d bytes", len(entry.GetData()))
	}
	switch entry.GetType() {
	case raftpb.EntryNormal:
		return nil
	case raftpb.EntryConfChangeV2:
		return n.checkConfChange(message, entry)
	}
	return malformed(message, "entry of type %v", entry.GetType())
}

func (n *Node) checkConfChange(message *raftpb.Message, entry *raftpb.Entry) error {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return malformed(message, "change of members: %v", err)
	}
	for _, single := range change.GetChanges() {
		kind := single.GetType()
		known := kind == raftpb.ConfChangeAddNode || kind == raftpb.ConfChangeAddLearnerNode
		if !known || !slices.Contains(n.options.Members, single.GetNodeId()) {
			return malformed(message, "change of members: %v of %d", kind, single.GetNodeId())
		}
	}
	return nil
}

// checkNoCommittedConflict refuses entries that contradict stored ones that are committed.
func (n *Node) checkNoCommittedConflict(message *raftpb.Message) error {
	commit := n.storedCommit()
	for _, entry := range message.GetEntries() {
		if entry.GetIndex() > commit {
			return nil
		}
		term, err := n.storage.Term(entry.GetIndex())
		if err == nil && term != entry.GetTerm() {
			return malformed(message, "entry %d of term %d, committed with term %d", entry.GetIndex(), entry.GetTerm(),
				term)
		}
	}
	return nil
}

func (n *Node) storedCommit() uint64 {
	hardState, _, err := n.storage.InitialState()
	if err != nil {
		panic(fmt.Sprintf("consensus: hard state: %v", err))
	}
	return hardState.GetCommit()
}

func (n *Node) checkSnapshot(message *raftpb.Message) error {
	if n.isLeaderOf(message) {
		return malformed(message, "snapshot of term %d to its leader", message.GetTerm())
	}
	if _, err := restoreMachine(message.GetSnapshot(), n.options.Members); err != nil {
		return malformed(message, "%v", err)
	}
	if message.GetSnapshot().GetMetadata().GetTerm() > message.GetTerm() {
		return malformed(message, "snapshot of term %d", message.GetSnapshot().GetMetadata().GetTerm())
	}
	return nil
}

// restoreMachine reads the state machine of a snapshot and checks the members in it.
func restoreMachine(snapshot *raftpb.Snapshot, members []uint64) (*revision.Machine, error) {
	if raft.IsEmptySnap(snapshot) {
		return nil, fmt.Errorf("%w: empty snapshot", ErrMalformedMessage)
	}
	if err := checkConfState(snapshot.GetMetadata().GetConfState(), members); err != nil {
		return nil, err
	}
	machine, err := revision.Restore(snapshot.GetData())
	if err != nil {
		return nil, err
	}
	if machine.Applied() != snapshot.GetMetadata().GetIndex() {
		return nil, fmt.Errorf("%w: snapshot of entry %d holds the state of entry %d", ErrMalformedMessage,
			snapshot.GetMetadata().GetIndex(), machine.Applied())
	}
	return machine, nil
}

// checkConfState tells whether members and their parts fit together: voters, learners that are no voters, and next
// learners that are voters of the outgoing configuration only.
func checkConfState(state *raftpb.ConfState, members []uint64) error {
	bad := func(id uint64) error { return fmt.Errorf("%w: configuration with member %d", ErrMalformedMessage, id) }
	if len(state.GetVoters()) == 0 {
		return fmt.Errorf("%w: configuration without voters", ErrMalformedMessage)
	}
	for _, set := range [][]uint64{
		state.GetVoters(), state.GetLearners(), state.GetVotersOutgoing(), state.GetLearnersNext(),
	} {
		for i, id := range set {
			if !slices.Contains(members, id) || slices.Contains(set[:i], id) {
				return bad(id)
			}
		}
	}
	for _, id := range state.GetLearners() {
		if slices.Contains(state.GetVoters(), id) || slices.Contains(state.GetVotersOutgoing(), id) {
			return bad(id)
		}
	}
	for _, id := range state.GetLearnersNext() {
		if slices.Contains(state.GetVoters(), id) || !slices.Contains(state.GetVotersOutgoing(), id) {
			return bad(id)
		}
	}
	if state.GetAutoLeave() && len(state.GetVotersOutgoing()) == 0 {
		return fmt.Errorf("%w: configuration is left that is not joint", ErrMalformedMessage)
	}
	return nil
}
