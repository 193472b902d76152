package httpwire

import "bytes"

// ObjectAssembler assembles JSON objects from lines: an object may be on one line or indented over several. The zero value is
// ready for the first line.
type ObjectAssembler struct {
	text    []byte
	depth   int  // open braces and brackets
	quoted  bool // within a string
	escaped bool // after a backslash within a string
}

// Add adds one line without its line end. Once an object is complete it returns the object's text, valid until the next
// call; an empty line between objects is complete and has an empty text. Its errors are *Error.
func (a *ObjectAssembler) Add(line []byte) (text []byte, complete bool, err error) {
	if a.depth == 0 {
		a.reset()
	}
	a.scan(line)
	if a.depth < 0 || a.quoted { // a JSON string never spans lines
		return nil, false, malformed("JSON object: unmatched bracket or unterminated string in %.80q", line)
	}
	a.text = append(a.text, line...)
	if len(a.text) > maxLine {
		return nil, false, tooLarge(400, maxLine, "a JSON object is too long")
	}
	return bytes.TrimSpace(a.text), a.depth == 0, nil
}

// reset discards the last object, and its memory if that is large.
func (a *ObjectAssembler) reset() {
	a.text = a.text[:0]
	if cap(a.text) > maxIdleObject {
		a.text = nil
	}
}

// scan updates the nesting depth and the string state from the characters of a line.
func (a *ObjectAssembler) scan(line []byte) {
	for _, c := range line {
		switch {
		case a.escaped:
			a.escaped = false
		case a.quoted:
			a.escaped = c == '\\'
			a.quoted = c != '"'
		case c == '"':
			a.quoted = true
		case c == '{' || c == '[':
			a.depth++
		case c == '}' || c == ']':
			a.depth--
		}
	}
}
