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

// Two processes share the listening socket that the platform holds. One of them is stopped, or killed, while clients
// connect all the time: no connection is refused, and the stopped process answers what it has accepted.
func TestListenerHandoverLosesNoRequest(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprint("killed ", killed), func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			file, err := l.(*net.TCPListener).File()
			require.NoError(t, err)
			defer file.Close()
			env := []string{"PROXY_ACCEPT_FD=3"}
			options := brokerOptions{listen: l.Addr().String(), env: env, files: []*os.File{file}}
			old := startServingBrokerWith(t, options)
			startServingBrokerWith(t, options)
			stop, served, lost := time.Now().Add(2500*time.Millisecond), 0, 0
			time.AfterFunc(500*time.Millisecond, func() {
				if killed {
					old.cmd.Process.Kill()
				} else {
					old.cmd.Process.Signal(syscall.SIGTERM)
				}
			})
			for n := 0; time.Now().Before(stop); n++ { // each on a connection of its own
				c, err := net.Dial("tcp", l.Addr().String())
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
				require.LessOrEqual(t, lost, 2, "of %d", served) // the requests that it had in flight
			} else {
				require.Zero(t, lost, "of %d", served)
				require.NoError(t, old.cmd.Wait())
			}
		})
	}
}

func TestAcceptFDRejectsBadDescriptor(t *testing.T) {
	t.Parallel()
	for fd, want := range map[string]string{"7": "PROXY_ACCEPT_FD: 7 is no listening socket", "two": "PROXY_ACCEPT_FD: \"two\"",
		"1": "PROXY_ACCEPT_FD: \"1\""} {
		require.Contains(t, runRejected(t, nil, []string{"PROXY_ACCEPT_FD=" + fd}), want)
	}
}
