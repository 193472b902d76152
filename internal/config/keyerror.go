package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
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

const (
	allowedAddr     = "an address host:port"
	allowedAddrPort = "an address IP:port"
	allowedOnce     = "a value that no other entry has"
	allowedText     = "a text that is not empty"
)

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

// entryCount is the length of a list, in place of its value.
type entryCount int

// String returns the count with its unit.
func (n entryCount) String() string {
	if n == 1 {
		return "1 entry"
	}
	return fmt.Sprintf("%d entries", int(n))
}

// jsonError returns the error of JSON text that cannot be read: of the key below prefix whose value has the wrong type, where
// it is that, else of key.
func jsonError(key, prefix string, err error) error {
	if wrongType := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrongType) && wrongType.Field != "" {
		return &KeyError{Key: prefix + wrongType.Field, Value: "a " + wrongType.Value, Allowed: "a value of type " + wrongType.Type.String()}
	}
	return &KeyError{Key: key, Value: "text", Allowed: "a JSON object", Err: err}
}

// byteCount is the length of a text, in place of its value.
type byteCount int

// String returns the count with its unit.
func (n byteCount) String() string { return fmt.Sprintf("%d bytes", int(n)) }

// quoteValue returns a value as errors show it.
func quoteValue(value any) string {
	text, isText := value.(string)
	if !isText {
		return fmt.Sprint(value)
	}
	if len(text) > maxQuotedValue {
		return fmt.Sprintf("%q...", text[:maxQuotedValue])
	}
	return fmt.Sprintf("%q", text)
}

// number is what checkRange compares.
type number interface{ ~int | ~float64 }

// checkRange returns the error of a value outside lowest to highest, or NaN.
func checkRange[N number](key string, value, lowest, highest N) error {
	if value >= lowest && value <= highest {
		return nil
	}
	return notAllowed(key, value, "%v to %v", lowest, highest)
}

// checkPositive returns the error of a value that is not above 0 and at most highest.
func checkPositive(key string, value, highest float64) error {
	if value > 0 && value <= highest {
		return nil
	}
	return notAllowed(key, value, "above 0, at most %v", highest)
}

// checkAddr returns the error of a text that is no address host:port.
func checkAddr(key, addr string) error {
	if addr == "" {
		return missingKey(key, allowedAddr)
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return unreadable(key, addr, allowedAddr, err)
	}
	return nil
}

// parseAddrPort parses an address IP:port.
func parseAddrPort(key, addr string) (netip.AddrPort, error) {
	if addr == "" {
		return netip.AddrPort{}, missingKey(key, allowedAddrPort)
	}
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return parsed, unreadable(key, addr, allowedAddrPort, err)
	}
	return parsed, nil
}
