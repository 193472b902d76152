// Package plane encodes and decodes the datagrams of the membership protocol between the brokers of a fleet. Each datagram
// is one protobuf message with the protocol version and a fingerprint of the fleet's name. The package does no I/O.
package plane

import (
	"encoding/binary"
	"errors"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/cluster/plane/planepb"
)

//go:generate protoc -I planepb --go_out=planepb --go_opt=paths=source_relative plane.proto

const (
	// Version is the version of the protocol. Datagrams of any other version are rejected.
	Version = 1
	// MaxDatagramSize is the maximum size of a datagram, in bytes without IP and UDP headers. It is below the minimum MTU of
	// IPv6, 1,280 bytes, so that datagrams are not fragmented.
	MaxDatagramSize = 1200
	// Overhead is the size of the IPv4 (20) and UDP (8) headers of a datagram, in bytes.
	Overhead = 28
	// MaxNameLength is the maximum length of a broker's name, in bytes.
	MaxNameLength = 64
)

// Errors of Parse and Append. They carry no detail: a flood of invalid datagrams must not cost any formatting. Package fleet
// counts dropped datagrams by error text and logs the text as the reason.
var (
	ErrOversized          = errors.New("oversized")
	ErrMalformed          = errors.New("torn") // not a valid protobuf message, for example a truncated one
	ErrUnsupportedVersion = errors.New("unsupported version")
	ErrOtherFleet         = errors.New("from another fleet")
	ErrInvalidContent     = errors.New("invalid content")
)

// FleetFingerprint returns the fingerprint of a fleet's name.
func FleetFingerprint(name string) uint64 { return xxhash.Sum64String(name) }

// InstanceID returns the identifier of an instance: a hash of the broker's name and the start time of its process, in Unix
// nanoseconds.
func InstanceID(name string, start uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(name), start))
}

// Hash returns a hash of a sequence of numbers. It is the same on all brokers.
func Hash(numbers ...uint64) uint64 {
	var buf [32]byte
	b := buf[:0]
	for _, n := range numbers {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	return xxhash.Sum64(b)
}

// WireSize returns the size of a message in bytes, including IPv4 and UDP headers.
func WireSize(m *planepb.Datagram) int { return proto.Size(m) + Overhead }

// Append appends an encoded message to b. If the message is longer than MaxDatagramSize, it returns b unchanged and
// ErrOversized.
func Append(b []byte, m *planepb.Datagram) ([]byte, error) {
	if proto.Size(m) > MaxDatagramSize {
		return b, ErrOversized
	}
	return proto.MarshalOptions{}.MarshalAppend(b, m)
}

// Parse decodes a datagram of a fleet, given by its fingerprint, and validates everything that does not depend on the member
// list. The error is one of those declared above.
func Parse(b []byte, fleet uint64) (*planepb.Datagram, error) {
	if len(b) > MaxDatagramSize {
		return nil, ErrOversized
	}
	m := &planepb.Datagram{}
	if proto.Unmarshal(b, m) != nil {
		return nil, ErrMalformed
	}
	switch {
	case m.Version != Version:
		return nil, ErrUnsupportedVersion
	case m.Fleet != fleet:
		return nil, ErrOtherFleet
	case !isValidContent(m):
		return nil, ErrInvalidContent
	}
	return m, nil
}

// isValidContent reports whether a message has a sender, a sequence number, complete 16-bit hashes, valid entries and, if it
// is an introduction, an entry that describes its sender.
func isValidContent(m *planepb.Datagram) bool {
	if m.From == 0 || m.Seq == 0 || len(m.Have)%2 != 0 {
		return false
	}
	if m.Self != nil && (!isValidEntry(m.Self) || InstanceID(m.Self.Name, m.Self.Start) != m.From) {
		return false
	}
	for _, e := range m.Entries {
		if !isValidEntry(e) {
			return false
		}
	}
	return true
}

// isValidEntry reports whether an entry has a specified unicast address and port, a name of at most MaxNameLength, a start
// time and a state that fits into one byte.
func isValidEntry(e *planepb.Entry) bool {
	addr := EntryAddr(e)
	if addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return false
	}
	if e.Name == "" || len(e.Name) > MaxNameLength {
		return false
	}
	return e.Start != 0 && e.Start <= math.MaxInt64 && e.State <= math.MaxUint8
}

// EntryAddr returns an entry's address, or the zero AddrPort if it cannot be decoded. An IPv4-mapped IPv6 address is returned
// as IPv4.
func EntryAddr(e *planepb.Entry) netip.AddrPort {
	var addr netip.AddrPort
	if addr.UnmarshalBinary(e.Addr) != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
