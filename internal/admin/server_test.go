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

func TestCallReaderReadsOneLine(t *testing.T) {
	for text, want := range map[string]any{
		"HEALTH\n": admin.CheckHealth, "DUMP\r\n": admin.DumpMetrics, "LEAVE\n": admin.StartDrain, "JOIN\n": admin.CancelDrain,
		"health\n": admin.ErrUnknownCall, "\n": admin.ErrUnknownCall, " JOIN\n": admin.ErrUnknownCall,
		"JOIN\nLEAVE\n": admin.ErrMultipleLines, strings.Repeat("x", 64): admin.ErrCallTooLong, "HEAL": nil, "": nil,
	} {
		for _, piece := range []int{1, 64} {
			var reader admin.CallReader
			var got any
			for rest := text; rest != "" && got == nil; {
				n := copy(reader.Grow(), rest[:min(piece, len(rest))])
				reader.Advance(n)
				rest = rest[n:]
				if c, ok, err := reader.Next(); err != nil {
					got = err
				} else if ok && rest == "" {
					got = c
				}
			}
			if err, ok := want.(error); ok && errors.Is(err, admin.ErrMultipleLines) && piece == 1 {
				continue // the first line is complete before the second is received
			}
			require.Equal(t, want, got, "%q by %d", text, piece)
		}
	}
}

// process is a Process that only drains.
type process struct{ draining atomic.Bool }

func (p *process) AcceptsClients() bool          { return !p.draining.Load() }
func (p *process) StartDrain()                   { p.draining.Store(true) }
func (p *process) CancelDrain()                  { p.draining.Store(false) }
func (p *process) AppendMetrics(b []byte) []byte { return append(b, "svc.open_requests:3|g\n"...) }

// serve starts a server that the end of the test stops.
func serve(t *testing.T) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go admin.New(&process{}, slog.New(slog.NewTextHandler(io.Discard, nil))).Serve(l)
	return l.Addr().String()
}

// call makes one call and returns the reply.
func call(t *testing.T, addr, text string) string {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	startedAt := time.Now()
	fmt.Fprint(c, text)
	c.SetReadDeadline(startedAt.Add(2 * time.Second))
	reply, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Less(t, time.Since(startedAt), time.Second, "%q", text)
	return string(reply)
}

func TestServerRepliesToEachCall(t *testing.T) {
	addr := serve(t)
	for _, step := range [][2]string{
		{"HEALTH\n", "ACK\n"}, {"DUMP\n", "ACK\nsvc.open_requests:3|g\n--\n"},
		{"LEAVE\n", "ACK\n"}, {"LEAVE\n", "ACK\n"}, {"HEALTH\n", "NAK no clients are taken\n"},
		{"JOIN\n", "ACK\n"}, {"HEALTH\n", "ACK\n"},
		{"SHUTDOWN\n", "NAK no such call\n"}, {"HEA", "NAK the call did not come whole in time\n"},
		{"", "NAK the call did not come whole in time\n"}, {"JOIN\nLEAVE\n", "NAK more than one line\n"},
		{strings.Repeat("y", 100_000), "NAK the call is too long\n"}, {"HEALTH\n", "ACK\n"},
	} {
		require.Equal(t, step[1], call(t, addr, step[0]), "%q", step[0])
	}
}

// Callers that stay connected and send nothing, or half a call, do not keep others from a reply.
func TestServerRepliesBesideSilentCallers(t *testing.T) {
	addr := serve(t)
	var stay []net.Conn
	defer func() {
		for _, c := range stay {
			c.Close()
		}
	}()
	for i := range 200 {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		stay = append(stay, c)
		if i%2 == 0 {
			fmt.Fprint(c, "DUM")
		}
		if i%20 == 0 {
			require.Equal(t, "ACK\n", call(t, addr, "HEALTH\n"))
		}
	}
}
