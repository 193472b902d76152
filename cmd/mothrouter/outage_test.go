package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Rare moments of whole processes: a request just before the kill, a machine full of idle clients, a start in trouble.

// A request that comes 1.2 s after SIGTERM would wait for 4 s, and its server never answers. SIGKILL comes 3.7 s after
// SIGTERM, as deadlines over 3 s count as that. By then it has its answer, and the process has ended by itself.
func TestShutdownAnswersLateRequestBeforeKill(t *testing.T) {
	t.Parallel()
	for _, flags := range [][]string{nil, {"-cores", "../../deploy/cores.toml"}} {
		t.Run(strings.Join(flags, " "), func(t *testing.T) {
			t.Parallel()
			p := newPlayer(t)
			p.start([]string{"s0"}, 100, 1024, 15, flags...)
			c := p.conn("a")
			fmt.Fprint(c, readinessRequest)
			require.Contains(t, readResponseHead(t, p.readers["a"]), "200 OK")
			told := time.Now()
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			time.Sleep(1200 * time.Millisecond)
			fmt.Fprint(c, strings.Replace(queryRequest("late"), "2000m", "4000m", 1))
			p.conn("s0")                                                                        // takes the part and is silent
			require.Contains(t, readResponseHead(t, p.readers["a"]), "503 Service Unavailable") // a lookup may be asked again
			require.Less(t, time.Since(told), 3600*time.Millisecond)
			c.Close()
			require.NoError(t, p.cmd.Wait())
			require.Less(t, time.Since(told), 3700*time.Millisecond)
		})
	}
}

// readResponseHead reads an answer and returns its head.
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

// Idle clients take all that they can while discovery is down. When it is back it is called, its news count, and a
// client that asks then is served by the server that they name.
func TestDiscoveryReconnectsWhileIdleClientsFillDescriptors(t *testing.T) {
	t.Parallel()
	p := newPlayer(t)
	down := p.listener("discovery")
	addr := down.Addr().String()
	require.NoError(t, down.Close())
	p.start([]string{"s0"}, 100, 64, 15)
	for i := range 100 { // more than it has descriptors; those that it closes come again
		p.conn(fmt.Sprintf("idle%d", i))
	}
	stop := make(chan struct{})
	var dialers sync.WaitGroup
	dialers.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if c, err := net.Dial("tcp", p.listen); err == nil {
				defer c.Close()
			}
		}
	})
	defer dialers.Wait()
	defer close(stop)
	time.Sleep(300 * time.Millisecond)
	back := time.Now()
	l, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	p.listeners["discovery"] = l
	p.conn("discovery")
	require.Less(t, time.Since(back), 6*time.Second)
	p.play("discovery gets", "GET /discovery/hosts?follow=1&since=41 HTTP/1.1\nHost: ~")
	p.play("discovery sends", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked")
	p.play("discovery sends", `~line {"version":42,"full":true,"servers":[`+p.endpointEntry("s1", "active")+`]}`)
	go (&attemptLedger{t: t, parts: map[string]*partAttempts{}}).serveFrames(p.listener("s1"))
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			return false
		}
		defer c.Close()
		return strings.HasPrefix((&clientConn{c, bufio.NewReader(c)}).roundTrip(queryRequest(fmt.Sprint("q", time.Now().UnixNano()))), "HTTP/1.1 200 OK")
	}, waitTimeout, 10*time.Millisecond)
}

// Processes that are killed and started again, while discovery is down and clients flood them with nonsense, say that
// they are up: nine in ten within 10 s.
func TestRestartReadyWithinLimit(t *testing.T) {
	t.Parallel()
	const processes = 10
	ready := make(chan time.Duration, processes)
	for range processes {
		t.Run("", func(t *testing.T) {
			p := newPlayer(t)
			require.NoError(t, p.listener("discovery").Close())
			p.start([]string{"s0"}, 100, 128, 15)
			require.NoError(t, p.cmd.Process.Kill())
			p.cmd.Wait()
			stop := make(chan struct{})
			var floods sync.WaitGroup
			for range 8 {
				floods.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						if c, err := net.Dial("tcp", p.listen); err == nil {
							c.Write(make([]byte, 64<<10))
							c.Close()
						} else {
							time.Sleep(time.Millisecond)
						}
					}
				})
			}
			began := time.Now()
			p.start([]string{"s0"}, 100, 128, 15)
			close(stop)
			floods.Wait()
			ready <- time.Since(began)
		})
	}
	soon := 0
	for range processes {
		if d := <-ready; d < 10*time.Second {
			soon++
		}
	}
	require.GreaterOrEqual(t, soon, processes*9/10)
}
