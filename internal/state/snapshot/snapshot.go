// Package snapshot is the file of a broker's server-health state: a model and its codec. It does no I/O.
//
// The file is a header (magic, version, length, checksum) and a protobuf message, whose names are those of the file's first
// version. It is replaced at once, so a file that is cut, mixed or flipped can only come of a fault below; the header shows
// it, and such a file is not used at all. Times are Unix seconds, durations seconds.
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
	magic   = "MOTHSNAP"
	version = 1
	// MaxSize is the largest file that is read or written, in bytes. 200 servers take some 20 KB.
	MaxSize    = 4 << 20
	headerSize = len(magic) + 2 + 4 + 4
	// MaxServers is how many servers a snapshot may hold.
	MaxServers  = 20_000
	maxIDLength = 256
)

// What can be wrong with a file.
var (
	ErrTooLarge           = errors.New("too large")
	ErrNoHeader           = errors.New("no snapshot")
	ErrUnsupportedVersion = errors.New("of another version")
	ErrTruncated          = errors.New("truncated")
	ErrChecksum           = errors.New("the checksum does not fit")
	ErrInvalidContent     = errors.New("the content cannot be used")
	ErrOtherOwner         = errors.New("of another broker or fleet")
)

// Server is the state of one server.
type Server struct {
	ID             string
	Started        float64 // its start, as the endpoint list names it
	ServiceTime    float64 // mean latency of its parts; 0: not known
	ServiceTimeAt  float64
	FailureRatio   float64 // of attempts, 0 to 1
	FailureRatioAt float64
	LoadReport     decision.LoadReport
	LoadReportedAt float64 // 0: never
}

// Snapshot is the state of one broker.
type Snapshot struct {
	WrittenAt           float64 // Unix seconds
	Instance            string
	SettingsFingerprint uint64 // tells deployments apart
	ServiceTime         float64
	PeakThroughput      float64
	Servers             []Server
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Fingerprint tells settings, and so deployments, apart.
func Fingerprint(settings []byte) uint64 {
	return uint64(crc32.Checksum(settings, castagnoli))<<32 | uint64(crc32.ChecksumIEEE(settings))
}

// Encode makes the file's bytes. It returns ErrTooLarge or ErrContent.
func Encode(s *Snapshot) ([]byte, error) {
	if len(s.Servers) > MaxServers {
		return nil, ErrTooLarge
	}
	m := &snapshotpb.Snapshot{Written: s.WrittenAt, Instance: s.Instance, Settings: s.SettingsFingerprint, Pace: s.ServiceTime, Peak: s.PeakThroughput}
	for _, v := range s.Servers {
		p := &snapshotpb.Server{Id: v.ID, Started: v.Started, Pace: v.ServiceTime, PaceAt: v.ServiceTimeAt, Failed: v.FailureRatio, FailedAt: v.FailureRatioAt}
		if v.LoadReportedAt > 0 {
			l := v.LoadReport
			p.Report = &snapshotpb.Report{At: v.LoadReportedAt, InFlight: l.InFlight, Queue: l.QueueLength, Busy: l.Utilization,
				Latency: l.Latency, Rate: l.Rate, ErrorRate: l.ErrorRate}
		}
		m.Servers = append(m.Servers, p)
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidContent, err)
	}
	if headerSize+len(body) > MaxSize {
		return nil, ErrTooLarge
	}
	b := append(make([]byte, 0, headerSize+len(body)), magic...)
	b = binary.BigEndian.AppendUint16(b, version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, checksum(b, body))
	return append(b, body...), nil
}

// checksum is the checksum of what precedes it in the header, and of the body.
func checksum(head, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, body)
}

// Decode reads a file's bytes. What it returns has been checked throughout; its errors wrap those above.
func Decode(b []byte) (*Snapshot, error) {
	if len(b) > MaxSize {
		return nil, ErrTooLarge
	}
	if len(b) < len(magic) || string(b[:len(magic)]) != magic {
		return nil, ErrNoHeader
	}
	if len(b) < headerSize {
		return nil, ErrTruncated
	}
	at := len(magic)
	if v := binary.BigEndian.Uint16(b[at:]); v != version {
		return nil, fmt.Errorf("%w: %d, not %d", ErrUnsupportedVersion, v, version)
	}
	if n := binary.BigEndian.Uint32(b[at+2:]); int(n) != len(b)-headerSize {
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrTruncated, len(b)-headerSize, n)
	}
	body := b[headerSize:]
	if binary.BigEndian.Uint32(b[at+6:]) != checksum(b[:at+6], body) {
		return nil, ErrChecksum
	}
	var m snapshotpb.Snapshot
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidContent, err)
	}
	s := &Snapshot{WrittenAt: m.Written, Instance: m.Instance, SettingsFingerprint: m.Settings, ServiceTime: m.Pace, PeakThroughput: m.Peak}
	if len(m.Servers) > MaxServers || !areNonNegative(m.Written, m.Pace, m.Peak) {
		return nil, ErrInvalidContent
	}
	seen := make(map[string]bool, len(m.Servers))
	for _, p := range m.Servers {
		v := Server{ID: p.Id, Started: p.Started, ServiceTime: p.Pace, ServiceTimeAt: p.PaceAt, FailureRatio: p.Failed, FailureRatioAt: p.FailedAt, LoadReport: decision.NoLoadReport}
		if r := p.Report; r != nil {
			v.LoadReportedAt = r.At
			v.LoadReport = decision.LoadReport{InFlight: r.InFlight, QueueLength: r.Queue, Utilization: r.Busy, Latency: r.Latency, Rate: r.Rate, ErrorRate: r.ErrorRate}
			if !areNonNegative(r.At) || math.IsNaN(r.InFlight+r.Queue+r.Busy+r.Latency+r.Rate+r.ErrorRate) {
				return nil, fmt.Errorf("%w: the report of server %q", ErrInvalidContent, v.ID)
			}
		}
		if v.ID == "" || len(v.ID) > maxIDLength || seen[v.ID] || !areNonNegative(v.Started, v.ServiceTime, v.ServiceTimeAt, v.FailureRatio, v.FailureRatioAt) || v.FailureRatio > 1 {
			return nil, fmt.Errorf("%w: server %q", ErrInvalidContent, v.ID)
		}
		seen[v.ID] = true
		s.Servers = append(s.Servers, v)
	}
	return s, nil
}

// areNonNegative tells that figures are finite and not negative.
func areNonNegative(v ...float64) bool {
	for _, x := range v {
		if !(x >= 0) || math.IsInf(x, 0) {
			return false
		}
	}
	return true
}

// CheckOwner tells whether a snapshot is this broker's, of this fleet.
func (s *Snapshot) CheckOwner(instance string, settings uint64) error {
	if s.Instance != instance || s.SettingsFingerprint != settings {
		return fmt.Errorf("%w: of %q", ErrOtherOwner, s.Instance)
	}
	return nil
}
