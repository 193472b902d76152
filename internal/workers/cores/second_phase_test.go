package cores

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// Queries of two steps by one worker and by three, while servers fail, hang, drain and break their connections. The
// stand-ins hold each part of a second step against what they have answered.
func TestSecondPhaseUnderFaults(t *testing.T) {
	for _, workers := range []int{1, 3} {
		r := newTestGroup(t, testGroupOptions{workers: workers, servers: 8, serviceTime: 2 * time.Millisecond})
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
		ends := r.runLoad(6, 1200*time.Millisecond, func(client, n int) *broker.Request {
			return r.request(docket, client+n, 5)
		})
		require.Greater(t, ends[broker.Answered], 9*(ends[broker.Rejected]+ends[broker.DeadlineExceeded]+ends[broker.Failed]))
	}
	r := newTestGroup(t, testGroupOptions{workers: 2, servers: 8, serviceTime: time.Millisecond})
	res := r.serve(r.request(docket, 0, 5))
	require.Equal(t, broker.Answered, res.Outcome)
	require.True(t, res.Complete)
	require.Len(t, res.Values, 2)
}
