package plane_test

import (
	"bufio"
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// recordingPath is a recording of one datagram of each kind, written by the program at commit ff70e8f. Each line has the
// kind, a space and the datagram in hexadecimal digits.
const recordingPath = "testdata/as-found.hex"

// recordedDatagrams returns the expected contents of the recording by kind, without the common header (withRecordedHeader).
func recordedDatagrams() map[string]*planepb.Datagram {
	lost := entry("n3", "10.0.0.3:7946")
	lost.State, lost.Age = 5, 61
	return map[string]*planepb.Datagram{
		"heartbeat":              {},
		"ping":                   {Ping: 4_000_000_001},
		"ack":                    {Pong: 17},
		"introduction-request":   {Ping: 2, Self: entry("n1", "127.0.0.1:7946"), Who: true},
		"introduction":           {Pong: 2, Self: entry("n1", "127.0.0.1:7946")},
		"indirect-ping":          {About: plane.InstanceID("n2", 5), Ask: 300},
		"indirect-ack":           {About: plane.InstanceID("n2", 5), Tell: 300, Heard: true},
		"indirect-nack":          {About: plane.InstanceID("n2", 5), Tell: 300},
		"state-vector":           {Vector: []byte{0, 1, 2, 4, 5, 255}},
		"entries":                {Entries: []*planepb.Entry{entry("n2", "[::1]:7946"), lost}},
		"anti-entropy-request":   {Sync: true, Have: []byte{1, 2, 254, 255}, Slice: 7},
		"leave":                  {Leave: true},
		"all-fields-of-a-sender": {Ping: 1, Pong: 2, Vector: []byte{3}, Sync: true, Have: []byte{9, 8}, Who: true, Leave: true},
	}
}

// withRecordedHeader sets the header fields that all recorded datagrams share.
func withRecordedHeader(d *planepb.Datagram) *planepb.Datagram {
	d.Version, d.Fleet, d.From, d.Seq = plane.Version, fleetFingerprint, plane.InstanceID("n1", 5), 1<<40+3
	d.Roster, d.States = 0xdeadbeef, 0x01020304
	return d
}

// TestWireFormatMatchesRecording checks that this program and the one that wrote the recording can exchange datagrams.
func TestWireFormatMatchesRecording(t *testing.T) {
	want := recordedDatagrams()
	f, err := os.Open(recordingPath)
	require.NoError(t, err)
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		kind, digits, _ := strings.Cut(lines.Text(), " ")
		require.Contains(t, want, kind)
		recorded, err := hex.DecodeString(digits)
		require.NoError(t, err, kind)
		d, err := plane.Parse(recorded, fleetFingerprint)
		require.NoError(t, err, kind)
		require.True(t, proto.Equal(withRecordedHeader(want[kind]), d), "%s: %v", kind, d)
		encoded, err := plane.Append(nil, d)
		require.NoError(t, err, kind)
		require.Equal(t, recorded, encoded, kind)
		delete(want, kind)
	}
	require.NoError(t, lines.Err())
	require.Empty(t, want, "kinds of datagrams missing from the recording")
}
