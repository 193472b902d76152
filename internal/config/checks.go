package config

import (
	"fmt"
	"net"
	"net/netip"
	"time"
)

// Descriptions of allowed values that several keys share. They appear in error texts.
const (
	allowedAddr     = "an address host:port"
	allowedAddrPort = "an address IP:port"
	allowedUnique   = "a value that no other entry has"
	allowedText     = "a text that is not empty"
)

// number is the constraint for the values of checkRange.
type number interface{ ~int | ~float64 }

// checkRange returns an error unless value is between lowest and highest, both inclusive. NaN is an error.
func checkRange[N number](key string, value, lowest, highest N) error {
	if value >= lowest && value <= highest {
		return nil
	}
	return notAllowed(key, value, "%v to %v", lowest, highest)
}

// checkPositive returns an error unless value is above 0 and at most highest. NaN is an error.
func checkPositive(key string, value, highest float64) error {
	if value > 0 && value <= highest {
		return nil
	}
	return notAllowed(key, value, "above 0, at most %v", highest)
}

// checkAddr returns an error unless addr is an address of the form host:port.
func checkAddr(key, addr string) error {
	if addr == "" {
		return missingKey(key, allowedAddr)
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return unreadable(key, addr, allowedAddr, err)
	}
	return nil
}

// parseAddrPort parses an address of the form IP:port.
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

// checkName returns an error if the name is empty or longer than maxLength bytes.
func checkName(key, name string, maxLength int) error {
	if name == "" {
		return missingKey(key, fmt.Sprintf("1 to %d bytes", maxLength))
	}
	return checkNameLength(key, name, maxLength)
}

// checkNameLength returns an error if the name is longer than maxLength bytes. An empty name is allowed.
func checkNameLength(key, name string, maxLength int) error {
	if len(name) > maxLength {
		return notAllowed(key, name, "at most %d bytes", maxLength)
	}
	return nil
}

// entryCount is the length of a list. Errors show it instead of the list.
type entryCount int

// String returns the count with its unit.
func (c entryCount) String() string {
	if c == 1 {
		return "1 entry"
	}
	return fmt.Sprintf("%d entries", int(c))
}

// byteCount is the length of a text. Errors show it instead of the text.
type byteCount int

// String returns the count with its unit.
func (c byteCount) String() string { return fmt.Sprintf("%d bytes", int(c)) }

// seconds converts a number of seconds to a duration.
func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
