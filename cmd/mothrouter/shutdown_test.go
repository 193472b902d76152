package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// Shutdown is planned by the longest deadline in force. Without a configuration follower, or once the loop has ended, it is
// planned by the longest deadline of the startup configuration.
func TestShutdownPlannedByLongestDeadlineInForce(t *testing.T) {
	p := assembledProcess(t, operatorFiles{configuration: "../../deploy/configuration.toml"})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.core.Run(ctx)
	}()
	classes := append([]decision.Class(nil), p.startConfig.Settings.Classes...)
	classes[0].Deadline = 9
	require.NoError(t, p.core.Configure(broker.Change{Classes: classes}))
	require.Equal(t, 9*time.Second, p.longestDeadline())
	classes[0].Deadline, classes[1].Deadline = 1, 1.5
	require.NoError(t, p.core.Configure(broker.Change{Classes: classes}))
	require.Equal(t, 1500*time.Millisecond, p.longestDeadline())
	cancel()
	<-ended
	require.Equal(t, 3*time.Second, p.longestDeadline())
	require.Equal(t, 3*time.Second, assembledProcess(t, operatorFiles{}).longestDeadline())
}

// TestFrontFailureAnswersAcceptedRequests guards against a process that exits at once when one of its fronts fails, without an answer
// to the requests in flight.
func TestFrontFailureAnswersAcceptedRequests(t *testing.T) {
	p := assembledProcess(t, operatorFiles{})
	p.startConfig.Listen = "127.0.0.1:0"
	p.frontErrors = make(chan error, 3)
	require.NoError(t, p.serveClients())
	go p.core.Run(p.ctx)
	recordServer, err := net.Listen("tcp", "127.0.0.1:0") // never answers
	require.NoError(t, err)
	defer recordServer.Close()
	p.core.Update(broker.EndpointUpdate{Mode: decision.FullUpdate, Servers: []broker.Endpoint{
		{Addr: recordServer.Addr().String(), Server: decision.Server{ID: "a"}},
	}})
	client, err := net.Dial("tcp", p.listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	fmt.Fprint(client, "POST /c HTTP/1.1\r\nX-Request-Id: q\r\nX-Deadline: 2000m\r\nContent-Length: 51\r\n\r\n"+
		`{"targets":[{"partition":0,"share":1}],"query":"x"}`)
	require.Eventually(t, func() bool { return p.core.Gauges().Queries == 1 }, 5*time.Second, time.Millisecond)
	failure := errors.New("accept: cannot allocate memory")
	p.frontErrors <- failure
	require.Equal(t, failure, p.serveUntilStopped())
	require.Zero(t, p.core.Gauges().Queries, "the function returned, upon which the process exits")
	client.SetReadDeadline(time.Now().Add(time.Second))
	line, err := bufio.NewReader(client).ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "HTTP/1.1 50")
}
