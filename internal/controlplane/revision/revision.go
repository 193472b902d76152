// Package revision is the replicated state machine of the configuration: it applies publications, in the order of the
// raft log, to numbered, checksummed, immutable revisions. It does no I/O, starts no goroutine and reads no clock: the
// same entries give the same state on every control machine.
//
// A StateMachine is not safe for concurrent use. The revisions that it hands out are immutable and may be shared.
package revision

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"mothrouter/internal/controlplane/configpb"
)

//go:generate protoc -I revisionpb -I ../configpb --go_out=revisionpb --go_opt=paths=source_relative revision.proto

// Limits of the machine.
const (
	// MaxDocumentBytes is the maximum size of a document.
	MaxDocumentBytes = configpb.MaxDocument

	// MaxCommandBytes is the maximum size of an encoded Command: its document and four fields of at most 10 bytes
	// each with their tags, rounded up to 1 KiB.
	MaxCommandBytes = MaxDocumentBytes + 1<<10

	// MaxHistory is the maximum number of revisions in the history: a day and a half of 2,700 revisions a day.
	MaxHistory = 4096

	// MaxHistoryBytes bounds the documents of the history: 4,096 x 4 KiB = 16 MiB. It has 4,096
	// revisions if documents have 4 KiB on average; of the largest, 16 MiB / 64 KiB = 256, which are 2 h and 16 min of
	// 2,700 revisions a day. It always has the newest revision.
	MaxHistoryBytes = MaxHistory * (4 << 10)

	// MaxRequests is the maximum number of recorded request ids, 24 bytes each: 96 KiB. A retry is idempotent until 4,096
	// later requests are applied, a day and a half at 2,700 a day.
	MaxRequests = 4096
)

// Rejection is the reason why a command was rejected. It is the same on every control machine.
type Rejection int

// The reasons for a rejection.
const (
	Accepted       Rejection = iota // not rejected
	NotNewest                       // the expected number isn't that of the newest revision
	Oversized                       // the document has more than MaxDocumentBytes
	NoDocument                      // the document is empty
	NoRequest                       // the command has no request id
	RequestReused                   // the request id was applied with another document
	Undecodable                     // the entry is no Command
	rejectionCount = iota
)

var rejectionNames = [rejectionCount]string{
	"accepted", "expected number is not the newest", "document too large", "no document", "no request id",
	"request id applied with another document", "not a command",
}

// String names the rejection for logs and errors.
func (r Rejection) String() string {
	if r < 0 || int(r) >= len(rejectionNames) {
		return fmt.Sprintf("rejection %d", int(r))
	}
	return rejectionNames[r]
}

// Result is the result of applying one command.
type Result struct {
	Rejection Rejection
	Number    uint64 // of its revision if Accepted, else of the newest revision
	Repeated  bool   // the request id was accepted before, with the same document
}

// ErrInvalidCommand is the error of a command that does not encode or decode, or has more than MaxCommandBytes.
var ErrInvalidCommand = errors.New("revision: not a command")

// Encode returns a command as an entry of the log. Its error wraps ErrInvalidCommand if the encoding has
// more than MaxCommandBytes.
func Encode(command *configpb.Command) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidCommand, err)
	}
	if len(data) > MaxCommandBytes {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", ErrInvalidCommand, len(data), MaxCommandBytes)
	}
	return data, nil
}

// Decode decodes an entry of the log. Its error wraps ErrInvalidCommand.
func Decode(data []byte) (*configpb.Command, error) {
	if len(data) > MaxCommandBytes {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", ErrInvalidCommand, len(data), MaxCommandBytes)
	}
	command := &configpb.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidCommand, err)
	}
	return command, nil
}
