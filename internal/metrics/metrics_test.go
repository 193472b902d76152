package metrics_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/metrics"
)

func TestAppendWritesCountersAndGauges(t *testing.T) {
	counters := metrics.New(map[string]int{"b": 0, "a": 1}, func() metrics.Gauges { return metrics.Gauges{Queries: 3, Endpoints: 12, Avoided: 1} })
	for _, status := range []int{200, 200, 503, 429, 500, 504, 400} {
		counters.RecordResponse(1, status)
	}
	counters.RecordSent(0)
	counters.RecordResponse(7, 200) // class 7 does not exist
	(*metrics.Counters)(nil).RecordResponse(0, 200)
	require.Equal(t, `svc.operations.a.fulfilled:2|c
svc.operations.a.throttled:2|c
svc.operations.a.faulted:3|c
svc.operations.a.relayed:0|c
svc.operations.b.fulfilled:0|c
svc.operations.b.throttled:0|c
svc.operations.b.faulted:0|c
svc.operations.b.relayed:1|c
svc.open_requests:3|g
svc.registry_entries:12|g
svc.out_of_rotation:1|g
`, string(counters.Append(nil)))
}
