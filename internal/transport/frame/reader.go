package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"mothrouter/internal/transport/buffer"
)

// Error is input that breaks the protocol. The connection cannot be read on.
type Error struct {
	Reason string
	Limit  int   // bound in bytes that the input exceeds; 0: it exceeds none
	Offset int64 // bytes of the connection that precede the frame at fault
}

func (e *Error) Error() string { return e.Reason }

func newError(format string, args ...any) *Error { return &Error{Reason: fmt.Sprintf(format, args...)} }

// withOffset sets the offset of an error that this package has just made.
func withOffset(err error, offset int64) error {
	if e, ok := errors.AsType[*Error](err); ok {
		e.Offset = offset
	}
	return err
}

// Message is one frame from a record server.
type Message struct {
	Type  byte   // TypeReply and so on
	Reply Reply  // of TypeReply
	Body  []byte // of all types, without the byte of type
}

// Reader reads frames. The zero value is ready to read.
type Reader struct {
	buffer buffer.Buffer
	err    error
}

// Grow returns the slice to read the next bytes into. Messages returned earlier are invalid from now on.
func (r *Reader) Grow() []byte {
	r.buffer.StartMessage()
	r.buffer.Compact()
	return r.buffer.Grow()
}

// Advance marks the first n bytes of the slice that Grow returned as received.
func (r *Reader) Advance(n int) { r.buffer.Advance(n) }

// Receiving reports whether a frame has been received in part.
func (r *Reader) Receiving() bool { return len(r.buffer.Unread()) > 0 }

// Next returns the next message. ok is false where more bytes must be received first. After an error, which is an *Error, the
// connection cannot be read on.
func (r *Reader) Next() (m Message, ok bool, err error) {
	if r.err != nil {
		return Message{}, false, r.err
	}
	offset := r.buffer.Consumed()
	ok, r.err = r.parse(&m)
	if r.err != nil {
		return Message{}, false, withOffset(r.err, offset)
	}
	return m, ok, nil
}

// parse parses the next frame into m and reports whether it is complete.
func (r *Reader) parse(m *Message) (complete bool, err error) {
	unread := r.buffer.Unread()
	if len(unread) < headerSize {
		return false, nil
	}
	length := binary.BigEndian.Uint32(unread)
	switch {
	case length == 0:
		return false, newError("a frame of 0 bytes")
	case length > MaxFrame:
		return false, &Error{Reason: fmt.Sprintf("a frame of %d bytes", length), Limit: MaxFrame}
	}
	end := headerSize + int(length)
	received := unread[headerSize:min(len(unread), end)]
	if err := checkStart(received); err != nil {
		return false, err
	}
	if len(unread) < end {
		return false, nil
	}
	r.buffer.Skip(end)
	m.Type, m.Body = received[0], received[1:]
	if m.Type == TypeReply {
		if err := parseReply(&m.Reply, m.Body); err != nil {
			return false, err
		}
	}
	return true, nil
}

// checkStart checks what has been received of a frame behind its length. Noise that reads as a length would take the valid
// answers behind it for the rest of a frame, so that such a frame must fail before it is complete.
func checkStart(received []byte) error {
	if len(received) == 0 {
		return nil
	}
	switch received[0] {
	case TypeCall, TypeCancel, TypeHealth, TypeLoadReport, TypeRejected:
		return nil
	case TypeReply:
		if len(received) >= maxReplyLine && bytes.IndexByte(received[:maxReplyLine], '\n') < 0 {
			return &Error{Reason: "an R frame whose line does not end", Limit: maxReplyLine}
		}
		return nil
	}
	return newError("a frame of the letter %q", received[0])
}
