package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"mothrouter/internal/transport/buffer"
)

// Error reports input that violates the protocol. Nothing more can be read from the connection.
type Error struct {
	Reason string
	Limit  int   // limit in bytes that the input exceeds; 0: it exceeds none
	Offset int64 // bytes received on the connection before the invalid frame
}

func (e *Error) Error() string { return e.Reason }

func newError(format string, args ...any) *Error { return &Error{Reason: fmt.Sprintf(format, args...)} }

// withOffset sets the offset of an *Error that has just been created.
func withOffset(err error, offset int64) error {
	if e, ok := errors.AsType[*Error](err); ok {
		e.Offset = offset
	}
	return err
}

// Message is one frame from a record server.
type Message struct {
	Type  byte   // TypeReply etc.
	Reply Reply  // the parsed Body of a TypeReply message
	Body  []byte // the frame without its length and type
}

// Reader parses the frames of one connection. The zero value is ready to use.
type Reader struct {
	buffer buffer.Buffer
	err    error
}

// Grow returns the slice to read the next bytes into. It invalidates messages returned earlier.
func (r *Reader) Grow() []byte {
	r.buffer.StartMessage()
	r.buffer.Compact()
	return r.buffer.Grow()
}

// Advance marks the first n bytes of the slice that Grow returned as received.
func (r *Reader) Advance(n int) { r.buffer.Advance(n) }

// Receiving reports whether part of a frame has been received.
func (r *Reader) Receiving() bool { return len(r.buffer.Unread()) > 0 }

// Next returns the next message. ok is false if more bytes must be received first. An error is an *Error, which all later calls
// return too.
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
	if len(unread) < lengthSize {
		return false, nil
	}
	length := binary.BigEndian.Uint32(unread)
	switch {
	case length == 0:
		return false, newError("a frame of 0 bytes")
	case length > MaxFrame:
		return false, &Error{Reason: fmt.Sprintf("a frame of %d bytes", length), Limit: MaxFrame}
	}
	end := lengthSize + int(length)
	received := unread[lengthSize:min(len(unread), end)]
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

// checkStart checks the received part of a frame, without its length. Corrupt bytes that parse as a length would swallow the
// valid replies after them as the rest of a frame, so such a frame must fail before it is complete.
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
