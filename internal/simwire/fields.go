package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// LineError is input that is not in the wire's form.
type LineError struct {
	Line    int    // number of the line, from 1
	Message string // the message that the line holds; "": none
	Field   string // name of the field at fault; "": the line as a whole
	Problem string
}

// Error returns the place and the problem.
func (e *LineError) Error() string {
	place := fmt.Sprintf("line %d: ", e.Line)
	if e.Message != "" {
		place += e.Message + ": "
	}
	if e.Field != "" {
		place += "field " + e.Field + ": "
	}
	return place + e.Problem
}

// fields are the name=value pairs of one line. Its readers return a zero value after a failure.
type fields struct {
	line    int               // number of the line, from 1
	message string            // the first word of the line
	values  map[string]string // by name
	err     error             // the first failure of a reader
}

// maxExpectedFields is the number of fields that most messages have at most.
const maxExpectedFields = 12

// extendsToLineEnd has the fields whose value extends to the end of the line, spaces included.
var extendsToLineEnd = map[string]bool{"profileData": true, "line": true}

// parse splits a line into its message and fields. The error is a *LineError.
func (d *Decoder) parse(line string) (*fields, error) {
	message, rest, _ := strings.Cut(line, " ")
	f := &fields{line: d.line, message: message, values: make(map[string]string, maxExpectedFields)}
	if message == "" {
		return nil, f.problem("empty where a message was expected")
	}
	for rest != "" {
		name, tail, ok := strings.Cut(rest, "=")
		if !ok || name == "" || strings.ContainsRune(name, ' ') {
			return nil, f.problem("expected name=value pairs set apart by one space")
		}
		if extendsToLineEnd[name] {
			f.values[name] = tail
			break
		}
		f.values[name], rest, _ = strings.Cut(tail, " ")
	}
	return f, nil
}

// problem returns the error of the line as a whole.
func (f *fields) problem(problem string) error {
	return &LineError{Line: f.line, Message: f.message, Problem: problem}
}

// fieldProblem returns the error of a field.
func (f *fields) fieldProblem(name, format string, args ...any) error {
	return &LineError{Line: f.line, Message: f.message, Field: name, Problem: fmt.Sprintf(format, args...)}
}

// cannotRead records the failure of a field's reader.
func (f *fields) cannotRead(name, value string) {
	if f.err == nil {
		f.err = f.fieldProblem(name, "cannot read %q", value)
	}
}

// text returns a field that must be present and not empty.
func (f *fields) text(name string) string {
	value := f.values[name]
	if value == "" && f.err == nil {
		f.err = f.fieldProblem(name, "missing")
	}
	return value
}

// textOr returns a field, or the given text where it is absent.
func (f *fields) textOr(name, absent string) string {
	if value, ok := f.values[name]; ok {
		return value
	}
	return absent
}

// integer returns a decimal integer.
func (f *fields) integer(name string) int64 {
	text := f.text(name)
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.cannotRead(name, text)
	}
	return value
}

// number returns a finite number.
func (f *fields) number(name string) float64 {
	text := f.text(name)
	value, err := parseFinite(text)
	if err != nil {
		f.cannotRead(name, text)
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

// flag returns a bool: 0 or 1 on the wire.
func (f *fields) flag(name string) bool {
	value := f.values[name]
	if value != "0" && value != "1" {
		f.cannotRead(name, value)
	}
	return value == "1"
}

// optional returns a field by the given reader, or the zero value where the field is absent.
func optional[T any](f *fields, name string, read func(name string) T) (value T) {
	if _, ok := f.values[name]; ok {
		value = read(name)
	}
	return value
}

// oneOf returns the meaning of a field that must be present and have one of the given values.
func oneOf[T any](f *fields, name string, meanings map[string]T) T {
	text := f.text(name)
	meaning, ok := meanings[text]
	if !ok {
		f.cannotRead(name, text)
	}
	return meaning
}
