// Package admin serves the address for operators: a reader of calls without I/O, and a thin server. Each connection carries
// one call of one line and receives one reply within a second, whatever the load and the other callers.
package admin

import (
	"bytes"
	"errors"
)

// Call is what a caller asks for.
type Call int

// The calls.
const (
	CheckHealth Call = iota // whether the process accepts clients
	DumpMetrics             // all metrics
	StartDrain              // start a drain
	CancelDrain             // cancel the drain
)

// calls are the calls by their lines.
var calls = map[string]Call{
	"HEALTH": CheckHealth, "DUMP": DumpMetrics, "LEAVE": StartDrain, "JOIN": CancelDrain,
}

const maxLineLength = 64 // bytes of a call, with the end of the line

// Errors of a call that is rejected. Their texts go to the caller.
var (
	ErrCallTooLong   = errors.New("the call is too long")
	ErrUnknownCall   = errors.New("no such call")
	ErrMultipleLines = errors.New("more than one line")
	ErrCallTimeout   = errors.New("the call did not come whole in time")
)

// CallReader reads one call. The zero value is ready.
type CallReader struct {
	line   [maxLineLength]byte
	length int // bytes of line that have been received
}

// Grow returns the buffer for the bytes that are received next. It is not empty before Next has returned an error.
func (r *CallReader) Grow() []byte { return r.line[r.length:] }

// Advance adds the first n bytes of the buffer that Grow returned.
func (r *CallReader) Advance(n int) { r.length += n }

// Next returns the call and true, or false where more bytes are needed. The error is ErrCallTooLong, ErrMultipleLines or
// ErrUnknownCall.
func (r *CallReader) Next() (Call, bool, error) {
	line, rest, complete := bytes.Cut(r.line[:r.length], []byte{'\n'})
	if !complete {
		if r.length == len(r.line) {
			return 0, false, ErrCallTooLong
		}
		return 0, false, nil
	}
	if len(rest) > 0 {
		return 0, false, ErrMultipleLines
	}
	call, known := calls[string(bytes.TrimSuffix(line, []byte{'\r'}))]
	if !known {
		return 0, false, ErrUnknownCall
	}
	return call, true, nil
}
