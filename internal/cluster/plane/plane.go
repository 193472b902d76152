// Package plane is the codec of the gossip plane between the brokers of a fleet: one protobuf message a datagram, with the
// version of the protocol and a fingerprint of the fleet. It does no I/O.
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
	// Version is the version of the protocol. Datagrams of any other are rejected.
	Version = 1
	// MaxDatagramSize is the maximum size of a datagram, in bytes without IP and UDP headers. It is below the 1,280 bytes that
	// each IPv6 path carries, so that no datagram is fragmented.
	MaxDatagramSize = 1200
	// Overhead is what the IPv4 (20) and UDP (8) headers add to a datagram, in bytes.
	Overhead = 28
	// MaxNameLength is the maximum length of a broker's name, in bytes.
	MaxNameLength = 64
)

// Errors of Parse and Append. They carry no detail: a flood of invalid datagrams must not cost any formatting, and the
// driver counts them by their text, which is the reason that it logs.
var (
	ErrOversized          = errors.New("oversized")
	ErrMalformed          = errors.New("torn") // not a protobuf message
	ErrUnsupportedVersion = errors.New("of another version")
	ErrOtherFleet         = errors.New("of another fleet")
	ErrInvalidContent     = errors.New("with content that cannot be used")
)

// FleetFingerprint returns the fingerprint of a fleet's name.
func FleetFingerprint(name string) uint64 { return xxhash.Sum64String(name) }

// InstanceID returns the identifier of an instance: a hash of a broker's name and the start of its process, in Unix
// nanoseconds.
func InstanceID(name string, start uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(name), start))
}

// Hash returns a hash of numbers that is the same on all brokers.
func Hash(numbers ...uint64) uint64 {
	var buf [32]byte
	b := buf[:0]
	for _, n := range numbers {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	return xxhash.Sum64(b)
}

// WireSize returns the size of a message in bytes with IP and UDP headers.
func WireSize(m *planepb.Datagram) int { return proto.Size(m) + Overhead }

// Append appends an encoded message to b. It returns ErrOversized, and b as it was, if the message is longer than
// MaxDatagramSize.
func Append(b []byte, m *planepb.Datagram) ([]byte, error) {
	if proto.Size(m) > MaxDatagramSize {
		return b, ErrOversized
	}
	return proto.MarshalOptions{}.MarshalAppend(b, m)
}

// Parse decodes a datagram of a fleet and validates all that does not depend on the members. Its error is one of the above.
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
// introduces its sender, an entry of that sender.
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

// isValidEntry reports whether an entry has a reachable unicast address, a name, a start time and a state of one byte.
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

// EntryAddr returns an entry's address, with an IPv4-mapped one as IPv4, or the zero AddrPort if it cannot be decoded.
func EntryAddr(e *planepb.Entry) netip.AddrPort {
	var addr netip.AddrPort
	if addr.UnmarshalBinary(e.Addr) != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
