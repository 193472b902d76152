// Package snapshot is the file format of a broker's server-health state: a model and its codec. It does no I/O.
//
// The file is a header (magic, version, length, checksum) and a protobuf message, which keeps the field names of the first
// version. A save replaces the file atomically, so that only a fault of the disk or the file system can truncate or corrupt
// it. Decode detects that by the header and rejects the file. Times are Unix seconds, durations seconds.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"

	"google.golang.org/protobuf/proto"

	"mothrouter/internal/decision"
	"mothrouter/internal/state/snapshot/snapshotpb"
)

//go:generate protoc -I snapshotpb --go_out=snapshotpb --go_opt=paths=source_relative snapshot.proto

const (
	magic      = "MOTHSNAP"
	version    = 1
	headerSize = len(magic) + 2 + 4 + 4 // magic, version, length of the body, checksum

	// MaxSize is the maximum size of a file, in bytes. 200 servers take some 20 KB.
	MaxSize = 4 << 20
	// MaxServers is the maximum number of servers in a snapshot.
	MaxServers = 20_000

	maxIDLength = 256 // bytes of a server's id
)

// Errors of Encode, Decode and CheckOwner, which wrap them with sizes, versions and names.
var (
	ErrTooLarge           = errors.New("too large")
	ErrNoHeader           = errors.New("no snapshot")
	ErrUnsupportedVersion = errors.New("of another version")
	ErrTruncated          = errors.New("truncated") // or longer than its header says
	ErrChecksum           = errors.New("the checksum does not fit")
	ErrInvalidContent     = errors.New("the content cannot be used")
	ErrOtherOwner         = errors.New("of another broker or fleet")
)

// Server is the state of one server.
type Server struct {
	ID             string
	Started        float64 // its start, as in the endpoint list
	ServiceTime    float64 // mean latency of its parts; 0: unknown
	ServiceTimeAt  float64
	FailureRatio   float64 // of attempts, 0 to 1
	FailureRatioAt float64
	LoadReport     decision.LoadReport
	LoadReportedAt float64 // 0: never
}

// Snapshot is the state of one broker.
type Snapshot struct {
	WrittenAt           float64
	Instance            string  // name of the broker
	SettingsFingerprint uint64  // of its settings, which identify the fleet
	ServiceTime         float64 // mean latency of the fleet's parts; 0: unknown
	PeakThroughput      float64 // parts that one warm server answered this broker, a second
	Servers             []Server
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Fingerprint returns a fingerprint of settings, which distinguishes deployments.
func Fingerprint(settings []byte) uint64 {
	return uint64(crc32.Checksum(settings, castagnoli))<<32 | uint64(crc32.ChecksumIEEE(settings))
}

// Encode returns the bytes of a file. Its errors wrap ErrTooLarge and ErrInvalidContent.
func Encode(s *Snapshot) ([]byte, error) {
	if len(s.Servers) > MaxServers {
		return nil, fmt.Errorf("%w: %d servers, at most %d", ErrTooLarge, len(s.Servers), MaxServers)
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(toMessage(s))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidContent, err)
	}
	size := headerSize + len(body)
	if size > MaxSize {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, size, MaxSize)
	}
	b := append(make([]byte, 0, size), magic...)
	b = binary.BigEndian.AppendUint16(b, version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, checksum(b, body))
	return append(b, body...), nil
}

// toMessage returns the protobuf message of a snapshot.
func toMessage(s *Snapshot) *snapshotpb.Snapshot {
	m := &snapshotpb.Snapshot{
		Written:  s.WrittenAt,
		Instance: s.Instance,
		Settings: s.SettingsFingerprint,
		Pace:     s.ServiceTime,
		Peak:     s.PeakThroughput,
	}
	for _, v := range s.Servers {
		m.Servers = append(m.Servers, toServerMessage(v))
	}
	return m
}

// toServerMessage returns the protobuf message of a server.
func toServerMessage(v Server) *snapshotpb.Server {
	p := &snapshotpb.Server{
		Id:       v.ID,
		Started:  v.Started,
		Pace:     v.ServiceTime,
		PaceAt:   v.ServiceTimeAt,
		Failed:   v.FailureRatio,
		FailedAt: v.FailureRatioAt,
	}
	if v.LoadReportedAt > 0 {
		l := v.LoadReport
		p.Report = &snapshotpb.Report{
			At:        v.LoadReportedAt,
			InFlight:  l.InFlight,
			Queue:     l.QueueLength,
			Busy:      l.Utilization,
			Latency:   l.Latency,
			Rate:      l.Rate,
			ErrorRate: l.ErrorRate,
		}
	}
	return p
}

// checksum returns the CRC-32C of a header, up to the checksum, and a body.
func checksum(header, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, body)
}

// Decode decodes and validates the bytes of a file. Its errors wrap those above, but ErrOtherOwner.
func Decode(b []byte) (*Snapshot, error) {
	body, err := decodeHeader(b)
	if err != nil {
		return nil, err
	}
	var m snapshotpb.Snapshot
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidContent, err)
	}
	return fromMessage(&m)
}

// decodeHeader validates the header and the checksum of a file, and returns its body.
func decodeHeader(b []byte) ([]byte, error) {
	if len(b) > MaxSize {
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, MaxSize)
	}
	if len(b) < len(magic) || string(b[:len(magic)]) != magic {
		return nil, ErrNoHeader
	}
	if len(b) < headerSize {
		return nil, fmt.Errorf("%w: %d bytes of a header of %d", ErrTruncated, len(b), headerSize)
	}
	const (
		versionOffset  = len(magic)
		lengthOffset   = versionOffset + 2
		checksumOffset = lengthOffset + 4
	)
	if v := binary.BigEndian.Uint16(b[versionOffset:]); v != version {
		return nil, fmt.Errorf("%w: %d, not %d", ErrUnsupportedVersion, v, version)
	}
	body := b[headerSize:]
	if n := binary.BigEndian.Uint32(b[lengthOffset:]); int(n) != len(body) {
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrTruncated, len(body), n)
	}
	if binary.BigEndian.Uint32(b[checksumOffset:]) != checksum(b[:checksumOffset], body) {
		return nil, ErrChecksum
	}
	return body, nil
}

// fromMessage returns the snapshot of a protobuf message, if all of its values are in their ranges.
func fromMessage(m *snapshotpb.Snapshot) (*Snapshot, error) {
	if len(m.Servers) > MaxServers {
		return nil, fmt.Errorf("%w: %d servers, at most %d", ErrInvalidContent, len(m.Servers), MaxServers)
	}
	if !areNonNegative(m.Written, m.Pace, m.Peak) {
		return nil, fmt.Errorf("%w: a time or rate of the broker", ErrInvalidContent)
	}
	s := &Snapshot{
		WrittenAt:           m.Written,
		Instance:            m.Instance,
		SettingsFingerprint: m.Settings,
		ServiceTime:         m.Pace,
		PeakThroughput:      m.Peak,
	}
	decoded := make(map[string]bool, len(m.Servers))
	for _, p := range m.Servers {
		v, err := fromServerMessage(p)
		if err != nil {
			return nil, err
		}
		if decoded[v.ID] {
			return nil, fmt.Errorf("%w: server %q occurs twice", ErrInvalidContent, v.ID)
		}
		decoded[v.ID] = true
		s.Servers = append(s.Servers, v)
	}
	return s, nil
}

// fromServerMessage returns the server of a protobuf message, if all of its values are in their ranges.
func fromServerMessage(p *snapshotpb.Server) (Server, error) {
	v := Server{
		ID:             p.Id,
		Started:        p.Started,
		ServiceTime:    p.Pace,
		ServiceTimeAt:  p.PaceAt,
		FailureRatio:   p.Failed,
		FailureRatioAt: p.FailedAt,
		LoadReport:     decision.NoLoadReport,
	}
	if r := p.Report; r != nil {
		if !areNonNegative(r.At) || math.IsNaN(r.InFlight+r.Queue+r.Busy+r.Latency+r.Rate+r.ErrorRate) {
			return v, fmt.Errorf("%w: the report of server %q", ErrInvalidContent, v.ID)
		}
		v.LoadReportedAt = r.At
		v.LoadReport = decision.LoadReport{
			InFlight:    r.InFlight,
			QueueLength: r.Queue,
			Utilization: r.Busy,
			Latency:     r.Latency,
			Rate:        r.Rate,
			ErrorRate:   r.ErrorRate,
		}
	}
	if v.ID == "" || len(v.ID) > maxIDLength {
		return v, fmt.Errorf("%w: server %q, of 1 to %d bytes", ErrInvalidContent, v.ID, maxIDLength)
	}
	numbersValid := areNonNegative(v.Started, v.ServiceTime, v.ServiceTimeAt, v.FailureRatio, v.FailureRatioAt)
	if !numbersValid || v.FailureRatio > 1 {
		return v, fmt.Errorf("%w: server %q", ErrInvalidContent, v.ID)
	}
	return v, nil
}

// areNonNegative reports whether all values are finite and at least 0.
func areNonNegative(v ...float64) bool {
	for _, x := range v {
		if !(x >= 0) || math.IsInf(x, 0) {
			return false
		}
	}
	return true
}

// CheckOwner returns an error that wraps ErrOtherOwner unless the snapshot is of a broker with this name and these settings.
func (s *Snapshot) CheckOwner(instance string, settings uint64) error {
	if s.Instance != instance || s.SettingsFingerprint != settings {
		return fmt.Errorf("%w: of %q", ErrOtherOwner, s.Instance)
	}
	return nil
}
