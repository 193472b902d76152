package config

import (
	"fmt"
	"net"
	"net/netip"
	"time"
)

// What several keys allow, as errors show it.
const (
	allowedAddr     = "an address host:port"
	allowedAddrPort = "an address IP:port"
	allowedOnce     = "a value that no other entry has"
	allowedText     = "a text that is not empty"
)

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

// checkName returns the error of a name that is empty or longer than maxLength bytes.
func checkName(key, name string, maxLength int) error {
	if name == "" {
		return missingKey(key, fmt.Sprintf("1 to %d bytes", maxLength))
	}
	return checkNameLength(key, name, maxLength)
}

// checkNameLength returns the error of a name that is longer than maxLength bytes.
func checkNameLength(key, name string, maxLength int) error {
	if len(name) > maxLength {
		return notAllowed(key, name, "at most %d bytes", maxLength)
	}
	return nil
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

// byteCount is the length of a text, in place of its value.
type byteCount int

// String returns the count with its unit.
func (n byteCount) String() string { return fmt.Sprintf("%d bytes", int(n)) }

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
