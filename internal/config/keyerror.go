package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// KeyError reports a configuration entry that is invalid or missing. Its text has one of two forms:
//
//	limits.sockets: 5 not allowed, want 64 to 1048576
//	listen: missing, want an address host:port
//
// If a parser or the operating system returned an error, it follows in parentheses.
type KeyError struct {
	Key     string // path such as settings.classes[1].deadlineS, an environment variable, or the short name of an operator file
	Value   string // value in the configuration, strings in quotes; "": the key is missing
	Allowed string // description of the allowed values
	Err     error  // why Value could not be read; may be nil
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

// maxQuotedValue is the number of bytes after which a string is cut off in an error.
const maxQuotedValue = 64

// missingKey returns the error for a key that is absent or empty.
func missingKey(key, allowed string) error { return &KeyError{Key: key, Allowed: allowed} }

// notAllowed returns the error for a value that is not allowed. The format describes the allowed values.
func notAllowed(key string, value any, format string, args ...any) error {
	return &KeyError{Key: key, Value: quoteValue(value), Allowed: fmt.Sprintf(format, args...)}
}

// unreadable returns the error for a value, or the file it names, that could not be read or parsed.
func unreadable(key string, value any, allowed string, cause error) error {
	return &KeyError{Key: key, Value: quoteValue(value), Allowed: allowed, Err: cause}
}

// jsonError converts an error of encoding/json to a *KeyError. If a value has the wrong type, the Key of the error is prefix
// followed by the path of the value; otherwise it is key.
func jsonError(key, prefix string, err error) error {
	if wrongType := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrongType) && wrongType.Field != "" {
		return &KeyError{Key: prefix + wrongType.Field, Value: "a " + wrongType.Value, Allowed: describeType(wrongType.Type)}
	}
	return &KeyError{Key: key, Value: "text", Allowed: "a JSON object", Err: err}
}

// describeType describes the JSON values that can be decoded into a Go type.
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

// quoteValue returns the text for a value in errors. It is "" for an empty string, which counts as missing.
func quoteValue(value any) string {
	text, isString := value.(string)
	if !isString {
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
