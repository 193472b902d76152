package main_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Idle clients use up the descriptors while the discovery service is down. Once it is back, the broker connects to it, applies
// its update, and serves a query from the record server that the update adds.
func TestDiscoveryReconnectsWhileIdleClientsFillDescriptors(t *testing.T) {
	t.Parallel()
	replayer := newReplayer(t)
	discovery := replayer.listener("discovery")
	addr := discovery.Addr().String()
	require.NoError(t, discovery.Close())
	replayer.start([]string{"s0"}, 100, 64, 15)
	for i := range 100 { // more than the limit of descriptors; the loop below replaces connections that the program closes
		replayer.conn(fmt.Sprintf("idle%d", i))
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
			if c, err := net.Dial("tcp", replayer.listen); err == nil {
				defer c.Close()
			}
		}
	})
	defer dialers.Wait()
	defer close(stop)
	time.Sleep(300 * time.Millisecond)
	restoredAt := time.Now()
	l, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	replayer.listeners["discovery"] = l
	replayer.conn("discovery")
	require.Less(t, time.Since(restoredAt), 6*time.Second)
	replayer.replayStep("discovery gets", "GET /discovery/hosts?follow=1&since=41 HTTP/1.1\nHost: ~")
	replayer.replayStep("discovery sends", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked")
	replayer.replayStep("discovery sends",
		`~line {"version":42,"full":true,"servers":[`+replayer.endpointEntry("s1", "active")+`]}`)
	go newAttemptLedger(t).serveFrames(replayer.listener("s1"))
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", replayer.listen)
		if err != nil {
			return false
		}
		defer c.Close()
		client := &clientConn{c, bufio.NewReader(c)}
		answer := client.roundTrip(queryRequest(fmt.Sprint("q", time.Now().UnixNano())))
		return strings.HasPrefix(answer, "HTTP/1.1 200 OK")
	}, waitTimeout, 10*time.Millisecond)
}

// Nine in ten processes are ready within 10 s of a restart after SIGKILL, while the discovery service is down and clients
// flood the processes with invalid requests.
func TestRestartReadyWithinLimit(t *testing.T) {
	t.Parallel()
	const processes = 10
	readyTimes := make(chan time.Duration, processes)
	for range processes {
		t.Run("", func(t *testing.T) {
			replayer := newReplayer(t)
			require.NoError(t, replayer.listener("discovery").Close())
			replayer.start([]string{"s0"}, 100, 128, 15)
			require.NoError(t, replayer.cmd.Process.Kill())
			replayer.cmd.Wait()
			stopFlood := startFlood(replayer.listen)
			startedAt := time.Now()
			replayer.start([]string{"s0"}, 100, 128, 15)
			stopFlood()
			readyTimes <- time.Since(startedAt)
		})
	}
	inTime := 0
	for range processes {
		if d := <-readyTimes; d < 10*time.Second {
			inTime++
		}
	}
	require.GreaterOrEqual(t, inTime, processes*9/10)
}

// startFlood starts clients that send invalid requests until stop is called.
func startFlood(address string) (stop func()) {
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for {
				select {
				case <-stopped:
					return
				default:
				}
				if c, err := net.Dial("tcp", address); err == nil {
					c.Write(make([]byte, 64<<10))
					c.Close()
				} else {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	return func() {
		close(stopped)
		clients.Wait()
	}
}
