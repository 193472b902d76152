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

// stalledSocket accepts no bytes until stalledUntil, and then all but the last rejectedBytes bytes of each write.
type stalledSocket struct {
	net.Conn
	stalledUntil  time.Time
	rejectedBytes int
	deadline      time.Time
	written       []byte
	writtenAt     time.Time // of the latest write that was accepted
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
	s.written = append(s.written, p[:len(p)-s.rejectedBytes]...)
	if s.rejectedBytes > 0 {
		return len(p) - s.rejectedBytes, os.ErrDeadlineExceeded
	}
	return len(p), nil
}

// The time left that a call's frame states exceeds that at the write by 0.15 s at most, however long the socket was stalled.
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
			limit := frame.AppendCall(nil, frame.Call{ID: "q.0", WaitMS: int((left + slack) / time.Millisecond)})
			require.LessOrEqual(t, statedWait(t, sock.written), statedWait(t, limit), "stated milliseconds; %v are left", left)
		})
	}
}

// A frame that was written in part is neither continued nor rebuilt, and writeFrame returns how many bytes were accepted.
func TestWriteFrameDoesNotRetryPartialWrite(t *testing.T) {
	j := &job{call: newCall(t, 2*time.Second), id: "q.0"}
	sock := &stalledSocket{rejectedBytes: 3}
	complete := j.appendCall(nil)
	n, err := (&conn{sock: sock}).writeFrame(j, complete)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Equal(t, len(complete)-3, n)
}

// A call whose deadline passes while the socket is stalled is not written.
func TestWriteFrameSkipsExpiredCall(t *testing.T) {
	j := &job{call: newCall(t, 150*time.Millisecond), id: "q.0"}
	sock := &stalledSocket{stalledUntil: time.Now().Add(450 * time.Millisecond)}
	_, err := (&conn{sock: sock}).writeFrame(j, j.appendCall(nil))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Empty(t, sock.written)
}

// statedWait returns the time left that a call's frame states, in milliseconds.
func statedWait(t *testing.T, data []byte) int {
	t.Helper()
	const headerSize = 5 // length and message type
	var id, shard string
	var milliseconds int
	_, err := fmt.Sscanf(string(data[headerSize:]), "%s %s d=%d", &id, &shard, &milliseconds)
	require.NoError(t, err, "%q", data)
	return milliseconds
}
