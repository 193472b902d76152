// Package httpwire is the HTTP/1.1 of the client front and of discovery as state machines. They are fed
// bytes and know no socket: a driver reads into Grow, reports the count by Advance and takes what has
// become complete. What they return are slices of the buffer, good until the next call of Grow.
package httpwire

import (
	"bufio"
	"bytes"
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	// MaxBody is the largest body that either side may send.
	MaxBody       = 64 << 10
	maxHead       = 8 << 10
	readSize      = 4 << 10
	maxIdleBuffer = 16 << 10 // room that is kept for the next message
	maxChunk      = 64       // longest chunk-size line
)

// Error is input that breaks the protocol, with the status that answers it.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

func malformed(format string, args ...any) *Error {
	return &Error{400, fmt.Sprintf(format, args...)}
}

// buffer holds bytes as they came; what is before r has been used.
type buffer struct {
	b    []byte
	r, w int
}

func (b *buffer) unread() []byte { return b.b[b.r:b.w] }

// space makes room for more, keeping what starts at from.
func (b *buffer) space(from *int) []byte {
	if b.r == b.w && *from == b.w && len(b.b) > maxIdleBuffer {
		// Guards the memory: a connection that once brought a large message must not keep its room for good.
		*b, *from = buffer{}, 0
	}
	if n := *from; n > 0 && (b.w == n || len(b.b)-b.w < readSize/2) {
		copy(b.b, b.b[n:b.w])
		b.r, b.w, *from = b.r-n, b.w-n, 0
	}
	if len(b.b)-b.w < readSize/2 {
		grown := make([]byte, max(readSize, 2*len(b.b)))
		copy(grown, b.b[:b.w])
		b.b = grown
	}
	return b.b[b.w:]
}

// head is a parsed start line with its header.
type head struct {
	line   string
	header textproto.MIMEHeader
}

// readHead returns the head once it is complete.
func (b *buffer) readHead() (*head, error) {
	// Empty lines before a start line are skipped, as RFC 9112 advises.
	for b.r < b.w && (b.b[b.r] == '\r' || b.b[b.r] == '\n') {
		b.r++
	}
	text := b.unread()
	end := bytes.Index(text, []byte("\r\n\r\n"))
	if end < 0 {
		if len(text) >= maxHead+len("\r\n\r\n") {
			return nil, &Error{431, "the header is too long"}
		}
		return nil, nil
	}
	if end > maxHead {
		return nil, &Error{431, "the header is too long"}
	}
	// Guards against a second request hidden in a body: a name such as "Transfer-Encoding " and lines that end
	// in a bare line feed are read by some and not by others.
	for line := range bytes.Lines(text[:end+2]) {
		if !bytes.HasSuffix(line, []byte("\r\n")) {
			return nil, malformed("header: a line ends without a carriage return")
		}
		name, _, colon := bytes.Cut(line, []byte{':'})
		if colon && bytes.ContainsAny(name, " \t") && &line[0] != &text[0] { // the start line has no name
			return nil, malformed("header: the name %q is no token", name)
		}
	}
	in := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(text[:end+4]), 512))
	line, err := in.ReadLine()
	if err != nil {
		return nil, malformed("start line: %v", err)
	}
	h, err := in.ReadMIMEHeader()
	if err != nil {
		return nil, malformed("header: %v", err)
	}
	b.r += end + 4
	return &head{line, h}, nil
}

// closes tells whether the side that sent the header ends the connection after this message.
func (h *head) closes(version string) bool {
	for _, v := range h.header["Connection"] {
		for t := range strings.SplitSeq(v, ",") {
			switch strings.ToLower(textproto.TrimString(t)) {
			case "close":
				return true
			case "keep-alive":
				return false
			}
		}
	}
	return version == "HTTP/1.0"
}

// framing reads how the body's end is told: by chunks, or by length (-1: neither).
func (h *head) framing() (length int, chunked bool, err error) {
	codings, lengths := h.header["Transfer-Encoding"], h.header["Content-Length"]
	switch {
	case len(codings) > 0 && len(lengths) > 0:
		return 0, false, malformed("a body has a length or chunks, not both")
	case len(codings) > 0:
		if len(codings) > 1 || !strings.EqualFold(textproto.TrimString(codings[0]), "chunked") {
			return 0, false, &Error{501, "no transfer coding but chunked is known"}
		}
		return 0, true, nil
	case len(lengths) == 0:
		return -1, false, nil
	case len(lengths) > 1:
		return 0, false, malformed("Content-Length stands more than once")
	}
	n, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil {
		return 0, false, malformed("Content-Length: cannot read %q", lengths[0])
	}
	if n > MaxBody {
		return 0, false, &Error{413, "the body is too long"}
	}
	return int(n), false, nil
}

// chunks takes the framing off a chunked body.
type chunks struct {
	state     chunkState
	remaining int
	tail      int // bytes of the trailer so far
}

type chunkState int

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd
	chunkTrailer
	chunkDone
)

// next looks at unread bytes and returns how many it has used and which of them are data. It uses none
// where more must come first.
func (c *chunks) next(p []byte) (used int, data []byte, err error) {
	if c.state == chunkData {
		n := min(c.remaining, len(p))
		if c.remaining -= n; c.remaining == 0 {
			c.state = chunkEnd
		}
		return n, p[:n], nil
	}
	if c.state == chunkDone {
		return 0, nil, nil
	}
	end, limit := bytes.IndexByte(p, '\n'), maxChunk
	if c.state == chunkTrailer {
		limit = maxHead
	}
	// Guards against a verdict that hangs on how the bytes happened to arrive: too long is too long.
	if end > limit || end < 0 && len(p) > limit {
		return 0, nil, malformed("a line of the chunked body is too long")
	}
	if end < 0 {
		return 0, nil, nil
	}
	line := bytes.TrimSuffix(p[:end], []byte("\r"))
	switch c.state {
	case chunkSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(textproto.TrimBytes(size)), 16, 31)
		if err != nil {
			return 0, nil, malformed("chunk size: cannot read %q", size)
		}
		c.remaining, c.state = int(n), chunkData
		if n == 0 {
			c.state = chunkTrailer
		}
	case chunkEnd:
		if len(line) > 0 {
			return 0, nil, malformed("a chunk is longer than its size")
		}
		c.state = chunkSize
	case chunkTrailer:
		if len(line) == 0 {
			c.state = chunkDone
		}
		if c.tail += end + 1; c.tail > maxHead {
			return 0, nil, &Error{431, "the trailer is too long"}
		}
	}
	return end + 1, nil, nil
}
