package upstream

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/transport/frame"
)

// stalledSocket takes no bytes until a time, and from then on all but the last held ones.
type stalledSocket struct {
	net.Conn
	stalledUntil time.Time
	withheld     int
	deadline     time.Time
	written      []byte
	writtenAt    time.Time // when bytes were taken
}

func (s *stalledSocket) SetWriteDeadline(t time.Time) error {
	s.deadline = t
	return nil
}

func (s *stalledSocket) Write(p []byte) (int, error) {
	if s.stalledUntil.After(s.deadline) {
		time.Sleep(time.Until(s.deadline))
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(time.Until(s.stalledUntil))
	s.writtenAt = time.Now()
	s.written = append(s.written, p[:len(p)-s.withheld]...)
	if s.withheld > 0 {
		return len(p) - s.withheld, os.ErrDeadlineExceeded
	}
	return len(p), nil
}

// A server is told at most the time that the client has left when the frame goes out, with 0.15 s of slack, however long
// the server took no bytes before.
func TestWriteFrameStatesTimeLeftAtWrite(t *testing.T) {
	const slack = 150 * time.Millisecond
	for _, stall := range []time.Duration{0, 90 * time.Millisecond, 550 * time.Millisecond} {
		t.Run(fmt.Sprint(stall), func(t *testing.T) {
			j := &job{call: newCall(t, 2*time.Second), id: "q.0"}
			sock := &stalledSocket{stalledUntil: time.Now().Add(stall)}
			n, err := (&conn{sock: sock}).writeFrame(j, j.appendCall(nil))
			require.NoError(t, err)
			require.Equal(t, len(sock.written), n)
			left := j.call.Deadline.Sub(sock.writtenAt)
			least := frame.AppendCall(nil, frame.Call{ID: "q.0", WaitMS: int((left + slack) / time.Millisecond)})
			require.LessOrEqual(t, statedWait(t, sock.written), statedWait(t, least), "milliseconds told; %v are left", left)
		})
	}
}

// A frame that was taken in part cannot be renewed: it ends with the connection, and counts as never written whole.
func TestWriteFrameDoesNotRetryPartialWrite(t *testing.T) {
	j := &job{call: newCall(t, 2*time.Second), id: "q.0"}
	sock := &stalledSocket{withheld: 3}
	whole := j.appendCall(nil)
	n, err := (&conn{sock: sock}).writeFrame(j, whole)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Equal(t, len(whole)-3, n)
}

// What may no longer begin is not written once the server takes bytes again.
func TestWriteFrameSkipsExpiredCall(t *testing.T) {
	j := &job{call: newCall(t, 150*time.Millisecond), id: "q.0"}
	sock := &stalledSocket{stalledUntil: time.Now().Add(450 * time.Millisecond)}
	_, err := (&conn{sock: sock}).writeFrame(j, j.appendCall(nil))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Empty(t, sock.written)
}

// statedWait reads the milliseconds that a call's frame tells its server.
func statedWait(t *testing.T, text []byte) (ms int) {
	t.Helper()
	const headerAndLetter = 5
	var id, shard string
	_, err := fmt.Sscanf(string(text[headerAndLetter:]), "%s %s d=%d", &id, &shard, &ms)
	require.NoError(t, err, "%q", text)
	return ms
}
