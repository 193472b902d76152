package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// servingBroker is a running program with a control address, on a stand-in directory and one record server that answers.
type servingBroker struct {
	*exchangePlayer
	control string
}

func operate(t *testing.T, env []string, files []*os.File, listen string) *servingBroker {
	return operateAll(t, env, files, listen, nil)
}

func operateWith(t *testing.T, flags []string) *servingBroker {
	return operateAll(t, nil, nil, "", flags)
}

func operateAll(t *testing.T, env []string, files []*os.File, listen string, flags []string) *servingBroker {
	o := &servingBroker{exchangePlayer: newPlayer(t), control: unusedAddress(t)}
	directory, server := o.listener("discovery"), o.listener("s1")
	t.Cleanup(func() { directory.Close(); server.Close() })
	go func() { // a directory that has nothing to tell
		for {
			c, err := directory.Accept()
			if err != nil {
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		}
	}()
	go (&attemptLedger{t: t, parts: map[string]*partAttempts{}}).serveFrames(server)
	if o.listen = listen; listen == "" {
		o.listen = unusedAddress(t)
	}
	o.config = filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"control":%q,"seed":"1","limits":{"memory_mb":192,"sockets":256},
		"known":{"version":41,"full":true,"servers":[%s]},"settings":%s}`, o.listen, directory.Addr(), o.control,
		o.endpointEntry("s1", "active"), fmt.Sprintf(settingsFormat, 15., 400))
	require.NoError(t, os.WriteFile(o.config, []byte(text), 0o600))
	o.cmd = exec.Command(program, flags...)
	o.cmd.Env = append(append(os.Environ(), "PROXY_CONFIG="+o.config), env...)
	o.cmd.ExtraFiles = files
	o.cmd.Stdout, o.cmd.Stderr = &o.log, &o.log
	require.NoError(t, o.cmd.Start())
	t.Cleanup(func() {
		o.cmd.Process.Kill()
		o.cmd.Wait()
		require.NotContains(t, o.log.String(), "DATA RACE")
	})
	require.Eventually(t, func() bool { return strings.HasPrefix(o.callControl("HEALTH"), "ACK") }, waitTimeout, 20*time.Millisecond)
	return o
}

// callControl makes one call at the control address; "" if nobody answers.
func (o *servingBroker) callControl(call string) string {
	c, err := net.Dial("tcp", o.control)
	if err != nil {
		return ""
	}
	defer c.Close()
	fmt.Fprintf(c, "%s\n", call)
	c.SetDeadline(time.Now().Add(time.Second))
	reply, _ := io.ReadAll(c)
	return string(reply)
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func (o *servingBroker) dial() *clientConn {
	c, err := net.Dial("tcp", o.listen)
	require.NoError(o.t, err)
	o.t.Cleanup(func() { c.Close() })
	return &clientConn{c, bufio.NewReader(c)}
}

// roundTrip sends one request and returns the status line and the head of its answer.
func (c *clientConn) roundTrip(head string) string {
	if _, err := fmt.Fprint(c, head); err != nil {
		return ""
	}
	c.SetReadDeadline(time.Now().Add(waitTimeout))
	var answer strings.Builder
	length := 0
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return answer.String()
		}
		fmt.Sscanf(line, "Content-Length: %d", &length)
		if answer.WriteString(line); line == "\r\n" {
			io.CopyN(io.Discard, c.in, int64(length))
			return answer.String()
		}
	}
}

const readinessRequest = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"

func queryRequest(id string) string {
	body := `{"targets":[{"partition":1,"share":1}],"query":"x"}`
	return fmt.Sprintf("POST /usage-lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: usage-lookup\r\nX-Deadline: 2000m\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body)
}

// A drain goes in steps: not up at once, then idle connections end, then requests are refused; the figures are true;
// and all is undone by its end.
func TestDrainStepsAndCancel(t *testing.T) {
	t.Parallel()
	o := operate(t, nil, nil, "")
	idle, busy := o.dial(), o.dial()
	require.Contains(t, idle.roundTrip(queryRequest("a")), " 200 ")
	require.Contains(t, busy.roundTrip(readinessRequest), " 200 ")
	require.Equal(t, "ACK\n", o.callControl("LEAVE"))
	left := time.Now()
	require.Contains(t, o.callControl("HEALTH"), "NAK")
	require.NotContains(t, o.dial().roundTrip(readinessRequest), " 200 ")
	answer := busy.roundTrip(queryRequest("b")) // on a connection from before
	require.Contains(t, answer, " 200 ")
	require.Contains(t, answer, "Connection: close")
	idle.SetReadDeadline(time.Now().Add(waitTimeout))
	_, err := idle.in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.InDelta(t, 1.5, time.Since(left).Seconds(), 0.6)
	time.Sleep(time.Until(left.Add(2100 * time.Millisecond)))
	answer = o.dial().roundTrip(queryRequest("c"))
	require.Contains(t, answer, " 503 ")
	require.Contains(t, answer, "Retry-After")
	late := o.dial() // says nothing
	late.SetReadDeadline(time.Now().Add(time.Second))
	_, err = late.in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	counters := o.callControl("DUMP")
	for _, line := range []string{"svc.operations.usage-lookup.fulfilled:2|c", "svc.operations.usage-lookup.throttled:1|c",
		"svc.open_requests:0|g", "svc.registry_entries:1|g", "svc.out_of_rotation:0|g"} {
		require.Contains(t, counters, line+"\n")
	}
	require.True(t, strings.HasSuffix(counters, "\n--\n"))
	require.Equal(t, "ACK\n", o.callControl("JOIN"))
	require.Equal(t, "ACK\n", o.callControl("HEALTH"))
	again := o.dial()
	require.Contains(t, again.roundTrip(readinessRequest), " 200 ")
	require.NotContains(t, again.roundTrip(queryRequest("d")), "Connection: close")
}

// Two processes share the listening socket that the platform holds. The old one ends, or is killed, while clients
// come without a pause: nobody is turned away, and what the old one holds it finishes.
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
			old := operate(t, env, []*os.File{file}, l.Addr().String())
			operate(t, env, []*os.File{file}, l.Addr().String())
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
				require.LessOrEqual(t, lost, 2, "of %d", served) // what it held dies with it
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
		p := newPlayer(t)
		p.config = filepath.Join(t.TempDir(), "config.json")
		text := fmt.Sprintf(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":%s}`, fmt.Sprintf(settingsFormat, 15., 400))
		require.NoError(t, os.WriteFile(p.config, []byte(text), 0o600))
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.config, "PROXY_ACCEPT_FD="+fd)
		out, err := cmd.CombinedOutput()
		require.Error(t, err)
		require.Contains(t, string(out), want)
	}
}
