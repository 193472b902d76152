package httpwire

import (
	"net/textproto"
	"strings"
)

// Request is one request of a client. Body is a slice of the reader's buffer.
type Request struct {
	Method, Path string
	Query        string // behind the path's "?", as it came
	Header       textproto.MIMEHeader
	Body         []byte
	Close        bool // the client ends the connection after it
}

// RequestReader reads requests, one after the other.
type RequestReader struct {
	buf     buffer
	from    int // start of what must be kept: the body so far, else what is unread
	req     *Request
	bodyEnd int // the body so far is buf.b[from:bodyEnd]
	length  int
	chunked bool
	chunks  chunks
	expects bool // the client waits for a 100 before it sends the body
	err     error
}

// ExpectsContinue tells, once a request, that its client waits for a 100 (Continue) before it sends the body.
func (d *RequestReader) ExpectsContinue() bool {
	waits := d.expects && d.req != nil && len(d.buf.unread()) == 0
	d.expects = d.expects && !waits
	return waits
}

// Grow returns where to read the next bytes to. It ends what earlier requests refer to.
func (d *RequestReader) Grow() []byte {
	if d.req == nil {
		d.from = d.buf.r
	} else if d.chunked && d.buf.r > d.bodyEnd {
		// The chunks' framing leaves a gap behind the body; close it, so that the buffer stays bounded.
		n := copy(d.buf.b[d.bodyEnd:], d.buf.unread())
		d.buf.r, d.buf.w = d.bodyEnd, d.bodyEnd+n
	}
	was := d.from
	s := d.buf.space(&d.from)
	d.bodyEnd -= was - d.from
	return s
}

// Advance tells that n more bytes stand at the start of what Grow returned.
func (d *RequestReader) Advance(n int) { d.buf.w += n }

// Buffered is how much room the reader holds.
func (d *RequestReader) Buffered() int { return len(d.buf.b) }

// Unread is how many received bytes belong to no request that Next has returned.
func (d *RequestReader) Unread() int { return len(d.buf.unread()) }

// Receiving tells that a request has come in part.
func (d *RequestReader) Receiving() bool { return d.req != nil || len(d.buf.unread()) > 0 }

// Full tells that so much is waiting that no more should be read before Next has taken it.
func (d *RequestReader) Full() bool { return len(d.buf.unread()) > maxHead+MaxBody }

// Next returns the next request, or nil where more bytes must come first. After an error the connection
// cannot be read on.
func (d *RequestReader) Next() (*Request, error) {
	if d.err == nil && d.req == nil {
		d.err = d.readStart()
	}
	if d.err == nil && d.req != nil {
		var done bool
		if done, d.err = d.body(); done {
			req := d.req
			req.Body = d.buf.b[d.from:d.bodyEnd:d.bodyEnd]
			d.req = nil
			return req, nil
		}
	}
	return nil, d.err
}

func (d *RequestReader) readStart() error {
	h, err := d.buf.readHead()
	if h == nil || err != nil {
		return err
	}
	method, rest, _ := strings.Cut(h.line, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || method == "" || !strings.HasPrefix(target, "/") {
		return malformed("start line: cannot read %q", h.line)
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return &Error{505, "HTTP/1.1 is spoken here"}
	}
	d.length, d.chunked, err = h.framing()
	if err != nil {
		return err
	}
	d.length = max(d.length, 0) // a request without either has no body
	path, query, _ := strings.Cut(target, "?")
	d.req = &Request{Method: method, Path: path, Query: query, Header: h.header, Close: h.closes(version)}
	d.from, d.bodyEnd, d.chunks = d.buf.r, d.buf.r, chunks{}
	d.expects = version == "HTTP/1.1" && strings.EqualFold(h.header.Get("Expect"), "100-continue")
	return nil
}

// body takes what has come of the body and tells whether it is complete.
func (d *RequestReader) body() (bool, error) {
	if !d.chunked {
		if len(d.buf.unread()) < d.length {
			return false, nil
		}
		d.buf.r += d.length
		d.bodyEnd = d.buf.r
		return true, nil
	}
	for {
		used, data, err := d.chunks.next(d.buf.unread())
		if err != nil {
			return false, err
		}
		if d.bodyEnd-d.from+len(data) > MaxBody {
			return false, &Error{413, "the body is too long"}
		}
		d.bodyEnd += copy(d.buf.b[d.bodyEnd:], data)
		d.buf.r += used
		if d.chunks.state == chunkDone {
			return true, nil
		}
		if used == 0 {
			return false, nil
		}
	}
}
