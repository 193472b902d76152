// Package plane is the codec of what the brokers of a fleet tell each other: one protobuf message a datagram, with a
// version and a fingerprint of the fleet. It does no I/O. What cannot be used is an error by which it is counted.
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
	// Version is of this form of the plane.
	Version = 1
	// MaxDatagramSize is the largest datagram: it goes through any path without being cut.
	MaxDatagramSize = 1200
	// Overhead is what IP and UDP add to a datagram.
	Overhead = 28
	// MaxNameLength is the longest name of a broker.
	MaxNameLength = 64
)

// Why a datagram is dropped.
var (
	ErrOversized          = errors.New("oversized")
	ErrMalformed          = errors.New("torn")
	ErrUnsupportedVersion = errors.New("of another version")
	ErrOtherFleet         = errors.New("of another fleet")
	ErrInvalidContent     = errors.New("with content that cannot be used")
)

// FleetFingerprint is the fingerprint of a fleet's name.
func FleetFingerprint(name string) uint64 { return xxhash.Sum64String(name) }

// InstanceID is the number of an instance: a broker's name with the start of its process.
func InstanceID(name string, start uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(name), start))
}

// Hash spreads numbers: equal ones give an equal hash.
func Hash(numbers ...uint64) uint64 {
	var buf [32]byte
	b := buf[:0]
	for _, n := range numbers {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	return xxhash.Sum64(b)
}

// WireSize is how long a message is on the wire, with what IP and UDP add.
func WireSize(m *planepb.Datagram) int { return proto.Size(m) + Overhead }

// Append appends a message. It fails where that is longer than a datagram may be.
func Append(b []byte, m *planepb.Datagram) ([]byte, error) {
	if proto.Size(m) > MaxDatagramSize {
		return b, ErrOversized
	}
	return proto.MarshalOptions{}.MarshalAppend(b, m)
}

// Parse reads a datagram of a fleet and checks all that can be checked without knowing the members.
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
	case m.From == 0 || m.Seq == 0 || len(m.Have)%2 != 0:
		return nil, ErrInvalidContent
	case m.Self != nil && (!isValidEntry(m.Self) || InstanceID(m.Self.Name, m.Self.Start) != m.From):
		return nil, ErrInvalidContent
	}
	for _, e := range m.Entries {
		if !isValidEntry(e) {
			return nil, ErrInvalidContent
		}
	}
	return m, nil
}

func isValidEntry(e *planepb.Entry) bool {
	addr := EntryAddr(e)
	return addr.Port() != 0 && !addr.Addr().IsUnspecified() && !addr.Addr().IsMulticast() &&
		e.Name != "" && len(e.Name) <= MaxNameLength && e.Start != 0 && e.Start <= math.MaxInt64 && e.State <= math.MaxUint8
}

// EntryAddr is an entry's address; the zero one where it has none that can be read.
func EntryAddr(e *planepb.Entry) (addr netip.AddrPort) {
	if addr.UnmarshalBinary(e.Addr) != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
