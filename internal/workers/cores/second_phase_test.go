package cores

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// TestSecondPhaseUnderFaults runs queries with a second phase on one worker and on three while servers fail, hang, drain and
// reset connections. The record servers compare each part of a second phase with their answers in the first phase.
func TestSecondPhaseUnderFaults(t *testing.T) {
	for _, workers := range []int{1, 3} {
		g := newWorkerGroup(t, groupOptions{workers: workers, servers: 8, serviceTime: 2 * time.Millisecond})
		go func() {
			time.Sleep(200 * time.Millisecond)
			g.fleet.Servers[0].SetFailureRatio(0.5)
			g.fleet.Servers[1].ResetConnections()
			time.Sleep(200 * time.Millisecond)
			g.fleet.Servers[5].SetHanging(true)
			g.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate,
				Servers: []broker.Endpoint{g.fleet.Servers[3].Endpoint(decision.Draining)}})
			g.fleet.Servers[3].RecordDrain()
			time.Sleep(200 * time.Millisecond)
			g.fleet.Servers[5].SetHanging(false)
			g.fleet.Servers[0].SetFailureRatio(0)
		}()
		outcomes := g.runClients(6, 1200*time.Millisecond, func(client, n int) *broker.Request {
			return g.request(twoPhase, client+n, 5)
		})
		require.Greater(t, outcomes[broker.Answered],
			9*(outcomes[broker.Rejected]+outcomes[broker.DeadlineExceeded]+outcomes[broker.Failed]))
	}
	g := newWorkerGroup(t, groupOptions{workers: 2, servers: 8, serviceTime: time.Millisecond})
	res := g.submit(g.request(twoPhase, 0, 5))
	require.Equal(t, broker.Answered, res.Outcome)
	require.True(t, res.Complete)
	require.Len(t, res.Values, 2)
}
