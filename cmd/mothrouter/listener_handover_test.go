package main_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// inheritedSocket opens a listening socket until the test ends, and returns the options of a process that inherits it.
func inheritedSocket(t *testing.T) brokerOptions {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	file, err := listener.(*net.TCPListener).File()
	require.NoError(t, err)
	t.Cleanup(func() { file.Close() })
	return brokerOptions{listen: listener.Addr().String(), env: []string{"PROXY_ACCEPT_FD=3"}, files: []*os.File{file}}
}

// Two processes share a listening socket that the platform keeps open. One of them is stopped, or killed, while clients keep
// connecting: no connection is refused, and a process that is stopped answers the requests on the connections that it has
// accepted.
func TestListenerHandoverLosesNoRequest(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprint("killed ", killed), func(t *testing.T) {
			t.Parallel()
			options := inheritedSocket(t)
			firstBroker := startServingBrokerWith(t, options)
			startServingBrokerWith(t, options)
			end := time.Now().Add(2500 * time.Millisecond)
			served, lost := 0, 0
			time.AfterFunc(500*time.Millisecond, func() {
				if killed {
					firstBroker.cmd.Process.Kill()
				} else {
					firstBroker.cmd.Process.Signal(syscall.SIGTERM)
				}
			})
			for n := 0; time.Now().Before(end); n++ { // one connection for each query
				c, err := net.Dial("tcp", options.listen)
				require.NoError(t, err)
				if strings.Contains((&clientConn{c, bufio.NewReader(c)}).roundTrip(queryRequest(fmt.Sprint("h", n))), " 200 ") {
					served++
				} else {
					lost++
				}
				c.Close()
			}
			require.Greater(t, served, 50)
			if killed {
				require.LessOrEqual(t, lost, 2, "of %d", served) // the requests in flight at the killed process
			} else {
				require.Zero(t, lost, "of %d", served)
				require.NoError(t, firstBroker.cmd.Wait())
			}
		})
	}
}

// TestReplacedProcessKeepsShutdownSchedule guards against a replaced process that runs through its shutdown early because its
// listener has closed: answers announce the close only 0.5 s after SIGTERM, and idle connections are served up to 1.5 s.
func TestReplacedProcessKeepsShutdownSchedule(t *testing.T) {
	t.Parallel()
	options := inheritedSocket(t)
	b := startServingBrokerWith(t, options)
	client := b.dial()
	require.Contains(t, client.roundTrip(queryRequest("before")), " 200 ")
	stoppedAt := time.Now()
	require.NoError(t, b.cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(250 * time.Millisecond)
	response := client.roundTrip(queryRequest("early"))
	require.Contains(t, response, " 200 ")
	require.NotContains(t, response, "Connection: close")
	time.Sleep(time.Until(stoppedAt.Add(1250 * time.Millisecond)))
	response = client.roundTrip(queryRequest("late"))
	require.Contains(t, response, " 200 ")
	require.Contains(t, response, "Connection: close")
	client.Close()
	require.NoError(t, b.cmd.Wait())
}

// TestReplacedProcessEndsThoughSocketBlocks guards against a replaced process that never ends because the platform, or the start of
// the next process, has put the shared listening socket back into blocking mode: closing it then waits for a blocked accept.
func TestReplacedProcessEndsThoughSocketBlocks(t *testing.T) {
	t.Parallel()
	options := inheritedSocket(t)
	b := startServingBrokerWith(t, options)
	require.NoError(t, syscall.SetNonblock(int(options.files[0].Fd()), false))
	client := b.dial() // accepted; the next accept blocks
	require.Contains(t, client.roundTrip(readinessRequest), " 200 ")
	require.Contains(t, b.dial().roundTrip(queryRequest("q1")), " 200 ")
	stoppedAt := time.Now()
	require.NoError(t, b.cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(200 * time.Millisecond)
	require.Contains(t, client.roundTrip(queryRequest("q2")), " 200 ")
	client.Close()
	sigkill := time.AfterFunc(time.Until(stoppedAt.Add(3700*time.Millisecond)), func() { b.cmd.Process.Kill() })
	defer sigkill.Stop()
	require.NoError(t, b.cmd.Wait(), "the process had not ended by itself")
}

func TestAcceptFDRejectsBadDescriptor(t *testing.T) {
	t.Parallel()
	for fd, want := range map[string]string{"7": "PROXY_ACCEPT_FD: 7 is not a listening socket", "two": "PROXY_ACCEPT_FD: \"two\"",
		"1": "PROXY_ACCEPT_FD: \"1\""} {
		require.Contains(t, runRejected(t, nil, []string{"PROXY_ACCEPT_FD=" + fd}), want)
	}
}
