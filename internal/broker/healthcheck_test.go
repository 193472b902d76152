package broker_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// A health check that has waited for a connection is checked again, like a call.
func TestNoHealthCheckOfADrainingServer(t *testing.T) {
	r := newHarness(t)
	probes := make(chan *broker.HealthCheck, 1)
	r.b = broker.New(broker.Options{Settings: decision.Settings{ReplicaSets: 4, ReplicationFactor: 2}}, r.scriptedDecider, keeps{r.link, probes})
	go r.b.Run(t.Context())
	r.list(decision.FullUpdate, "s0", 0, decision.Ready, "s1", 1, decision.Ready)
	r.do(decision.CheckHealth{Server: "s0"}, decision.CheckHealth{Server: "s1"})
	stays, leaves := <-probes, <-probes
	r.list(decision.DeltaUpdate, "s1", 1, decision.Draining)
	require.True(t, stays.TryStart())
	require.False(t, leaves.TryStart())
	require.Equal(t, decision.NotSent, event[decision.HealthChecked](r).Status)
}

type keeps struct {
	link
	probes chan *broker.HealthCheck
}

func (k keeps) CheckHealth(p *broker.HealthCheck) { k.probes <- p }
