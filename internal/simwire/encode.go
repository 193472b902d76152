package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"mothrouter/internal/decision"
)

// writeBufferSize is the size of the write buffer in bytes. It holds all but the largest replies.
const writeBufferSize = 1 << 18

// Encoder writes replies to batches.
type Encoder struct {
	out  *bufio.Writer
	line []byte // the line being built, without its line terminator
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{out: bufio.NewWriterSize(w, writeBufferSize)}
}

// startLine starts a line with the name of the message and the instance.
func (e *Encoder) startLine(message string, instance int) {
	e.line = append(e.line[:0], message...)
	e.line = append(e.line, " mixer="...)
	e.line = strconv.AppendInt(e.line, int64(instance), 10)
}

// startField appends a space, the name of a field and an equals sign.
func (e *Encoder) startField(name string) {
	e.line = append(e.line, ' ')
	e.line = append(e.line, name...)
	e.line = append(e.line, '=')
}

// integer appends a field with an integer value.
func (e *Encoder) integer(name string, value uint64) {
	e.startField(name)
	e.line = strconv.AppendUint(e.line, value, 10)
}

// seconds appends a field with a time in seconds, to the microsecond.
func (e *Encoder) seconds(name string, value float64) {
	e.startField(name)
	e.line = strconv.AppendFloat(e.line, value, 'f', 6, 64)
}

// text appends a field with an unescaped text. Only the value of the last field of a line may contain spaces.
func (e *Encoder) text(name, value string) {
	e.startField(name)
	e.line = append(e.line, value...)
}

// flag appends a field with a bool, which is 0 or 1 on the wire.
func (e *Encoder) flag(name string, value bool) {
	if value {
		e.integer(name, 1)
	} else {
		e.integer(name, 0)
	}
}

// WriteAction writes one action of an instance. It returns an error if the writer fails or the type of the action is unknown.
func (e *Encoder) WriteAction(instance int, action decision.Action) error {
	switch a := action.(type) {
	case decision.Send:
		e.startRequestLine("dispatch", instance, a.ID)
		e.text("searcher", a.Server)
		if a.Timeout != 0 {
			e.seconds("withinS", a.Timeout)
		}
	case decision.Respond:
		e.startRequestLine("assemble", instance, a.ID)
		e.flag("complete", a.Complete)
	case decision.Reject:
		e.startRequestLine("decline", instance, a.ID)
		if a.RetryAfter > 0 {
			e.seconds("notBeforeForS", a.RetryAfter)
		}
	case decision.Fail:
		e.startRequestLine("fail", instance, a.ID)
	case decision.Cancel:
		e.startRequestLine("retract", instance, a.ID)
		e.integer("shot", uint64(a.Attempt))
	default:
		return e.writeInstanceAction(instance, action)
	}
	return e.endLine()
}

// startRequestLine starts the line of an action that is addressed to a query or part.
func (e *Encoder) startRequestLine(message string, instance int, id decision.RequestID) {
	e.startLine(message, instance)
	e.integer("msgId", uint64(id))
}

// writeInstanceAction writes an action that is not addressed to a query or part.
func (e *Encoder) writeInstanceAction(instance int, action decision.Action) error {
	switch a := action.(type) {
	case decision.SetTimer:
		e.startLine("after", instance)
		e.integer("nonce", a.Token)
		e.seconds("alarmTimeS", a.At)
	case decision.CheckHealth:
		e.startLine("sample", instance)
		e.text("searcher", a.Server)
	case decision.WatchEndpoints:
		e.startLine("observe", instance)
		e.flag("complete", a.On)
	case decision.FetchEndpoints:
		e.startLine("lookup", instance)
	case decision.Log:
		e.startLine("record", instance)
		e.text("line", oneLine(a.Line))
	default:
		return fmt.Errorf("action type %T has no encoding on the simulator's wire", action)
	}
	return e.endLine()
}

// WriteFailure reports that the Decider of an instance has failed.
func (e *Encoder) WriteFailure(instance int, cause string) error {
	e.startLine("bail_out", instance)
	e.text("line", oneLine(cause))
	return e.endLine()
}

// EndBatch ends the reply to the batch with the given sequence number, and flushes the writer.
func (e *Encoder) EndBatch(sequence string) error {
	e.line = append(e.line[:0], "ok frame="...)
	e.line = append(e.line, sequence...)
	if err := e.endLine(); err != nil {
		return err
	}
	return e.out.Flush()
}

// endLine terminates the line and writes it to the buffer.
func (e *Encoder) endLine() error {
	e.line = append(e.line, '\n')
	_, err := e.out.Write(e.line)
	return err
}

// oneLine replaces line breaks with spaces.
func oneLine(text string) string {
	return strings.NewReplacer("\n", " ", "\r", " ").Replace(text)
}
