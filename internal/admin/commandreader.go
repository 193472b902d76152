// Package admin serves the control address, through which operators check and drain a broker. CommandReader parses commands
// without I/O; Server handles the connections. Each connection carries one command, which is a single line, and receives one
// reply within a second, whatever the load and the number of other connections.
package admin

import (
	"bytes"
	"errors"
)

// Command is a command of an operator.
type Command int

// Commands of the admin protocol.
const (
	CheckHealth Command = iota // report whether the process accepts clients
	DumpMetrics                // return all metrics
	StartDrain                 // start a drain
	CancelDrain                // cancel the drain
)

// commands maps lines to commands.
var commands = map[string]Command{
	"HEALTH": CheckHealth, "DUMP": DumpMetrics, "LEAVE": StartDrain, "JOIN": CancelDrain,
}

const maxLineLength = 64 // in bytes, including the line terminator

// Errors of a rejected command. Their texts are sent to the client and are part of the protocol, which calls a command a call.
var (
	ErrCommandTooLong = errors.New("the call is too long")
	ErrUnknownCommand = errors.New("no such call")
	ErrMultipleLines  = errors.New("more than one line")
	ErrCommandTimeout = errors.New("the call did not come whole in time")
)

// CommandReader parses one command. The zero value is ready to use.
type CommandReader struct {
	line   [maxLineLength]byte
	length int // number of bytes received
}

// Grow returns the buffer for the next bytes to receive. It is empty only after Next has returned an error.
func (r *CommandReader) Grow() []byte { return r.line[r.length:] }

// Advance records that n bytes were received into the buffer that Grow returned.
func (r *CommandReader) Advance(n int) { r.length += n }

// Next returns the command and true, or false if more bytes are needed. The error is ErrCommandTooLong, ErrMultipleLines or
// ErrUnknownCommand.
func (r *CommandReader) Next() (Command, bool, error) {
	line, rest, complete := bytes.Cut(r.line[:r.length], []byte{'\n'})
	if !complete {
		if r.length == len(r.line) {
			return 0, false, ErrCommandTooLong
		}
		return 0, false, nil
	}
	if len(rest) > 0 {
		return 0, false, ErrMultipleLines
	}
	command, known := commands[string(bytes.TrimSuffix(line, []byte{'\r'}))]
	if !known {
		return 0, false, ErrUnknownCommand
	}
	return command, true, nil
}
