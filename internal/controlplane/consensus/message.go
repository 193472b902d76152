package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/revision"
)

// EncodeMessage encodes a message. The result has at most MaxMessageBytes.
func EncodeMessage(message *raftpb.Message) ([]byte, error) {
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	return data, nil
}

// DecodeMessage decodes a message. The error wraps ErrMalformedMessage if data cannot be decoded or has more than
// MaxMessageBytes. The content is checked by Step.
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

// checkMessage rejects messages that a correct member never sends: raft trusts its input and panics on some malformed
// messages.
func (n *Node) checkMessage(message *raftpb.Message) error {
	if message == nil {
		return fmt.Errorf("%w: the message is nil", ErrMalformedMessage)
	}
	from := message.GetFrom()
	if from == n.options.ID || !slices.Contains(n.options.Members, from) || message.GetTo() != n.options.ID {
		return malformed(message, "receiver is %d, want this member %d, and as sender another one of the members %d", message.GetTo(),
			n.options.ID, n.options.Members)
	}
	if len(message.GetResponses()) > 0 || message.GetTerm() > maxTerm {
		return malformed(message, "term %d, want at most %d; %d responses, want 0", message.GetTerm(), uint64(maxTerm),
			len(message.GetResponses()))
	}
	if (message.GetTerm() == 0) != (message.GetType() == raftpb.MsgReadIndex) {
		return malformed(message, "term %d, want 0 for MsgReadIndex and at least 1 for any other type", message.GetTerm())
	}
	current := message.GetTerm() >= n.raw.BasicStatus().GetTerm() // raft ignores the content of messages of earlier terms
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
	return malformed(message, "this type is not sent between members")
}

// checkVote rejects messages with a context. A context requests a forced election, as for a leadership transfer, which
// members do not use.
func checkVote(message *raftpb.Message) error {
	if len(message.GetContext()) > 0 {
		return malformed(message, "context of %d bytes, want none", len(message.GetContext()))
	}
	return nil
}

// checkRead checks that a read request or response consists of one entry, the request context.
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

// checkHeartbeat stops this member if it has lost entries. A leader never sends a commit index above the index that this
// member has acknowledged, and this member acknowledges only persisted entries.
func (n *Node) checkHeartbeat(message *raftpb.Message, current bool) error {
	if len(message.GetContext()) != 0 && len(message.GetContext()) != heartbeatContextBytes {
		return malformed(message, "context of %d bytes, want 0 or %d", len(message.GetContext()), heartbeatContextBytes)
	}
	last := n.lastStoredIndex()
	if !current || message.GetCommit() <= last {
		return nil
	}
	n.stopErr = fmt.Errorf("%w: commit index %d in term %d, last stored index %d", ErrMissingEntries, message.GetCommit(),
		message.GetTerm(), last)
	return n.stopErr
}

// checkHeartbeatResponse rejects an acknowledgement of a read position that this leader has not sent.
func (n *Node) checkHeartbeatResponse(message *raftpb.Message) error {
	context := message.GetContext()
	if len(context) == 0 {
		return nil
	}
	if len(context) != heartbeatContextBytes {
		return malformed(message, "context of %d bytes, want 0 or %d", len(context), heartbeatContextBytes)
	}
	position := binary.LittleEndian.Uint64(context)
	if n.isLeaderOf(message) && position > n.leaderState.lastReadSent {
		return malformed(message, "acknowledges read position %d, the last one sent is %d", position, n.leaderState.lastReadSent)
	}
	return nil
}

// checkAppendResponse rejects an acknowledgement of an entry that this leader does not have.
func (n *Node) checkAppendResponse(message *raftpb.Message) error {
	if n.isLeaderOf(message) && !message.GetReject() && message.GetIndex() > n.lastStoredIndex() {
		return malformed(message, "acknowledges index %d, the last stored one is %d", message.GetIndex(), n.lastStoredIndex())
	}
	return nil
}

// lastStoredIndex returns the index of the last entry in the storage.
func (n *Node) lastStoredIndex() uint64 {
	last, err := n.storage.LastIndex()
	if err != nil {
		panic(fmt.Sprintf("consensus: reading the last index of the storage: %v", err))
	}
	return last
}

// checkAppend checks the entries of an append message: their indexes are consecutive, their terms do not decrease, and
// none conflicts with a committed entry.
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
			return malformed(message, "entry %d of term %d follows entry %d of term %d in a message of term %d", entry.GetIndex(),
				entry.GetTerm(), index, term, message.GetTerm())
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
	return n.leaderState.leaderTerm != 0 && n.leaderState.leaderTerm == message.GetTerm()
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
	return malformed(message, "entry %d has the unsupported type %v", entry.GetIndex(), entry.GetType())
}

// checkConfChange checks that a configuration change only adds known members, as voters or learners.
func (n *Node) checkConfChange(message *raftpb.Message, entry *raftpb.Entry) error {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return malformed(message, "decoding the configuration change in entry %d: %v", entry.GetIndex(), err)
	}
	for _, single := range change.GetChanges() {
		kind := single.GetType()
		supported := kind == raftpb.ConfChangeAddNode || kind == raftpb.ConfChangeAddLearnerNode
		if !supported || !slices.Contains(n.options.Members, single.GetNodeId()) {
			return malformed(message, "configuration change in entry %d: %v of member %d, want an addition of one of the members %d",
				entry.GetIndex(), kind, single.GetNodeId(), n.options.Members)
		}
	}
	return nil
}

// checkNoCommittedConflict rejects entries that conflict with committed entries in the storage.
func (n *Node) checkNoCommittedConflict(message *raftpb.Message) error {
	commit := n.storedCommitIndex()
	for _, entry := range message.GetEntries() {
		if entry.GetIndex() > commit {
			return nil
		}
		term, err := n.storage.Term(entry.GetIndex())
		if err == nil && term != entry.GetTerm() {
			return malformed(message, "entry %d of term %d, the committed entry has term %d", entry.GetIndex(), entry.GetTerm(),
				term)
		}
	}
	return nil
}

// storedCommitIndex returns the commit index in the stored hard state.
func (n *Node) storedCommitIndex() uint64 {
	hardState, _, err := n.storage.InitialState()
	if err != nil {
		panic(fmt.Sprintf("consensus: reading the hard state of the storage: %v", err))
	}
	return hardState.GetCommit()
}

// checkSnapshot checks that a snapshot can be restored, and that the term of its last entry is at most the message's.
func (n *Node) checkSnapshot(message *raftpb.Message) error {
	if n.isLeaderOf(message) {
		return malformed(message, "snapshot of term %d, whose leader is this member", message.GetTerm())
	}
	if _, err := restoreMachine(message.GetSnapshot(), n.options.Members); err != nil {
		return malformed(message, "%v", err)
	}
	if message.GetSnapshot().GetMetadata().GetTerm() > message.GetTerm() {
		return malformed(message, "snapshot whose last entry has term %d in a message of term %d",
			message.GetSnapshot().GetMetadata().GetTerm(), message.GetTerm())
	}
	return nil
}
