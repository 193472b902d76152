// Package httpwire implements the HTTP/1.1 of the client front and of the discovery client as state machines that do no I/O. A
// driver reads into the slice that Grow returns, reports the number of bytes read to Advance, and takes complete messages from
// Next. The slices in a message refer to the buffer and are valid until the next call of Grow.
package httpwire

import (
	"errors"
	"fmt"
)

// MaxBody is the largest body in bytes that is accepted in a request, and in a response with a Content-Length.
const MaxBody = 64 << 10

const (
	maxHead       = 8 << 10  // bytes of a start line with its header, also of a trailer
	maxFields     = 100      // lines of a header; a parsed field takes many times the bytes of a short line
	maxChunkLine  = 64       // bytes of a chunk-size line
	maxLine       = 1 << 20  // bytes of a line or object of a discovery watch: a full list of a few thousand servers
	maxIdleObject = 16 << 10 // bytes of memory that an ObjectAssembler keeps for the next object
)

// Error reports input that violates the protocol or a limit. The front sends its status and its text to the client.
type Error struct {
	Status int    // HTTP status of the answer
	Reason string // what is wrong
	Limit  int    // limit in bytes that the input exceeds; 0: it exceeds none
	Offset int64  // bytes received on the connection before the invalid head, chunk or line; 0 for errors not found by a reader
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

func malformed(format string, args ...any) *Error {
	return &Error{Status: 400, Reason: fmt.Sprintf(format, args...)}
}

func tooLarge(status, limit int, reason string) *Error {
	return &Error{Status: status, Reason: reason, Limit: limit}
}

// withOffset sets the offset of an *Error that has just been created.
func withOffset(err error, offset int64) error {
	if e, ok := errors.AsType[*Error](err); ok {
		e.Offset = offset
	}
	return err
}
