package httpwire

import (
	"strings"

	"mothrouter/internal/transport/buffer"
)

// Request is one request of a client.
type Request struct {
	Method string
	Path   string // without the query
	Query  string // what follows the path's "?", not decoded
	Fields Fields
	Body   []byte // a slice of the reader's buffer
	Close  bool   // the client ends the connection after this request
}

// Fields are the values of the header fields that a query has, empty where the header lacks them. The other fields are dropped
// with the head, since a request whose body is incomplete would hold them in memory.
type Fields struct {
	ID       string // X-Request-Id
	Class    string // X-Class
	Deadline string // X-Deadline
	Retry    string // X-Retry
}

// RequestReader parses the requests of one connection. The zero value is ready to use.
type RequestReader struct {
	buffer          buffer.Buffer // its message is the body of request
	headSize        int           // bytes of the head of the latest request
	request         *Request      // has a complete head and an incomplete body; nil: none
	framing         bodyFraming
	chunked         chunkedDecoder
	expectsContinue bool // the client waits for a 100 (Continue) before it sends the body
	err             error
}

// ExpectsContinue reports whether the client waits for a 100 (Continue) before it sends the body. It returns true at most once
// for each request.
func (r *RequestReader) ExpectsContinue() bool {
	expects := r.expectsContinue && r.request != nil && r.Unread() == 0
	if expects {
		r.expectsContinue = false
	}
	return expects
}

// Grow returns the slice to read the next bytes into. It invalidates requests returned earlier.
func (r *RequestReader) Grow() []byte {
	r.discardServed()
	return r.buffer.Grow()
}

// discardServed discards the body of a request that Next has returned.
func (r *RequestReader) discardServed() {
	if r.request == nil {
		r.buffer.StartMessage()
	}
}

// Advance marks the first n bytes of the slice that Grow returned as received.
func (r *RequestReader) Advance(n int) { r.buffer.Advance(n) }

// Buffered returns the memory in bytes that the reader holds, with the head of an incomplete request.
func (r *RequestReader) Buffered() int { return r.buffer.Cap() + r.heldHead() }

// BufferedAfterGrow returns what Buffered will return after the next call of Grow. It invalidates requests returned earlier.
func (r *RequestReader) BufferedAfterGrow() int {
	r.discardServed()
	return r.buffer.CapAfterGrow() + r.heldHead()
}

// heldHead returns the size of the head of an incomplete request, 0 if there is none.
func (r *RequestReader) heldHead() int {
	if r.request == nil {
		return 0
	}
	return r.headSize
}

// Unread returns how many received bytes are not consumed. Between requests they belong to later requests.
func (r *RequestReader) Unread() int { return len(r.buffer.Unread()) }

// Receiving reports whether part of a request has been received that Next has not returned yet.
func (r *RequestReader) Receiving() bool { return r.request != nil || r.Unread() > 0 }

// Full reports whether the unread bytes may hold a request of the largest size. The driver must not read more until Next has
// consumed it.
func (r *RequestReader) Full() bool { return r.Unread() > maxHead+MaxBody }

// Next returns the next request, or nil if more bytes must be received first. An error is an *Error, which all later calls
// return too: the connection cannot be read any further.
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

// startRequest starts the request that begins with h.
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
	r.headSize = h.size
	fields, err := h.queryFields()
	if err != nil {
		return err
	}
	r.request = &Request{Method: method, Path: path, Query: query, Fields: fields, Close: h.closes(version)}
	r.expectsContinue = version == "HTTP/1.1" && strings.EqualFold(h.header.Get("Expect"), "100-continue")
	r.buffer.StartMessage()
	return nil
}

// decodeBody consumes the received part of the body and reports whether it is complete.
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
