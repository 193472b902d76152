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

// A request that arrives 1.2 s after SIGTERM, with a deadline of 4 s and a record server that never answers, is answered
// before SIGKILL, and the process has exited by then. The platform sends SIGKILL 3.7 s after SIGTERM, since it counts longer
// deadlines as 3 s.
func TestShutdownAnswersLateRequestBeforeKill(t *testing.T) {
	t.Parallel()
	for _, flags := range [][]string{nil, {"-cores", coresFile}} {
		t.Run(strings.Join(flags, " "), func(t *testing.T) {
			t.Parallel()
			replayer := newReplayer(t)
			replayer.start([]string{"s0"}, 100, 1024, 15, flags...)
			client := replayer.conn("a")
			fmt.Fprint(client, readinessRequest)
			require.Contains(t, readResponseHead(t, replayer.readers["a"]), "200 OK")
			stoppedAt := time.Now()
			require.NoError(t, replayer.cmd.Process.Signal(syscall.SIGTERM))
			time.Sleep(1200 * time.Millisecond)
			fmt.Fprint(client, strings.Replace(queryRequest("late"), "2000m", "4000m", 1))
			replayer.conn("s0") // accepts the part and does not answer
			response := readResponseHead(t, replayer.readers["a"])
			require.Contains(t, response, "503 Service Unavailable") // a usage-lookup is idempotent
			require.Less(t, time.Since(stoppedAt), 3600*time.Millisecond)
			client.Close()
			require.NoError(t, replayer.cmd.Wait())
			require.Less(t, time.Since(stoppedAt), 3700*time.Millisecond)
		})
	}
}

// readResponseHead reads a response and returns its status line and header.
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
