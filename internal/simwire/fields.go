package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// LineError reports a malformed line of input.
type LineError struct {
	Line    int    // number of the line, starting at 1
	Message string // name of the line's message; "": none
	Field   string // name of the invalid field; "": the error concerns the whole line
	Problem string
}

// Error returns the location and the problem.
func (e *LineError) Error() string {
	location := fmt.Sprintf("line %d: ", e.Line)
	if e.Message != "" {
		location += e.Message + ": "
	}
	if e.Field != "" {
		location += "field " + e.Field + ": "
	}
	return location + e.Problem
}

// fields holds the message and the name=value pairs of one line. The methods that read a field record the first error in err.
// Their results are not valid after an error.
type fields struct {
	lineNumber int               // starting at 1
	message    string            // the first word of the line
	values     map[string]string // by name
	err        error             // the first error while reading a field
}

// typicalMaxFields is the initial capacity for fields. Few messages have more.
const typicalMaxFields = 12

// extendsToLineEnd is the set of fields whose value extends to the end of the line, including spaces.
var extendsToLineEnd = map[string]bool{"profileData": true, "line": true}

// parse splits a line into its message and fields. Errors are of type *LineError.
func (d *Decoder) parse(line string) (*fields, error) {
	message, rest, _ := strings.Cut(line, " ")
	f := &fields{lineNumber: d.lineNumber, message: message, values: make(map[string]string, typicalMaxFields)}
	if message == "" {
		return nil, f.lineError("expected a message name at the start of the line")
	}
	for rest != "" {
		name, tail, ok := strings.Cut(rest, "=")
		if !ok || name == "" || strings.ContainsRune(name, ' ') {
			return nil, f.lineError("expected name=value pairs separated by single spaces")
		}
		if extendsToLineEnd[name] {
			f.values[name] = tail
			break
		}
		f.values[name], rest, _ = strings.Cut(tail, " ")
	}
	return f, nil
}

// lineError returns an error that concerns the whole line.
func (f *fields) lineError(problem string) error {
	return &LineError{Line: f.lineNumber, Message: f.message, Problem: problem}
}

// fieldError returns an error that concerns one field.
func (f *fields) fieldError(name, format string, args ...any) error {
	return &LineError{Line: f.lineNumber, Message: f.message, Field: name, Problem: fmt.Sprintf(format, args...)}
}

// recordUnreadable records that the value of a field cannot be read, unless an error was recorded before.
func (f *fields) recordUnreadable(name, value string) {
	if f.err == nil {
		f.err = f.fieldError(name, "cannot read %q", value)
	}
}

// text returns the text of a field that must be present and not empty.
func (f *fields) text(name string) string {
	value := f.values[name]
	if value == "" && f.err == nil {
		f.err = f.fieldError(name, "missing")
	}
	return value
}

// textOr returns the text of a field, or absent if the line does not have the field.
func (f *fields) textOr(name, absent string) string {
	if value, ok := f.values[name]; ok {
		return value
	}
	return absent
}

// integer returns the value of a field with a decimal integer.
func (f *fields) integer(name string) int64 {
	text := f.text(name)
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.recordUnreadable(name, text)
	}
	return value
}

// number returns the value of a field with a finite number.
func (f *fields) number(name string) float64 {
	text := f.text(name)
	value, err := parseFinite(text)
	if err != nil {
		f.recordUnreadable(name, text)
	}
	return value
}

// parseFinite parses a number that is neither infinite nor NaN.
func parseFinite(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
		err = strconv.ErrRange
	}
	return value, err
}

// flag returns the value of a field with a bool, which is 0 or 1 on the wire.
func (f *fields) flag(name string) bool {
	value := f.values[name]
	if value != "0" && value != "1" {
		f.recordUnreadable(name, value)
	}
	return value == "1"
}

// optional returns the value of a field as read returns it, or the zero value if the line does not have the field.
func optional[T any](f *fields, name string, read func(name string) T) (value T) {
	if _, ok := f.values[name]; ok {
		value = read(name)
	}
	return value
}

// oneOf returns the meaning of a field that must be present and have one of the keys of meanings as its value.
func oneOf[T any](f *fields, name string, meanings map[string]T) T {
	text := f.text(name)
	meaning, ok := meanings[text]
	if !ok {
		f.recordUnreadable(name, text)
	}
	return meaning
}
