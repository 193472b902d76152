package main_test

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request arrives 1.2 s after SIGTERM with a deadline of 4 s, and its record server never answers. The platform sends
// SIGKILL 3.7 s after SIGTERM, as it counts no deadline beyond 3 s. By then the request has its answer and the process
// has exited.
func TestShutdownAnswersLateRequestBeforeKill(t *testing.T) {
	t.Parallel()
	for _, flags := range [][]string{nil, {"-cores", coresFile}} {
		t.Run(strings.Join(flags, " "), func(t *testing.T) {
			t.Parallel()
			p := newPlayer(t)
			p.start([]string{"s0"}, 100, 1024, 15, flags...)
			c := p.conn("a")
			fmt.Fprint(c, readinessRequest)
			require.Contains(t, readResponseHead(t, p.readers["a"]), "200 OK")
			stoppedAt := time.Now()
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			time.Sleep(1200 * time.Millisecond)
			fmt.Fprint(c, strings.Replace(queryRequest("late"), "2000m", "4000m", 1))
			p.conn("s0")                                                                        // accepts the part and does not answer
			require.Contains(t, readResponseHead(t, p.readers["a"]), "503 Service Unavailable") // a usage-lookup is idempotent
			require.Less(t, time.Since(stoppedAt), 3600*time.Millisecond)
			c.Close()
			require.NoError(t, p.cmd.Wait())
			require.Less(t, time.Since(stoppedAt), 3700*time.Millisecond)
		})
	}
}

// readResponseHead reads a response and returns its head.
func readResponseHead(t *testing.T, in *bufio.Reader) string {
	t.Helper()
	var head strings.Builder
	length := 0
	for {
		line, err := in.ReadString('\n')
		require.NoError(t, err)
		fmt.Sscanf(line, "Content-Length: %d", &length)
		if head.WriteString(line); line == "\r\n" {
			break
		}
	}
	_, err := io.CopyN(io.Discard, in, int64(length))
	require.NoError(t, err)
	return head.String()
}
