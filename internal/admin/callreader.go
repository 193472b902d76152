// Package admin is the address where operators call: a line machine that knows no socket, and a thin driver. Each
// connection carries one line and gets one reply, in time whatever the load and whoever else is calling.
package admin

import (
	"bytes"
	"errors"
)

// Call is what a caller wants.
type Call int

// What callers may want.
const (
	CheckHealth Call = iota // does this process take clients?
	DumpMetrics             // the figures
	StartDrain              // drain
	CancelDrain             // take clients again
)

var calls = map[string]Call{"HEALTH": CheckHealth, "DUMP": DumpMetrics, "LEAVE": StartDrain, "JOIN": CancelDrain}

const maxLineLength = 64 // bytes of a call, its end included

// Errors of a call that cannot be used. Their texts go to the caller.
var (
	ErrCallTooLong   = errors.New("the call is too long")
	ErrUnknownCall   = errors.New("no such call")
	ErrMultipleLines = errors.New("more than one line")
	ErrCallTimeout   = errors.New("the call did not come whole in time")
)

// CallReader reads one call. The zero value is ready.
type CallReader struct {
	line [maxLineLength]byte
	n    int
}

// Grow returns where to read the next bytes to.
func (m *CallReader) Grow() []byte { return m.line[m.n:] }

// Advance tells that n more bytes stand at the start of what Grow returned.
func (m *CallReader) Advance(n int) { m.n += n }

// Next returns the call; ok is false where more bytes must come first.
func (m *CallReader) Next() (c Call, ok bool, err error) {
	line, rest, whole := bytes.Cut(m.line[:m.n], []byte{'\n'})
	if !whole {
		if m.n == len(m.line) {
			return 0, false, ErrCallTooLong
		}
		return 0, false, nil
	}
	if len(rest) > 0 {
		return 0, false, ErrMultipleLines
	}
	c, known := calls[string(bytes.TrimSuffix(line, []byte{'\r'}))]
	if !known {
		return 0, false, ErrUnknownCall
	}
	return c, true, nil
}
