package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// KeyError is an entry of the configuration that is not allowed. Its text has one of two forms:
//
//	limits.sockets: 5 not allowed, want 64 to 1048576
//	listen: missing, want an address host:port
//
// The cause, where a parser or the operating system names one, follows in parentheses.
type KeyError struct {
	Key     string // path such as settings.classes[1].deadlineS, the name of an environment variable, or that of a file
	Value   string // as it stands in the configuration, strings in quotes; "" where the key is missing
	Allowed string // what may stand there
	Err     error  // why Value could not be read; nil: Allowed says all
}

// Error returns the key and the reason.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason() }

// Reason returns the error's text without the key.
func (e *KeyError) Reason() string {
	reason := "missing, want " + e.Allowed
	if e.Value != "" {
		reason = e.Value + " not allowed, want " + e.Allowed
	}
	if e.Err != nil {
		reason += fmt.Sprintf(" (%v)", e.Err)
	}
	return reason
}

// Unwrap returns the cause, or nil.
func (e *KeyError) Unwrap() error { return e.Err }

// maxQuotedValue is how many bytes of a value an error quotes.
const maxQuotedValue = 64

// missingKey returns the error of a key that is absent or empty.
func missingKey(key, allowed string) error { return &KeyError{Key: key, Allowed: allowed} }

// notAllowed returns the error of a value. The format describes what is allowed.
func notAllowed(key string, value any, format string, args ...any) error {
	return &KeyError{Key: key, Value: quoteValue(value), Allowed: fmt.Sprintf(format, args...)}
}

// unreadable returns the error of a value that could not be read.
func unreadable(key string, value any, allowed string, cause error) error {
	return &KeyError{Key: key, Value: quoteValue(value), Allowed: allowed, Err: cause}
}

// jsonError returns the error of JSON text that cannot be read: of the key below prefix whose value has the wrong type, where
// it is that, else of key.
func jsonError(key, prefix string, err error) error {
	if wrongType := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrongType) && wrongType.Field != "" {
		return &KeyError{Key: prefix + wrongType.Field, Value: "a " + wrongType.Value, Allowed: describeType(wrongType.Type)}
	}
	return &KeyError{Key: key, Value: "text", Allowed: "a JSON object", Err: err}
}

// describeType returns what a JSON value of a Go type is.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return describeType(t.Elem())
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice, reflect.Array:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number in the range of float64"
	default:
		return "an integer in the range of " + t.Kind().String()
	}
}

// quoteValue returns a value as errors show it; "" for an empty text, which counts as missing.
func quoteValue(value any) string {
	text, isText := value.(string)
	if !isText {
		return fmt.Sprint(value)
	}
	if text == "" {
		return ""
	}
	if len(text) > maxQuotedValue {
		return fmt.Sprintf("%q...", text[:maxQuotedValue])
	}
	return fmt.Sprintf("%q", text)
}
