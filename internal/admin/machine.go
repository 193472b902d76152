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
	Health Call = iota // does this process take clients?
	Dump               // the figures
	Leave              // drain
	Join               // take clients again
)

var calls = map[string]Call{"HEALTH": Health, "DUMP": Dump, "LEAVE": Leave, "JOIN": Join}

const maxLineLength = 64 // bytes of a call, its end included

// Errors of a call that cannot be used. Their texts go to the caller.
var (
	ErrLong    = errors.New("the call is too long")
	ErrUnknown = errors.New("no such call")
	ErrMore    = errors.New("more than one line")
	ErrHalf    = errors.New("the call did not come whole in time")
)

// Machine reads one call. The zero value is ready.
type Machine struct {
	line [maxLineLength]byte
	n    int
}

// Grow returns where to read the next bytes to.
func (m *Machine) Grow() []byte { return m.line[m.n:] }

// Advance tells that n more bytes stand at the start of what Grow returned.
func (m *Machine) Advance(n int) { m.n += n }

// Next returns the call; ok is false where more bytes must come first.
func (m *Machine) Next() (c Call, ok bool, err error) {
	line, rest, whole := bytes.Cut(m.line[:m.n], []byte{'\n'})
	if !whole {
		if m.n == len(m.line) {
			return 0, false, ErrLong
		}
		return 0, false, nil
	}
	if len(rest) > 0 {
		return 0, false, ErrMore
	}
	c, known := calls[string(bytes.TrimSuffix(line, []byte{'\r'}))]
	if !known {
		return 0, false, ErrUnknown
	}
	return c, true, nil
}
