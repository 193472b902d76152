package httpwire

import (
	"bytes"
	"strconv"
	"strings"

	"mothrouter/internal/transport/buffer"
)

// LineReader reads one response whose body is lines of JSON, such as a discovery watch. The zero value is ready to use.
type LineReader struct {
	buffer  buffer.Buffer // its message is the decoded part of the body that Next has not returned
	started bool          // the head is complete
	status  int
	framing bodyFraming // length counts the remaining bytes; with unstatedLength the body ends with the connection
	chunked chunkedDecoder
	done    bool
	err     error
}

// Grow returns the slice to read the next bytes into. It invalidates lines returned earlier.
func (r *LineReader) Grow() []byte {
	if !r.started {
		r.buffer.StartMessage()
	}
	return r.buffer.Grow()
}

// Advance marks the first n bytes of the slice that Grow returned as received.
func (r *LineReader) Advance(n int) { r.buffer.Advance(n) }

// Status returns the response's HTTP status, 0 until its head is complete.
func (r *LineReader) Status() int { return r.status }

// Done reports whether the body has ended.
func (r *LineReader) Done() bool { return r.done }

// Next returns the next line without its line end. ok is false if more bytes must be received first or the body has ended. An
// error is an *Error, which all later calls return too: the connection cannot be read any further.
func (r *LineReader) Next() (line []byte, ok bool, err error) {
	if r.err == nil && !r.started {
		r.err = r.readStart()
	}
	if r.err != nil || !r.started {
		return nil, false, r.err
	}
	line, ok, err = r.nextLine()
	r.err = withOffset(err, r.buffer.Consumed())
	return line, ok, r.err
}

// nextLine decodes the body until a line is complete.
func (r *LineReader) nextLine() (line []byte, ok bool, err error) {
	for !r.done {
		if line, ok := r.cutLine(); ok {
			return line, true, nil
		}
		if len(r.buffer.Message()) > maxLine {
			return nil, false, tooLarge(400, maxLine, "a line is too long")
		}
		used, err := r.decodeBody()
		if err != nil {
			return nil, false, err
		}
		if rest := r.buffer.Message(); r.bodyEnded() && bytes.IndexByte(rest, '\n') < 0 {
			r.done = true
			return rest, len(rest) > 0, nil // the last line may have no line end
		}
		if used == 0 {
			break
		}
	}
	return nil, false, nil
}

// cutLine removes and returns the first line of the decoded body.
func (r *LineReader) cutLine() (line []byte, ok bool) {
	line, _, ok = bytes.Cut(r.buffer.Message(), []byte{'\n'})
	if !ok {
		return nil, false
	}
	r.buffer.Discard(len(line) + 1)
	return bytes.TrimSuffix(line, []byte("\r")), true
}

// decodeBody moves unread bytes of the body to the decoded part and returns how many it has consumed, framing included.
func (r *LineReader) decodeBody() (used int, err error) {
	unread := r.buffer.Unread()
	switch {
	case r.framing.chunked:
		used, isData, err := r.chunked.decode(unread)
		if isData {
			r.buffer.Append(used)
		} else {
			r.buffer.Skip(used)
		}
		return used, err
	case r.framing.length == unstatedLength:
		used = len(unread)
	default:
		used = min(len(unread), r.framing.length)
		r.framing.length -= used
	}
	r.buffer.Append(used)
	return used, nil
}

func (r *LineReader) bodyEnded() bool {
	if r.framing.chunked {
		return r.chunked.done()
	}
	return r.framing.length == 0
}

// readStart reads the head once it is complete.
func (r *LineReader) readStart() error {
	h, err := readHead(&r.buffer)
	if h == nil || err != nil {
		return withOffset(err, r.buffer.Consumed())
	}
	return withOffset(r.startResponse(h), h.offset)
}

// startResponse starts the response that begins with h.
func (r *LineReader) startResponse(h *head) (err error) {
	version, rest, _ := strings.Cut(h.startLine, " ")
	code, _, _ := strings.Cut(rest, " ")
	r.status, err = strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") {
		return malformed("status line: cannot read %q", h.startLine)
	}
	r.framing, err = h.framing()
	if err != nil {
		return err
	}
	r.started = true
	r.buffer.StartMessage()
	return nil
}
