package httpwire

import "bytes"

// Object joins lines to JSON objects: an object may stand on one line or be indented over several. The zero value is ready
// for the first line.
type Object struct {
	text    []byte
	depth   int  // open braces and brackets
	quoted  bool // within a string
	escaped bool // behind a backslash within a string
}

// Add adds one line, which has no line end. Once an object is complete it returns the object's text, valid until the next
// call; an empty line between objects is complete and has an empty text. Its errors are *Error.
func (o *Object) Add(line []byte) (text []byte, complete bool, err error) {
	if o.depth == 0 {
		o.reset()
	}
	o.scan(line)
	if o.depth < 0 || o.quoted { // a JSON string never spans lines
		return nil, false, malformed("an object that cannot be read")
	}
	o.text = append(o.text, line...)
	if len(o.text) > maxLine {
		return nil, false, tooLarge(400, maxLine, "an object is too long")
	}
	return bytes.TrimSpace(o.text), o.depth == 0, nil
}

// reset discards the last object, and its memory if that is large.
func (o *Object) reset() {
	o.text = o.text[:0]
	if cap(o.text) > maxIdleObject {
		o.text = nil
	}
}

// scan updates the nesting by the characters of a line.
func (o *Object) scan(line []byte) {
	for _, c := range line {
		switch {
		case o.escaped:
			o.escaped = false
		case o.quoted:
			o.escaped = c == '\\'
			o.quoted = c != '"'
		case c == '"':
			o.quoted = true
		case c == '{' || c == '[':
			o.depth++
		case c == '}' || c == ']':
			o.depth--
		}
	}
}
