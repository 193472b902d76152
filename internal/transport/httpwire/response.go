package httpwire

import (
	"bytes"
	"strconv"
	"strings"
)

// maxLine is the longest line of a watch: a whole list of some thousand servers.
const maxLine = 1 << 20

// LineReader reads one response whose body is lines of JSON, as discovery's watch is.
type LineReader struct {
	buf     buffer
	from    int
	lineEnd int // the line so far is buf.b[from:lineEnd]
	started bool
	status  int
	length  int // left of a body with a length; -1: until the connection ends
	chunked bool
	chunks  chunks
	done    bool
	err     error
}

// Grow returns where to read the next bytes to. It ends what earlier lines refer to.
func (d *LineReader) Grow() []byte {
	if !d.started {
		d.from = d.buf.r
	} else if d.buf.r > d.lineEnd {
		n := copy(d.buf.b[d.lineEnd:], d.buf.unread())
		d.buf.r, d.buf.w = d.lineEnd, d.lineEnd+n
	}
	was := d.from
	s := d.buf.space(&d.from)
	d.lineEnd -= was - d.from
	return s
}

// Advance tells that n more bytes stand at the start of what Grow returned.
func (d *LineReader) Advance(n int) { d.buf.w += n }

// Status is the response's status, 0 while its head is not complete.
func (d *LineReader) Status() int { return d.status }

// Done tells that the body has ended.
func (d *LineReader) Done() bool { return d.done }

// Next returns the next line without its end. ok is false where more bytes must come first.
func (d *LineReader) Next() (line []byte, ok bool, err error) {
	if d.err == nil && !d.started {
		d.err = d.begin()
	}
	for d.err == nil && d.started && !d.done {
		if end := bytes.IndexByte(d.buf.b[d.from:d.lineEnd], '\n'); end >= 0 {
			line = bytes.TrimSuffix(d.buf.b[d.from:d.from+end], []byte("\r"))
			d.from += end + 1
			return line, true, nil
		}
		if d.lineEnd-d.from > maxLine {
			d.err = malformed("a line is too long")
			break
		}
		// The line so far and the data behind it must stand together.
		var used int
		var data []byte
		p := d.buf.unread()
		switch {
		case d.chunked:
			used, data, d.err = d.chunks.next(p)
		case d.length < 0:
			used, data = len(p), p
		default:
			used = min(len(p), d.length)
			data, d.length = p[:used], d.length-used
		}
		if d.err != nil {
			break
		}
		d.lineEnd += copy(d.buf.b[d.lineEnd:], data)
		d.buf.r += used
		ended := d.chunked && d.chunks.state == chunkDone || !d.chunked && d.length == 0
		if ended && bytes.IndexByte(d.buf.b[d.from:d.lineEnd], '\n') < 0 {
			d.done = true
			if d.lineEnd > d.from { // a body may end without a line end
				return d.buf.b[d.from:d.lineEnd], true, nil
			}
		}
		if used == 0 {
			break
		}
	}
	return nil, false, d.err
}

func (d *LineReader) begin() error {
	h, err := d.buf.readHead()
	if h == nil || err != nil {
		return err
	}
	version, rest, _ := strings.Cut(h.line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if d.status, err = strconv.Atoi(code); err != nil || !strings.HasPrefix(version, "HTTP/1.") {
		return malformed("status line: cannot read %q", h.line)
	}
	if d.length, d.chunked, err = h.framing(); err != nil {
		return err
	}
	d.started, d.from, d.lineEnd = true, d.buf.r, d.buf.r
	return nil
}

// Object puts lines together to JSON objects: one may stand on a line, or be indented over several.
type Object struct {
	text           []byte
	depth          int
	quoted, escape bool // within a string; behind a backslash there
}

// Add takes one more line. Once an object is whole it returns its text, good until the next call; an empty line
// between objects is whole and has none.
func (o *Object) Add(line []byte) (text []byte, whole bool, err error) {
	if o.depth == 0 {
		if o.text = o.text[:0]; cap(o.text) > maxIdleBuffer {
			o.text = nil
		}
	}
	for _, c := range line {
		switch {
		case o.escape:
			o.escape = false
		case o.quoted:
			o.escape, o.quoted = c == '\\', c != '"'
		case c == '"':
			o.quoted = true
		case c == '{' || c == '[':
			o.depth++
		case c == '}' || c == ']':
			o.depth--
		}
	}
	if o.depth < 0 || o.quoted { // no string goes over a line's end
		return nil, false, malformed("an object that cannot be read")
	}
	if o.text = append(o.text, line...); len(o.text) > maxLine {
		return nil, false, malformed("an object is too long")
	}
	return bytes.TrimSpace(o.text), o.depth == 0, nil
}
