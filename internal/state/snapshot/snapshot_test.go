package snapshot_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/decision"
	"mothrouter/internal/state/snapshot"
)

// newSnapshot returns a snapshot of a number of servers, every other one with a load report.
func newSnapshot(servers int) *snapshot.Snapshot {
	s := &snapshot.Snapshot{WrittenAt: 1000, Instance: "n3", SettingsFingerprint: 42, ServiceTime: 0.02, PeakThroughput: 31}
	for i := range servers {
		server := snapshot.Server{
			ID:             fmt.Sprintf("s-%08x", i),
			StartedAt:      float64(i % 3),
			ServiceTime:    0.01,
			ServiceTimeAt:  990,
			FailureRatio:   0.2,
			FailureRatioAt: 995,
			LoadReport:     decision.NoLoadReport,
		}
		if i%2 == 0 {
			server.LoadReport = decision.LoadReport{InFlight: 3, QueueLength: -1, Utilization: 0.4, Latency: -1, Rate: -1, ErrorRate: -1}
			server.LoadReportedAt = 999
		}
		s.Servers = append(s.Servers, server)
	}
	return s
}

func TestEncodeAndDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSnapshot(rapid.IntRange(0, 50).Draw(t, "servers"))
		s.WrittenAt = rapid.Float64Range(0, 1e10).Draw(t, "written")
		s.Instance = rapid.StringN(0, 20, -1).Draw(t, "instance")
		s.SettingsFingerprint = rapid.Uint64().Draw(t, "settings")
		b, err := snapshot.Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		got, err := snapshot.Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		require.Equal(t, s, got)
	})
	b, err := snapshot.Encode(newSnapshot(200))
	require.NoError(t, err)
	require.Less(t, len(b), 24<<10)
	t.Logf("a snapshot of 200 servers takes %d bytes", len(b))
}

// TestDecodeRejectsCorruptFiles truncates a file at each byte and flips each of its bits.
func TestDecodeRejectsCorruptFiles(t *testing.T) {
	b, err := snapshot.Encode(newSnapshot(12))
	require.NoError(t, err)
	for n := range b {
		_, err := snapshot.Decode(b[:n])
		require.Error(t, err, "truncated to %d of %d bytes", n, len(b))
	}
	for i := range b {
		for bit := range 8 {
			b[i] ^= 1 << bit
			_, err := snapshot.Decode(b)
			require.Error(t, err, "flipped bit %d of byte %d", bit, i)
			b[i] ^= 1 << bit
		}
	}
	_, err = snapshot.Decode(append(b, 0))
	require.ErrorIs(t, err, snapshot.ErrTruncated)
	_, err = snapshot.Decode(nil)
	require.ErrorIs(t, err, snapshot.ErrNoHeader)
	_, err = snapshot.Decode(make([]byte, snapshot.MaxSize+1))
	require.ErrorIs(t, err, snapshot.ErrTooLarge)
	for _, version := range []uint16{0, 2, 65535} { // older and newer
		changed := append([]byte{}, b...)
		binary.BigEndian.PutUint16(changed[8:], version)
		_, err = snapshot.Decode(changed)
		require.ErrorIs(t, err, snapshot.ErrUnsupportedVersion)
	}
}

// TestDecodeRejectsInvalidContent decodes files with a valid checksum and one value that is out of range.
func TestDecodeRejectsInvalidContent(t *testing.T) {
	for name, change := range map[string]func(*snapshot.Snapshot){
		"negative time":            func(s *snapshot.Snapshot) { s.WrittenAt = -1 },
		"service time NaN":         func(s *snapshot.Snapshot) { s.ServiceTime = math.NaN() },
		"infinite peak throughput": func(s *snapshot.Snapshot) { s.PeakThroughput = math.Inf(1) },
		"duplicate server":         func(s *snapshot.Snapshot) { s.Servers[1].ID = s.Servers[0].ID },
		"server without id":        func(s *snapshot.Snapshot) { s.Servers[0].ID = "" },
		"failure ratio over 1":     func(s *snapshot.Snapshot) { s.Servers[0].FailureRatio = 1.5 },
		"load report with NaN":     func(s *snapshot.Snapshot) { s.Servers[0].LoadReport.Utilization = math.NaN() },
	} {
		s := newSnapshot(3)
		change(s)
		b, err := snapshot.Encode(s)
		require.NoError(t, err)
		_, err = snapshot.Decode(b)
		require.ErrorIs(t, err, snapshot.ErrInvalidContent, name)
	}
	_, err := snapshot.Encode(&snapshot.Snapshot{Servers: make([]snapshot.Server, snapshot.MaxServers+1)})
	require.ErrorIs(t, err, snapshot.ErrTooLarge)
}

func TestCheckOwner(t *testing.T) {
	s := newSnapshot(1)
	require.NoError(t, s.CheckOwner("n3", 42))
	require.ErrorIs(t, s.CheckOwner("n4", 42), snapshot.ErrOtherOwner)
	require.ErrorIs(t, s.CheckOwner("n3", 43), snapshot.ErrOtherOwner)
	require.NotEqual(t, snapshot.Fingerprint([]byte("a")), snapshot.Fingerprint([]byte("b")))
}

func FuzzDecode(f *testing.F) {
	b, _ := snapshot.Encode(newSnapshot(3))
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := snapshot.Decode(b)
		require.Equal(t, err == nil, s != nil, "either a snapshot or an error")
	})
}

func BenchmarkEncode200(b *testing.B) {
	s := newSnapshot(200)
	b.ReportAllocs()
	for range b.N {
		if _, err := snapshot.Encode(s); err != nil {
			b.Fatal(err)
		}
	}
}

// TestDecodeReadsFileOfEarlierRelease guards the file format against renames in the code: a file that was written before them
// decodes to the same values, and these encode to the same bytes.
func TestDecodeReadsFileOfEarlierRelease(t *testing.T) {
	b, err := os.ReadFile("testdata/as-found.moth")
	require.NoError(t, err)
	s, err := snapshot.Decode(b)
	require.NoError(t, err)
	require.Equal(t, &snapshot.Snapshot{
		WrittenAt: 1000.5, Instance: "broker-1", SettingsFingerprint: 0xfeedc0ffee, ServiceTime: 0.021, PeakThroughput: 48.5,
		Servers: []snapshot.Server{
			{ID: "server-a", StartedAt: 12.25, ServiceTime: 0.02, ServiceTimeAt: 999, FailureRatio: 0.125, FailureRatioAt: 998.5,
				LoadReport: decision.LoadReport{
					InFlight: 3, QueueLength: 2, Utilization: 0.5, Latency: 0.09, Rate: 7, ErrorRate: 1,
				}, LoadReportedAt: 997},
			{ID: "server-b", ServiceTime: 0.08, ServiceTimeAt: 1000, FailureRatio: 0.75, FailureRatioAt: 1000,
				LoadReport: decision.NoLoadReport},
		},
	}, s)
	encoded, err := snapshot.Encode(s)
	require.NoError(t, err)
	require.Equal(t, b, encoded)
}
