package main_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The hold-up of a process during its shutdown, after SIGTERM. It lasts almost as long as one may last, and within it both the
// last answers (3.5 s) and the exit (3.6 s) become due.
const (
	holdUpBegin = 3470 * time.Millisecond
	holdUpEnd   = 3615 * time.Millisecond
)

const (
	httpClients   = 40
	flightCalls   = 16 // concurrent calls that a Flight connection allows
	shutdownParts = 8  // of each query
)

// TestShutdownAnswersEveryQueryAfterHoldUp guards against a process that exits, after a hold-up, before it has answered the
// queries whose answers became due during the hold-up.
func TestShutdownAnswersEveryQueryAfterHoldUp(t *testing.T) {
	t.Parallel()
	for _, flags := range [][]string{nil, {"-cores", coresFile}} {
		t.Run("HTTP "+strings.Join(flags, " "), func(t *testing.T) {
			t.Parallel()
			replayer := newReplayer(t)
			replayer.start([]string{"s0"}, 400, 1024, 15, flags...) // s0 accepts parts and never answers
			replayer.shutDownWithHoldUp(httpClients, func(i int) {
				client, err := net.Dial("tcp", replayer.listen)
				if !assert.NoError(t, err) {
					return
				}
				defer client.Close()
				fmt.Fprint(client, longQuery(fmt.Sprint("q", i)))
				line, err := bufio.NewReader(client).ReadString('\n')
				assert.NoError(t, err)
				assert.Contains(t, line, "503 Service Unavailable") // a tariff-report is idempotent
			})
		})
	}
	t.Run("Flight", func(t *testing.T) {
		t.Parallel()
		replayer := newReplayer(t)
		client := replayer.startFlight("", "s0")
		stream, err := client.ListFlights(shortContext(t), &flight.Criteria{}) // connects; gRPC takes no new connections later
		require.NoError(t, err)
		_, err = stream.Recv()
		require.Error(t, err)
		replayer.shutDownWithHoldUp(flightCalls, func(i int) {
			ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
			defer cancel()
			_, err := fetchAnswer(ctx, client, queryTicket(fmt.Sprint("q", i), "tariff-report", shutdownParts))
			assert.True(t, isRejection(err), "%v", err)
		})
	})
}

// shutDownWithHoldUp sends SIGTERM, then runs ask for each of a number of clients, and stops the process from holdUpBegin to
// holdUpEnd. It returns when all clients have ended and the process has exited with status 0.
func (r *exchangeReplayer) shutDownWithHoldUp(clients int, ask func(client int)) {
	stoppedAt := time.Now()
	require.NoError(r.t, r.cmd.Process.Signal(syscall.SIGTERM))
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { ask(i) })
	}
	time.Sleep(time.Until(stoppedAt.Add(holdUpBegin)))
	require.NoError(r.t, r.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(time.Until(stoppedAt.Add(holdUpEnd)))
	require.NoError(r.t, r.cmd.Process.Signal(syscall.SIGCONT))
	running.Wait()
	require.NoError(r.t, r.cmd.Wait())
}

// longQuery returns a tariff-report query of shutdownParts parts, with a deadline of 6 s.
func longQuery(id string) string {
	var targets []string
	for i := range shutdownParts {
		targets = append(targets, fmt.Sprintf(`{"partition":%d,"share":%g}`, i, 1./shutdownParts))
	}
	body := fmt.Sprintf(`{"targets":[%s],"query":"x"}`, strings.Join(targets, ","))
	return fmt.Sprintf("POST /tariff-report HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: tariff-report\r\n"+
		"X-Deadline: 6000m\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}
