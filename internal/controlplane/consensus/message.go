package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/revision"
)

// EncodeMessage returns the encoding of a message, at most MaxMessageBytes.
func EncodeMessage(message *raftpb.Message) ([]byte, error) {
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	return data, nil
}

// DecodeMessage decodes a message. Its error wraps ErrMalformedMessage if data does not decode or has more than
// MaxMessageBytes. Step checks the content.
func DecodeMessage(data []byte) (*raftpb.Message, error) {
	if len(data) > MaxMessageBytes {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", ErrMalformedMessage, len(data), MaxMessageBytes)
	}
	message := &raftpb.Message{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	return message, nil
}

// malformed returns an error that wraps ErrMalformedMessage and names the message's type and sender.
func malformed(message *raftpb.Message, format string, arguments ...any) error {
	return fmt.Errorf("%w: %v from %d: %s", ErrMalformedMessage, message.GetType(), message.GetFrom(),
		fmt.Sprintf(format, arguments...))
}

// checkMessage rejects messages that no member sends: raft trusts its messages and panics on some malformed ones.
func (n *Node) checkMessage(message *raftpb.Message) error {
	if message == nil {
		return fmt.Errorf("%w: nil", ErrMalformedMessage)
	}
	from := message.GetFrom()
	if from == n.options.ID || !slices.Contains(n.options.Members, from) || message.GetTo() != n.options.ID {
		return malformed(message, "addressed to %d, this is member %d of %d", message.GetTo(), n.options.ID, n.options.Members)
	}
	if len(message.GetResponses()) > 0 || message.GetTerm() > maxTerm {
		return malformed(message, "term %d, %d responses", message.GetTerm(), len(message.GetResponses()))
	}
	if (message.GetTerm() == 0) != (message.GetType() == raftpb.MsgReadIndex) {
		return malformed(message, "term %d", message.GetTerm())
	}
	current := message.GetTerm() >= n.raw.BasicStatus().GetTerm() // raft ignores the content of earlier terms
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
	return malformed(message, "type is not sent between members")
}

// checkVote rejects a forced election, which only a leadership transfer would request.
func checkVote(message *raftpb.Message) error {
	if len(message.GetContext()) > 0 {
		return malformed(message, "context of %d bytes", len(message.GetContext()))
	}
	return nil
}

// checkRead checks that a read request or response has one request context.
func checkRead(message *raftpb.Message) error {
	entries := message.GetEntries()
	if len(entries) != 1 {
		return malformed(message, "%d entries, want 1", len(entries))
	}
	if size := len(entries[0].GetData()); size != requestContextBytes {
		return malformed(message, "request context of %d bytes, want %d", size, requestContextBytes)
	}
	return nil
}

// checkHeartbeat detects that this member has lost entries and stops it: the commit index in a heartbeat is at most what
// the member has acknowledged, and it acknowledges only persisted entries.
func (n *Node) checkHeartbeat(message *raftpb.Message, current bool) error {
	if len(message.GetContext()) != 0 && len(message.GetContext()) != heartbeatContextBytes {
		return malformed(message, "context of %d bytes", len(message.GetContext()))
	}
	last := n.lastStored()
	if !current || message.GetCommit() <= last {
		return nil
	}
	n.stopErr = fmt.Errorf("%w: commit index %d in term %d, last stored index %d", ErrMissingEntries, message.GetCommit(),
		message.GetTerm(), last)
	return n.stopErr
}

// checkHeartbeatResponse rejects the acknowledgement of a read that this leader has not sent.
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
		return malformed(message, "read position %d, last sent %d", position, n.members.lastReadSent)
	}
	return nil
}

// checkAppendResponse rejects the acknowledgement of an entry that this leader does not have.
func (n *Node) checkAppendResponse(message *raftpb.Message) error {
	if n.isLeaderOf(message) && !message.GetReject() && message.GetIndex() > n.lastStored() {
		return malformed(message, "index %d, last stored index %d", message.GetIndex(), n.lastStored())
	}
	return nil
}

// lastStored returns the last index of the storage.
func (n *Node) lastStored() uint64 {
	last, err := n.storage.LastIndex()
	if err != nil {
		panic(fmt.Sprintf("consensus: last index: %v", err))
	}
	return last
}

// checkAppend checks the entries of an append: their indexes are consecutive, their terms do not decrease, and none
// conflicts with a committed entry.
func (n *Node) checkAppend(message *raftpb.Message, current bool) error {
	if n.isLeaderOf(message) {
		return malformed(message, "append of term %d, whose leader is this member", message.GetTerm())
	}
	index, term := message.GetIndex(), message.GetLogTerm()
	if index == 0 || index >= maxIndex {
		return malformed(message, "previous index %d, want 1 to %d", index, uint64(maxIndex-1))
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

// isLeaderOf reports whether this member is the leader in the term of a message.
func (n *Node) isLeaderOf(message *raftpb.Message) bool {
	return n.members.leaderTerm != 0 && n.members.leaderTerm == message.GetTerm()
}

// checkEntry checks the size, type and configuration change of an entry.
func (n *Node) checkEntry(message *raftpb.Message, entry *raftpb.Entry) error {
	if len(entry.GetData()) > revision.MaxCommandBytes {
		return malformed(message, "entry %d of %d bytes, the limit is %d", entry.GetIndex(), len(entry.GetData()),
			revision.MaxCommandBytes)
	}
	switch entry.GetType() {
	case raftpb.EntryNormal:
		return nil
	case raftpb.EntryConfChangeV2:
		return n.checkConfChange(message, entry)
	}
	return malformed(message, "entry %d of type %v", entry.GetIndex(), entry.GetType())
}

// checkConfChange checks that a configuration change only adds known members as voters or learners.
func (n *Node) checkConfChange(message *raftpb.Message, entry *raftpb.Entry) error {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return malformed(message, "configuration change in entry %d: %v", entry.GetIndex(), err)
	}
	for _, single := range change.GetChanges() {
		kind := single.GetType()
		supported := kind == raftpb.ConfChangeAddNode || kind == raftpb.ConfChangeAddLearnerNode
		if !supported || !slices.Contains(n.options.Members, single.GetNodeId()) {
			return malformed(message, "configuration change in entry %d: %v of member %d", entry.GetIndex(), kind, single.GetNodeId())
		}
	}
	return nil
}

// checkNoCommittedConflict rejects entries that conflict with committed entries in the storage.
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

// storedCommit returns the commit index of the stored hard state.
func (n *Node) storedCommit() uint64 {
	hardState, _, err := n.storage.InitialState()
	if err != nil {
		panic(fmt.Sprintf("consensus: hard state: %v", err))
	}
	return hardState.GetCommit()
}

// checkSnapshot checks that a snapshot can be restored and is of an earlier or the same term.
func (n *Node) checkSnapshot(message *raftpb.Message) error {
	if n.isLeaderOf(message) {
		return malformed(message, "snapshot of term %d, whose leader is this member", message.GetTerm())
	}
	if _, err := restoreMachine(message.GetSnapshot(), n.options.Members); err != nil {
		return malformed(message, "%v", err)
	}
	if message.GetSnapshot().GetMetadata().GetTerm() > message.GetTerm() {
		return malformed(message, "snapshot with a last entry of term %d", message.GetSnapshot().GetMetadata().GetTerm())
	}
	return nil
}
