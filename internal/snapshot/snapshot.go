// Package snapshot is the file in which a broker's learned state lasts: a model and its codec. It does no I/O.
//
// The file is a head (magic, version, length, checksum) and a protobuf message. It is replaced whole, so a file that
// is cut, mixed or flipped can only come of a fault below; the head finds it out, and such a file is not used at all.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"

	"google.golang.org/protobuf/proto"

	"mothrouter/internal/decision"
	"mothrouter/internal/snapshot/snapshotpb"
)

//go:generate protoc -I snapshotpb --go_out=snapshotpb --go_opt=paths=source_relative snapshot.proto

const (
	magic   = "MOTHSNAP"
	version = 1
	// Most is the largest file that is read or written. 200 servers take some 20 KB.
	Most     = 4 << 20
	headSize = len(magic) + 2 + 4 + 4
	// ServersMost is how many servers a snapshot holds.
	ServersMost = 20_000
	idMost      = 256
)

// What can be wrong with a file.
var (
	ErrTooLarge = errors.New("too large")
	ErrNoHead   = errors.New("no snapshot")
	ErrVersion  = errors.New("of another version")
	ErrTorn     = errors.New("torn")
	ErrChecksum = errors.New("the checksum does not fit")
	ErrContent  = errors.New("the content cannot be used")
	ErrForeign  = errors.New("of another broker or fleet")
)

// Server is what was learned of one server.
type Server struct {
	ID       string
	Started  float64 // start mark on the list
	Pace     float64 // mean latency of its parts; 0: not known
	PaceAt   float64
	Failed   float64 // share of failed attempts
	FailedAt float64
	Load     decision.LoadReport
	LoadAt   float64 // 0: no report has come
}

// Snapshot is all that lasts.
type Snapshot struct {
	Written  float64 // Unix seconds
	Instance string
	Settings uint64 // fingerprint
	Pace     float64
	Peak     float64
	Servers  []Server
}

var table = crc32.MakeTable(crc32.Castagnoli)

// Fingerprint tells settings, and so fleets, apart.
func Fingerprint(settings []byte) uint64 {
	return uint64(crc32.Checksum(settings, table))<<32 | uint64(crc32.ChecksumIEEE(settings))
}

// Encode makes the file's bytes.
func Encode(s *Snapshot) ([]byte, error) {
	if len(s.Servers) > ServersMost {
		return nil, ErrTooLarge
	}
	m := &snapshotpb.Snapshot{Written: s.Written, Instance: s.Instance, Settings: s.Settings, Pace: s.Pace, Peak: s.Peak}
	for _, v := range s.Servers {
		p := &snapshotpb.Server{Id: v.ID, Started: v.Started, Pace: v.Pace, PaceAt: v.PaceAt, Failed: v.Failed, FailedAt: v.FailedAt}
		if v.LoadAt > 0 {
			l := v.Load
			p.Report = &snapshotpb.Report{At: v.LoadAt, InFlight: l.InFlight, Queue: l.QueueLength, Busy: l.Utilization,
				Latency: l.Latency, Rate: l.Rate, ErrorRate: l.ErrorRate}
		}
		m.Servers = append(m.Servers, p)
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrContent, err)
	}
	if headSize+len(body) > Most {
		return nil, ErrTooLarge
	}
	b := append(make([]byte, 0, headSize+len(body)), magic...)
	b = binary.BigEndian.AppendUint16(b, version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, sum(b, body))
	return append(b, body...), nil
}

// sum is the checksum of what stands before it in the head and of the body.
func sum(head, body []byte) uint32 { return crc32.Update(crc32.Checksum(head, table), table, body) }

// Decode reads a file's bytes. What it returns has been checked whole; errors name what is wrong.
func Decode(b []byte) (*Snapshot, error) {
	if len(b) > Most {
		return nil, ErrTooLarge
	}
	if len(b) < len(magic) || string(b[:len(magic)]) != magic {
		return nil, ErrNoHead
	}
	if len(b) < headSize {
		return nil, ErrTorn
	}
	at := len(magic)
	if v := binary.BigEndian.Uint16(b[at:]); v != version {
		return nil, fmt.Errorf("%w: %d, not %d", ErrVersion, v, version)
	}
	if n := binary.BigEndian.Uint32(b[at+2:]); int(n) != len(b)-headSize {
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrTorn, len(b)-headSize, n)
	}
	body := b[headSize:]
	if binary.BigEndian.Uint32(b[at+6:]) != sum(b[:at+6], body) {
		return nil, ErrChecksum
	}
	var m snapshotpb.Snapshot
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrContent, err)
	}
	s := &Snapshot{Written: m.Written, Instance: m.Instance, Settings: m.Settings, Pace: m.Pace, Peak: m.Peak}
	if len(m.Servers) > ServersMost || !sane(m.Written, m.Pace, m.Peak) {
		return nil, ErrContent
	}
	seen := make(map[string]bool, len(m.Servers))
	for _, p := range m.Servers {
		v := Server{ID: p.Id, Started: p.Started, Pace: p.Pace, PaceAt: p.PaceAt, Failed: p.Failed, FailedAt: p.FailedAt, Load: decision.NoLoadReport}
		if r := p.Report; r != nil {
			v.LoadAt = r.At
			v.Load = decision.LoadReport{InFlight: r.InFlight, QueueLength: r.Queue, Utilization: r.Busy, Latency: r.Latency, Rate: r.Rate, ErrorRate: r.ErrorRate}
			if !sane(r.At) || math.IsNaN(r.InFlight+r.Queue+r.Busy+r.Latency+r.Rate+r.ErrorRate) {
				return nil, fmt.Errorf("%w: the report of server %q", ErrContent, v.ID)
			}
		}
		if v.ID == "" || len(v.ID) > idMost || seen[v.ID] || !sane(v.Started, v.Pace, v.PaceAt, v.Failed, v.FailedAt) || v.Failed > 1 {
			return nil, fmt.Errorf("%w: server %q", ErrContent, v.ID)
		}
		seen[v.ID] = true
		s.Servers = append(s.Servers, v)
	}
	return s, nil
}

// sane tells that figures are finite and not negative.
func sane(v ...float64) bool {
	for _, x := range v {
		if !(x >= 0) || math.IsInf(x, 0) {
			return false
		}
	}
	return true
}

// Fits tells whether a snapshot is this broker's, of this fleet.
func (s *Snapshot) Fits(instance string, settings uint64) error {
	if s.Instance != instance || s.Settings != settings {
		return fmt.Errorf("%w: of %q", ErrForeign, s.Instance)
	}
	return nil
}
