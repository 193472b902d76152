package httpwire

import (
	"bufio"
	"bytes"
	"net/textproto"
	"strconv"
	"strings"

	"mothrouter/internal/transport/buffer"
)

const headEnd = "\r\n\r\n"

// head is a start line and a parsed header.
type head struct {
	startLine string
	header    textproto.MIMEHeader
	size      int   // in bytes
	offset    int64 // bytes received on the connection before the head
}

// readHead consumes and returns the next head, or nil if more bytes must be received first.
func readHead(b *buffer.Buffer) (*head, error) {
	skipEmptyLines(b)
	text := b.Unread()
	end := bytes.Index(text, []byte(headEnd))
	if end > maxHead || end < 0 && len(text) >= maxHead+len(headEnd) {
		return nil, tooLarge(431, maxHead, "the header is too long")
	}
	if end < 0 {
		return nil, nil
	}
	if lines := bytes.Count(text[:end], []byte{'\n'}); lines > maxFields {
		return nil, &Error{Status: 431, Reason: "the header has too many fields"}
	}
	if err := checkLines(text[:end+len("\r\n")]); err != nil {
		return nil, err
	}
	in := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(text[:end+len(headEnd)]), 512))
	line, err := in.ReadLine()
	if err != nil {
		return nil, malformed("start line: %v", err)
	}
	header, err := in.ReadMIMEHeader()
	if err != nil {
		return nil, malformed("header: %v", err)
	}
	offset := b.Consumed()
	b.Skip(end + len(headEnd))
	return &head{startLine: line, header: header, size: end + len(headEnd), offset: offset}, nil
}

// skipEmptyLines skips empty lines before a start line, as RFC 9112, section 2.2 advises.
func skipEmptyLines(b *buffer.Buffer) {
	n := 0
	for _, c := range b.Unread() {
		if c != '\r' && c != '\n' {
			break
		}
		n++
	}
	b.Skip(n)
}

// checkLines rejects syntax that HTTP implementations parse differently, which would allow request smuggling: whitespace in a
// field name, such as "Transfer-Encoding ", and a line that ends in a bare line feed.
func checkLines(text []byte) error {
	startLine := true
	for line := range bytes.Lines(text) {
		if !bytes.HasSuffix(line, []byte("\r\n")) {
			return malformed("header: a line ends without a carriage return")
		}
		name, _, hasColon := bytes.Cut(line, []byte{':'})
		if hasColon && !startLine && bytes.ContainsAny(name, " \t") {
			return malformed("header: the name %q is no token", name)
		}
		startLine = false
	}
	return nil
}

// queryFields returns the fields that a query has. A field that is repeated or empty is an error: it names nothing, or nothing that
// all parsers agree on.
func (h *head) queryFields() (fields Fields, err error) {
	for _, field := range []struct {
		name  string
		value *string
	}{
		{"X-Request-Id", &fields.ID},
		{"X-Class", &fields.Class},
		{"X-Deadline", &fields.Deadline},
		{"X-Retry", &fields.Retry},
	} {
		values, present := h.header[field.name]
		switch {
		case !present:
			continue
		case len(values) > 1:
			return Fields{}, malformed("%s stands more than once", field.name)
		case values[0] == "":
			return Fields{}, malformed("%s is empty", field.name)
		}
		*field.value = values[0]
	}
	return fields, nil
}

// closes reports whether the sender of the header closes the connection after this message.
func (h *head) closes(version string) bool {
	for _, value := range h.header["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			switch strings.ToLower(textproto.TrimString(option)) {
			case "close":
				return true
			case "keep-alive":
				return false
			}
		}
	}
	return version == "HTTP/1.0"
}

// bodyFraming states how the end of a body is determined.
type bodyFraming struct {
	chunked bool
	length  int // bytes of a body that is not chunked; unstatedLength: the header does not state it
}

const unstatedLength = -1

// framing parses the header fields that determine where the body ends.
func (h *head) framing() (bodyFraming, error) {
	codings, lengths := h.header["Transfer-Encoding"], h.header["Content-Length"]
	switch {
	case len(codings) > 0 && len(lengths) > 0:
		return bodyFraming{}, malformed("a body has a length or chunks, not both")
	case len(codings) > 0:
		if len(codings) > 1 || !strings.EqualFold(textproto.TrimString(codings[0]), "chunked") {
			return bodyFraming{}, &Error{Status: 501, Reason: "no transfer coding but chunked is known"}
		}
		return bodyFraming{chunked: true}, nil
	case len(lengths) == 0:
		return bodyFraming{length: unstatedLength}, nil
	case len(lengths) > 1:
		return bodyFraming{}, malformed("Content-Length stands more than once")
	}
	n, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil {
		return bodyFraming{}, malformed("Content-Length: cannot read %q", lengths[0])
	}
	if n > MaxBody {
		return bodyFraming{}, errBodyTooLong()
	}
	return bodyFraming{length: int(n)}, nil
}

func errBodyTooLong() *Error { return tooLarge(413, MaxBody, "the body is too long") }
