package broker_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// A health check that is queued for a connection while its server starts draining must not start, like a call.
func TestNoHealthCheckOfDrainingServer(t *testing.T) {
	h := newHarness(t)
	checks := make(chan *broker.HealthCheck, 1)
	h.broker = broker.New(broker.Options{Settings: decision.Settings{ReplicaSets: 4, ReplicationFactor: 2}}, h.scriptedDecider, healthCheckLink{h.link, checks})
	go h.broker.Run(t.Context())
	h.updateEndpoints(decision.FullUpdate, "s0", 0, decision.Ready, "s1", 1, decision.Ready)
	h.perform(decision.CheckHealth{Server: "s0"}, decision.CheckHealth{Server: "s1"})
	readyCheck, drainingCheck := <-checks, <-checks
	h.updateEndpoints(decision.DeltaUpdate, "s1", 1, decision.Draining)
	require.True(t, readyCheck.TryStart())
	require.False(t, drainingCheck.TryStart())
	require.Equal(t, decision.NotSent, awaitEvent[decision.HealthChecked](h).Status)
}

// healthCheckLink is a link that records health checks and does not finish them.
type healthCheckLink struct {
	link
	checks chan *broker.HealthCheck
}

// CheckHealth implements broker.Link.
func (l healthCheckLink) CheckHealth(check *broker.HealthCheck) { l.checks <- check }
