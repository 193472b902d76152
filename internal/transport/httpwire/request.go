package httpwire

import (
	"net/textproto"
	"strings"

	"mothrouter/internal/transport/buffer"
)

// Request is one request of a client.
type Request struct {
	Method string
	Path   string // without the query
	Query  string // what follows the path's "?", not decoded
	Header textproto.MIMEHeader
	Body   []byte // a slice of the reader's buffer
	Close  bool   // the client ends the connection after this request
}

// RequestReader reads requests, one after the other. The zero value is ready to read.
type RequestReader struct {
	buffer          buffer.Buffer // its message is the body of request
	request         *Request      // whose head is complete and whose body is not; nil: none
	framing         bodyFraming
	chunked         chunkedDecoder
	expectsContinue bool // the client waits for a 100 (Continue) before it sends the body
	err             error
}

// ExpectsContinue reports, once a request, whether its client waits for a 100 (Continue) before it sends the body.
func (r *RequestReader) ExpectsContinue() bool {
	waits := r.expectsContinue && r.request != nil && r.Unread() == 0
	if waits {
		r.expectsContinue = false
	}
	return waits
}

// Grow returns the slice to read the next bytes into. Requests returned earlier are invalid from now on.
func (r *RequestReader) Grow() []byte {
	if r.request == nil {
		r.buffer.StartMessage()
	}
	return r.buffer.Grow()
}

// Advance marks the first n bytes of the slice that Grow returned as received.
func (r *RequestReader) Advance(n int) { r.buffer.Advance(n) }

// Buffered returns the memory in bytes that the reader holds.
func (r *RequestReader) Buffered() int { return r.buffer.Cap() }

// Unread returns how many received bytes are not consumed. Between requests they belong to none that Next has returned.
func (r *RequestReader) Unread() int { return len(r.buffer.Unread()) }

// Receiving reports whether a part of a request has been received that Next has not returned.
func (r *RequestReader) Receiving() bool { return r.request != nil || r.Unread() > 0 }

// Full reports whether a request of the largest size may be unread: the driver must not read more before Next has taken it.
func (r *RequestReader) Full() bool { return r.Unread() > maxHead+MaxBody }

// Next returns the next request, or nil where more bytes must be received first. After an error, which is an *Error, the
// connection cannot be read on.
func (r *RequestReader) Next() (*Request, error) {
	if r.err == nil && r.request == nil {
		r.err = r.readStart()
	}
	if r.err != nil || r.request == nil {
		return nil, r.err
	}
	complete, err := r.decodeBody()
	if err != nil {
		r.err = withOffset(err, r.buffer.Consumed())
	}
	if !complete {
		return nil, r.err
	}
	request := r.request
	request.Body = r.buffer.Message()
	r.request = nil
	return request, nil
}

// readStart reads the head once it is complete.
func (r *RequestReader) readStart() error {
	h, err := readHead(&r.buffer)
	if h == nil || err != nil {
		return withOffset(err, r.buffer.Consumed())
	}
	return withOffset(r.startRequest(h), h.offset)
}

// startRequest takes up the request that a head begins.
func (r *RequestReader) startRequest(h *head) (err error) {
	method, rest, _ := strings.Cut(h.startLine, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || method == "" || !strings.HasPrefix(target, "/") {
		return malformed("start line: cannot read %q", h.startLine)
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return &Error{Status: 505, Reason: "HTTP/1.1 is spoken here"}
	}
	r.framing, err = h.framing()
	if err != nil {
		return err
	}
	r.framing.length = max(r.framing.length, 0) // a request that states no length has no body
	r.chunked = chunkedDecoder{}
	path, query, _ := strings.Cut(target, "?")
	r.request = &Request{Method: method, Path: path, Query: query, Header: h.header, Close: h.closes(version)}
	r.expectsContinue = version == "HTTP/1.1" && strings.EqualFold(h.header.Get("Expect"), "100-continue")
	r.buffer.StartMessage()
	return nil
}

// decodeBody consumes what has been received of the body and reports whether it is complete.
func (r *RequestReader) decodeBody() (complete bool, err error) {
	if !r.framing.chunked {
		if r.Unread() < r.framing.length {
			return false, nil
		}
		r.buffer.Append(r.framing.length)
		return true, nil
	}
	for {
		used, isData, err := r.chunked.decode(r.buffer.Unread())
		switch {
		case err != nil:
			return false, err
		case !isData:
			r.buffer.Skip(used)
		case len(r.buffer.Message())+used > MaxBody:
			return false, errBodyTooLong()
		default:
			r.buffer.Append(used)
		}
		if r.chunked.done() {
			return true, nil
		}
		if used == 0 {
			return false, nil
		}
	}
}
