// Package snapshot defines the file format of a broker's server-health state: the model, its encoding and decoding. It does
// no I/O.
//
// A file consists of a header (magic, version, length, checksum) and a protobuf message, which keeps the field names of the
// first version. A save replaces the file atomically, so only a fault of the disk or the file system can truncate or corrupt
// it. Decode detects that by the header and rejects the file. Times are Unix seconds, durations are seconds.
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

	// MaxSize is the maximum size of a file, in bytes. 200 servers take about 20 KB.
	MaxSize = 4 << 20
	// MaxServers is the maximum number of servers in a snapshot.
	MaxServers = 20_000

	maxIDLength = 256 // maximum length of a server id, in bytes
)

// Errors that Encode, Decode and CheckOwner return, mostly wrapped with the sizes, versions or names involved.
var (
	ErrTooLarge           = errors.New("too large")
	ErrNoHeader           = errors.New("not a snapshot file: wrong magic number")
	ErrUnsupportedVersion = errors.New("unsupported version")
	ErrTruncated          = errors.New("truncated or followed by extra bytes")
	ErrChecksum           = errors.New("checksum mismatch")
	ErrInvalidContent     = errors.New("invalid content")
	ErrOtherOwner         = errors.New("belongs to another broker or fleet")
)

// Server is the state of one server.
type Server struct {
	ID             string
	StartedAt      float64 // start time of its process, as in the endpoint list; 0: long ago
	ServiceTime    float64 // mean latency of its parts; 0: unknown
	ServiceTimeAt  float64 // time of the latest update of ServiceTime; 0: never
	FailureRatio   float64 // fraction of attempts that failed, 0 to 1
	FailureRatioAt float64 // time of the latest update of FailureRatio; 0: never
	LoadReport     decision.LoadReport
	LoadReportedAt float64 // time at which LoadReport was received; 0: never
}

// Snapshot is the state of one broker.
type Snapshot struct {
	WrittenAt           float64
	Instance            string  // name of the broker
	SettingsFingerprint uint64  // fingerprint of the broker's settings, which identify the fleet
	ServiceTime         float64 // mean latency of parts over the fleet; 0: unknown
	PeakThroughput      float64 // peak rate at which one warm server answered this broker, in parts per second
	Servers             []Server
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Fingerprint returns a 64-bit fingerprint of encoded settings, which tells deployments apart.
func Fingerprint(settings []byte) uint64 {
	return uint64(crc32.Checksum(settings, castagnoli))<<32 | uint64(crc32.ChecksumIEEE(settings))
}

// Encode returns the content of a snapshot file. The error wraps ErrTooLarge or ErrInvalidContent.
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

// toMessage converts a snapshot to its protobuf message.
func toMessage(s *Snapshot) *snapshotpb.Snapshot {
	message := &snapshotpb.Snapshot{
		Written:  s.WrittenAt,
		Instance: s.Instance,
		Settings: s.SettingsFingerprint,
		Pace:     s.ServiceTime,
		Peak:     s.PeakThroughput,
	}
	for _, server := range s.Servers {
		message.Servers = append(message.Servers, toServerMessage(server))
	}
	return message
}

// toServerMessage converts a server to its protobuf message.
func toServerMessage(server Server) *snapshotpb.Server {
	message := &snapshotpb.Server{
		Id:       server.ID,
		Started:  server.StartedAt,
		Pace:     server.ServiceTime,
		PaceAt:   server.ServiceTimeAt,
		Failed:   server.FailureRatio,
		FailedAt: server.FailureRatioAt,
	}
	if server.LoadReportedAt > 0 {
		report := server.LoadReport
		message.Report = &snapshotpb.Report{
			At:        server.LoadReportedAt,
			InFlight:  report.InFlight,
			Queue:     report.QueueLength,
			Busy:      report.Utilization,
			Latency:   report.Latency,
			Rate:      report.Rate,
			ErrorRate: report.ErrorRate,
		}
	}
	return message
}

// checksum returns the CRC-32C of the header bytes that precede the checksum, followed by the body.
func checksum(header, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, body)
}

// Decode decodes and validates the content of a snapshot file. The error wraps one of the errors above except ErrOtherOwner.
func Decode(b []byte) (*Snapshot, error) {
	body, err := decodeHeader(b)
	if err != nil {
		return nil, err
	}
	var message snapshotpb.Snapshot
	if err := proto.Unmarshal(body, &message); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidContent, err)
	}
	return fromMessage(&message)
}

// decodeHeader validates the header and the checksum of a file, and returns its body.
func decodeHeader(b []byte) ([]byte, error) {
	if len(b) > MaxSize {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, MaxSize)
	}
	if len(b) < len(magic) || string(b[:len(magic)]) != magic {
		return nil, ErrNoHeader
	}
	if len(b) < headerSize {
		return nil, fmt.Errorf("%w: file has %d bytes, the header alone has %d", ErrTruncated, len(b), headerSize)
	}
	const (
		versionOffset  = len(magic)
		lengthOffset   = versionOffset + 2
		checksumOffset = lengthOffset + 4
	)
	if v := binary.BigEndian.Uint16(b[versionOffset:]); v != version {
		return nil, fmt.Errorf("%w: %d, want %d", ErrUnsupportedVersion, v, version)
	}
	body := b[headerSize:]
	if n := binary.BigEndian.Uint32(b[lengthOffset:]); int(n) != len(body) {
		return nil, fmt.Errorf("%w: body has %d bytes, want %d", ErrTruncated, len(body), n)
	}
	if binary.BigEndian.Uint32(b[checksumOffset:]) != checksum(b[:checksumOffset], body) {
		return nil, ErrChecksum
	}
	return body, nil
}

// fromMessage converts a protobuf message to a snapshot. It returns an error that wraps ErrInvalidContent if a value is out
// of range or a server occurs twice.
func fromMessage(message *snapshotpb.Snapshot) (*Snapshot, error) {
	if len(message.Servers) > MaxServers {
		return nil, fmt.Errorf("%w: %d servers, at most %d", ErrInvalidContent, len(message.Servers), MaxServers)
	}
	if !areNonNegative(message.Written, message.Pace, message.Peak) {
		return nil, fmt.Errorf("%w: written at %g, service time %g, peak throughput %g, want finite non-negative numbers",
			ErrInvalidContent, message.Written, message.Pace, message.Peak)
	}
	s := &Snapshot{
		WrittenAt:           message.Written,
		Instance:            message.Instance,
		SettingsFingerprint: message.Settings,
		ServiceTime:         message.Pace,
		PeakThroughput:      message.Peak,
	}
	decodedIDs := make(map[string]bool, len(message.Servers))
	for _, serverMessage := range message.Servers {
		server, err := fromServerMessage(serverMessage)
		if err != nil {
			return nil, err
		}
		if decodedIDs[server.ID] {
			return nil, fmt.Errorf("%w: server %q occurs twice", ErrInvalidContent, server.ID)
		}
		decodedIDs[server.ID] = true
		s.Servers = append(s.Servers, server)
	}
	return s, nil
}

// fromServerMessage converts a protobuf message to a server. It returns an error that wraps ErrInvalidContent if a value is
// out of range.
func fromServerMessage(message *snapshotpb.Server) (Server, error) {
	server := Server{
		ID:             message.Id,
		StartedAt:      message.Started,
		ServiceTime:    message.Pace,
		ServiceTimeAt:  message.PaceAt,
		FailureRatio:   message.Failed,
		FailureRatioAt: message.FailedAt,
		LoadReport:     decision.NoLoadReport,
	}
	if r := message.Report; r != nil {
		if !areNonNegative(r.At) || math.IsNaN(r.InFlight+r.Queue+r.Busy+r.Latency+r.Rate+r.ErrorRate) {
			return server, fmt.Errorf("%w: load report of server %q has a negative or infinite time or a NaN: %v",
				ErrInvalidContent, server.ID, r)
		}
		server.LoadReportedAt = r.At
		server.LoadReport = decision.LoadReport{
			InFlight:    r.InFlight,
			QueueLength: r.Queue,
			Utilization: r.Busy,
			Latency:     r.Latency,
			Rate:        r.Rate,
			ErrorRate:   r.ErrorRate,
		}
	}
	if server.ID == "" || len(server.ID) > maxIDLength {
		return server, fmt.Errorf("%w: server id %q has %d bytes, want 1 to %d",
			ErrInvalidContent, server.ID, len(server.ID), maxIDLength)
	}
	numbersValid := areNonNegative(server.StartedAt, server.ServiceTime, server.ServiceTimeAt, server.FailureRatio, server.FailureRatioAt)
	if !numbersValid || server.FailureRatio > 1 {
		return server, fmt.Errorf("%w: server %q: started %g, service time %g at %g, failure ratio %g at %g, "+
			"want finite non-negative numbers and a ratio of at most 1", ErrInvalidContent, server.ID, server.StartedAt,
			server.ServiceTime, server.ServiceTimeAt, server.FailureRatio, server.FailureRatioAt)
	}
	return server, nil
}

// areNonNegative reports whether all values are finite and at least 0.
func areNonNegative(values ...float64) bool {
	for _, v := range values {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

// CheckOwner returns an error that wraps ErrOtherOwner unless the snapshot was written by a broker of this name, with
// settings of this fingerprint.
func (s *Snapshot) CheckOwner(instance string, fingerprint uint64) error {
	if s.Instance != instance || s.SettingsFingerprint != fingerprint {
		return fmt.Errorf("%w: broker %q with settings %016x, want %q with %016x",
			ErrOtherOwner, s.Instance, s.SettingsFingerprint, instance, fingerprint)
	}
	return nil
}
