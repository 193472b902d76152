package main

import (
	"context"
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
