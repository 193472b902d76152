// Package strictjson reads JSON of clients so that nothing is filled in that a client has not named, and nothing is read that
// parsers may read differently. It rejects invalid UTF-8, unpaired surrogates, duplicate names, null, missing members, and names
// that differ from those of members only in the case of their letters. Members with other names are ignored.
package strictjson

import (
	"errors"
	"fmt"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Member is a member of an object.
type Member struct {
	Name     string
	Value    any  // pointer to what the value is read into
	Optional bool // the member may be missing; Value is left as it is then
}

// Error reports valid JSON that is not what an object's members allow.
type Error struct {
	Path   jsontext.Pointer // of the invalid value
	Reason string
}

// Error returns a message with the path and the reason.
func (e *Error) Error() string { return fmt.Sprintf("%q: %s", string(e.Path), e.Reason) }

// errorAt returns an *Error at what the decoder has read last.
func errorAt(decoder *jsontext.Decoder, format string, args ...any) error {
	return &Error{Path: decoder.StackPointer(), Reason: fmt.Sprintf(format, args...)}
}

// Unmarshal reads one JSON value into the value that v points to. Types of objects implement json.UnmarshalerFrom by ReadObject.
// Its errors are *Error and the errors of package json.
func Unmarshal(data []byte, v any) error {
	err := json.Unmarshal(data, v)
	if e, ok := errors.AsType[*Error](err); ok { // without the Go types that package json adds
		return e
	}
	return err
}

// ReadObject reads an object with these members from the decoder. After an error the values of the members are undefined.
func ReadObject(decoder *jsontext.Decoder, members ...Member) error {
	opening, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	if opening.Kind() != jsontext.KindBeginObject {
		return errorAt(decoder, "want an object, not %v", opening)
	}
	present := make([]bool, len(members))
	for decoder.PeekKind() != jsontext.KindEndObject {
		if err := readMember(decoder, members, present); err != nil {
			return err
		}
	}
	if _, err := decoder.ReadToken(); err != nil {
		return err
	}
	for i, m := range members {
		if !present[i] && !m.Optional {
			return errorAt(decoder, "%s is missing", m.Name)
		}
	}
	return nil
}

// readMember reads the next member of an object, and marks it as present if it is one of members.
func readMember(decoder *jsontext.Decoder, members []Member, present []bool) error {
	token, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	name := token.String()
	for i, m := range members {
		switch {
		case name == m.Name:
			present[i] = true
			return readValue(decoder, m)
		case strings.EqualFold(name, m.Name):
			return errorAt(decoder, "the name is %s", m.Name)
		}
	}
	return decoder.SkipValue()
}

// readValue reads the value of a member.
func readValue(decoder *jsontext.Decoder, m Member) error {
	if decoder.PeekKind() == jsontext.KindNull {
		return errorAt(decoder, "null is no value")
	}
	return json.UnmarshalDecode(decoder, m.Value)
}
