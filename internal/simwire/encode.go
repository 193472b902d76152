package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"mothrouter/internal/decision"
)

// Encoder writes replies.
type Encoder struct {
	out *bufio.Writer
	buf []byte
}

// NewEncoder writes replies to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{out: bufio.NewWriterSize(w, 1<<18)}
}

func (e *Encoder) begin(name string, mixer int) {
	e.buf = append(append(e.buf[:0], name...), " mixer="...)
	e.buf = strconv.AppendInt(e.buf, int64(mixer), 10)
}

func (e *Encoder) integer(name string, v uint64) {
	e.buf = strconv.AppendUint(append(append(append(e.buf, ' '), name...), '='), v, 10)
}

func (e *Encoder) seconds(name string, v float64) {
	e.buf = strconv.AppendFloat(append(append(append(e.buf, ' '), name...), '='), v, 'f', 6, 64)
}

func (e *Encoder) text(name, v string) {
	e.buf = append(append(append(append(e.buf, ' '), name...), '='), v...)
}

func (e *Encoder) flag(name string, v bool) {
	if v {
		e.integer(name, 1)
	} else {
		e.integer(name, 0)
	}
}

// Action writes one action of an instance.
func (e *Encoder) Action(mixer int, action decision.Action) error {
	switch a := action.(type) {
	case decision.Send:
		e.begin("dispatch", mixer)
		e.integer("msgId", uint64(a.ID))
		e.text("searcher", a.Server)
		if a.Timeout != 0 {
			e.seconds("withinS", a.Timeout)
		}
	case decision.Respond:
		e.begin("assemble", mixer)
		e.integer("msgId", uint64(a.ID))
		e.flag("complete", a.Complete)
	case decision.Reject:
		e.begin("decline", mixer)
		e.integer("msgId", uint64(a.ID))
		if a.RetryAfter > 0 {
			e.seconds("notBeforeForS", a.RetryAfter)
		}
	case decision.Fail:
		e.begin("fail", mixer)
		e.integer("msgId", uint64(a.ID))
	case decision.Cancel:
		e.begin("retract", mixer)
		e.integer("msgId", uint64(a.ID))
		e.integer("shot", uint64(a.Attempt))
	case decision.SetTimer:
		e.begin("after", mixer)
		e.integer("nonce", a.Token)
		e.seconds("alarmTimeS", a.At)
	case decision.CheckHealth:
		e.begin("sample", mixer)
		e.text("searcher", a.Server)
	case decision.WatchEndpoints:
		e.begin("observe", mixer)
		e.flag("complete", a.On)
	case decision.FetchEndpoints:
		e.begin("lookup", mixer)
	case decision.Log:
		e.begin("record", mixer)
		e.text("line", oneLine(a.Line))
	default:
		return fmt.Errorf("action %T has no form on the wire", action)
	}
	return e.flushLine()
}

// BailOut reports that the decision code of an instance has failed.
func (e *Encoder) BailOut(mixer int, why string) error {
	e.begin("bail_out", mixer)
	e.text("line", oneLine(why))
	return e.flushLine()
}

// End closes the reply to a batch and flushes it.
func (e *Encoder) End(seq string) error {
	e.buf = append(append(e.buf[:0], "ok frame="...), seq...)
	if err := e.flushLine(); err != nil {
		return err
	}
	return e.out.Flush()
}

func (e *Encoder) flushLine() error {
	_, err := e.out.Write(append(e.buf, '\n'))
	return err
}

// oneLine keeps a text from breaking the line that carries it.
func oneLine(s string) string {
	return strings.NewReplacer("\n", " ", "\r", " ").Replace(s)
}
