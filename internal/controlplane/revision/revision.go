// Package revision implements the replicated state machine of the configuration. It turns published documents, in the order
// of the raft log, into numbered, checksummed, immutable revisions. It does no I/O, starts no goroutines and reads no clock,
// so the same log entries produce the same state on every control machine.
//
// A StateMachine is not safe for concurrent use. The revisions that it returns are immutable and may be shared.
package revision

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
)

//go:generate protoc -I revisionpb -I ../configpb --go_out=revisionpb --go_opt=paths=source_relative revision.proto

// Limits of the state machine.
const (
	// MaxDocumentBytes is the maximum size of a document.
	MaxDocumentBytes = configpb.MaxDocument

	// MaxCommandBytes is the maximum size of an encoded Command: the document, and 1 KiB for the tags and its four fields of
	// at most 10 bytes each.
	MaxCommandBytes = MaxDocumentBytes + 1<<10

	// MaxHistory is the maximum number of revisions in the history. It covers a day and a half at 2,700 revisions a day.
	MaxHistory = 4096

	// MaxHistoryBytes is the maximum total size of the documents in the history: 4,096 x 4 KiB = 16 MiB. At an average of
	// 4 KiB per document the history holds 4,096 revisions. At the maximum of 64 KiB it holds 16 MiB / 64 KiB = 256, which
	// cover 2 h 16 min at 2,700 revisions a day. The newest revision is always kept.
	MaxHistoryBytes = MaxHistory * (4 << 10)

	// MaxRequests is the maximum number of recorded request ids, 24 bytes each: 96 KiB. A retry is idempotent until 4,096
	// later requests have been applied, which takes a day and a half at 2,700 a day.
	MaxRequests = 4096
)

// Rejection is the reason why a command was rejected. It is the same on every control machine.
type Rejection int

// The reasons for a rejection.
const (
	Accepted       Rejection = iota // not rejected
	NotNewest                       // the expected revision number is not that of the newest revision
	Oversized                       // the document is larger than MaxDocumentBytes
	NoDocument                      // the document is empty
	NoRequest                       // the command has no request id
	RequestReused                   // the request id was already accepted with a different document
	Undecodable                     // the log entry does not decode to a Command
	rejectionCount = iota
)

var rejectionNames = [rejectionCount]string{
	"accepted", "expected number is not the newest", "document too large", "no document", "no request id",
	"request id already used with a different document", "undecodable log entry",
}

// String returns the reason for logs and errors.
func (r Rejection) String() string {
	if r < 0 || int(r) >= len(rejectionNames) {
		return fmt.Sprintf("rejection %d", int(r))
	}
	return rejectionNames[r]
}

// Result is the result of applying one command.
type Result struct {
	Rejection Rejection
	Number    uint64 // if Accepted: number of the command's revision; otherwise: number of the newest revision
	Repeated  bool   // the request id was accepted before, with the same document
}

// ErrInvalidCommand is returned for a command that cannot be encoded or decoded or is larger than MaxCommandBytes.
var ErrInvalidCommand = errors.New("revision: invalid command")

// Encode encodes a command as the data of a log entry. Its error wraps ErrInvalidCommand, for example if the encoding is
// larger than MaxCommandBytes.
func Encode(command *configpb.Command) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidCommand, err)
	}
	if len(data) > MaxCommandBytes {
		return nil, fmt.Errorf("%w: size of %d bytes exceeds the limit of %d", ErrInvalidCommand, len(data), MaxCommandBytes)
	}
	return data, nil
}

// Decode decodes the data of a log entry. Its error wraps ErrInvalidCommand.
func Decode(data []byte) (*configpb.Command, error) {
	if len(data) > MaxCommandBytes {
		return nil, fmt.Errorf("%w: size of %d bytes exceeds the limit of %d", ErrInvalidCommand, len(data), MaxCommandBytes)
	}
	command := &configpb.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidCommand, err)
	}
	return command, nil
}
