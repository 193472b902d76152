package admin_test

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/admin"
)

func TestCommandReaderReadsOneLine(t *testing.T) {
	for text, want := range map[string]any{
		"HEALTH\n": admin.CheckHealth, "DUMP\r\n": admin.DumpMetrics, "LEAVE\n": admin.StartDrain, "JOIN\n": admin.CancelDrain,
		"health\n": admin.ErrUnknownCommand, "\n": admin.ErrUnknownCommand, " JOIN\n": admin.ErrUnknownCommand,
		"JOIN\nLEAVE\n": admin.ErrMultipleLines, strings.Repeat("x", 64): admin.ErrCommandTooLong, "HEAL": nil, "": nil,
	} {
		for _, chunkSize := range []int{1, 64} {
			var reader admin.CommandReader
			var got any
			for rest := text; rest != "" && got == nil; {
				n := copy(reader.Grow(), rest[:min(chunkSize, len(rest))])
				reader.Advance(n)
				rest = rest[n:]
				if command, complete, err := reader.Next(); err != nil {
					got = err
				} else if complete && rest == "" {
					got = command
				}
			}
			if err, ok := want.(error); ok && errors.Is(err, admin.ErrMultipleLines) && chunkSize == 1 {
				continue // the first line is complete before the second is received
			}
			require.Equal(t, want, got, "%q in chunks of %d bytes", text, chunkSize)
		}
	}
}

// fakeProcess is a Process that only records whether it is draining.
type fakeProcess struct{ draining atomic.Bool }

func (p *fakeProcess) AcceptsClients() bool          { return !p.draining.Load() }
func (p *fakeProcess) StartDrain()                   { p.draining.Store(true) }
func (p *fakeProcess) CancelDrain()                  { p.draining.Store(false) }
func (p *fakeProcess) AppendMetrics(b []byte) []byte { return append(b, "svc.open_requests:3|g\n"...) }

// startServer starts a server that stops when the test ends, and returns its address.
func startServer(t *testing.T) (addr string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go admin.New(&fakeProcess{}, slog.New(slog.NewTextHandler(io.Discard, nil))).Serve(listener)
	return listener.Addr().String()
}

// sendCommand sends text on a new connection and returns the reply, which must arrive within a second.
func sendCommand(t *testing.T, addr, text string) string {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	startedAt := time.Now()
	fmt.Fprint(conn, text)
	conn.SetReadDeadline(startedAt.Add(2 * time.Second))
	reply, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Less(t, time.Since(startedAt), time.Second, "%q", text)
	return string(reply)
}

func TestServerRepliesToEachCommand(t *testing.T) {
	addr := startServer(t)
	for _, step := range [][2]string{
		{"HEALTH\n", "ACK\n"}, {"DUMP\n", "ACK\nsvc.open_requests:3|g\n--\n"},
		{"LEAVE\n", "ACK\n"}, {"LEAVE\n", "ACK\n"}, {"HEALTH\n", "NAK no clients are taken\n"},
		{"JOIN\n", "ACK\n"}, {"HEALTH\n", "ACK\n"},
		{"SHUTDOWN\n", "NAK no such call\n"}, {"HEA", "NAK the call did not come whole in time\n"},
		{"", "NAK the call did not come whole in time\n"}, {"JOIN\nLEAVE\n", "NAK more than one line\n"},
		{strings.Repeat("y", 100_000), "NAK the call is too long\n"}, {"HEALTH\n", "ACK\n"},
	} {
		require.Equal(t, step[1], sendCommand(t, addr, step[0]), "%q", step[0])
	}
}

// Clients that stay connected and send nothing, or half a command, do not prevent replies to others.
func TestServerRepliesDespiteSilentClients(t *testing.T) {
	addr := startServer(t)
	var idle []net.Conn
	defer func() {
		for _, conn := range idle {
			conn.Close()
		}
	}()
	for i := range 200 {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		idle = append(idle, conn)
		if i%2 == 0 {
			fmt.Fprint(conn, "DUM")
		}
		if i%20 == 0 {
			require.Equal(t, "ACK\n", sendCommand(t, addr, "HEALTH\n"))
		}
	}
}
