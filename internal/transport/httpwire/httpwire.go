// Package httpwire is the HTTP/1.1 of the client front and of discovery as state machines without a socket. A driver reads
// into the slice that Grow returns, reports the count to Advance and takes complete messages by Next. What Next returns are
// slices of the buffer, valid until the next call of Grow.
package httpwire

import (
	"errors"
	"fmt"
)

// MaxBody is the largest body in bytes that either side may send.
const MaxBody = 64 << 10

const (
	maxHead       = 8 << 10  // bytes of a start line and its header, also of a trailer
	maxChunkLine  = 64       // bytes of a chunk-size line
	maxLine       = 1 << 20  // bytes of a line or object of a watch: a full list of a few thousand servers
	maxIdleObject = 16 << 10 // bytes of memory that an ObjectAssembler keeps for the next object
)

// Error is input that breaks the protocol, with the status that answers it. Error's text goes to the client.
type Error struct {
	Status int    // HTTP status of the answer
	Reason string // what is wrong
	Limit  int    // bound in bytes that the input exceeds; 0: it exceeds none
	Offset int64  // bytes of the connection that precede the head, chunk or line at fault; 0 also where the reader did not see it
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

func malformed(format string, args ...any) *Error {
	return &Error{Status: 400, Reason: fmt.Sprintf(format, args...)}
}

func tooLarge(status, limit int, reason string) *Error {
	return &Error{Status: status, Reason: reason, Limit: limit}
}

// withOffset sets the offset of an error that this package has just made.
func withOffset(err error, offset int64) error {
	if e, ok := errors.AsType[*Error](err); ok {
		e.Offset = offset
	}
	return err
}
