package cores

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// Queries with a second phase are served by one worker and by three while servers fail, hang, drain and reset
// connections. The record servers check each part of a second phase against what they answered in the first.
func TestSecondPhaseUnderFaults(t *testing.T) {
	for _, workers := range []int{1, 3} {
		r := newWorkerGroup(t, groupOptions{workers: workers, servers: 8, serviceTime: 2 * time.Millisecond})
		go func() {
			time.Sleep(200 * time.Millisecond)
			r.fleet.Servers[0].SetFailureRatio(0.5)
			r.fleet.Servers[1].ResetConnections()
			time.Sleep(200 * time.Millisecond)
			r.fleet.Servers[5].SetHanging(true)
			r.Update(broker.EndpointUpdate{Mode: decision.DeltaUpdate,
				Servers: []broker.Endpoint{r.fleet.Servers[3].Endpoint(decision.Draining)}})
			r.fleet.Servers[3].RecordDrain()
			time.Sleep(200 * time.Millisecond)
			r.fleet.Servers[5].SetHanging(false)
			r.fleet.Servers[0].SetFailureRatio(0)
		}()
		outcomes := r.runClients(6, 1200*time.Millisecond, func(client, n int) *broker.Request {
			return r.request(twoPhase, client+n, 5)
		})
		require.Greater(t, outcomes[broker.Answered], 9*(outcomes[broker.Rejected]+outcomes[broker.DeadlineExceeded]+outcomes[broker.Failed]))
	}
	r := newWorkerGroup(t, groupOptions{workers: 2, servers: 8, serviceTime: time.Millisecond})
	res := r.submit(r.request(twoPhase, 0, 5))
	require.Equal(t, broker.Answered, res.Outcome)
	require.True(t, res.Complete)
	require.Len(t, res.Values, 2)
}
