package queueing_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/estimate/queueing"
)

func TestExpectedDelay(t *testing.T) {
	type server struct {
		capacity, serviceTime float64
		queue                 int
	}
	for name, tc := range map[string]struct {
		servers []server
		want    float64
	}{
		"no servers":                                 {nil, math.Inf(1)},
		"one idle server":                            {[]server{{1, 0.1, 0}}, 0.1},
		"one server with a queue":                    {[]server{{1, 0.1, 3}}, 0.4},
		"slow server is avoided":                     {[]server{{1, 0.1, 0}, {1, 1e9, 0}}, 0.2},
		"half of capacity is usable":                 {[]server{{0.5, 0.1, 1}}, 0.3},
		"zero service time is raised to the minimum": {[]server{{1, 0, 0}}, 1e-6},
	} {
		t.Run(name, func(t *testing.T) {
			var d queueing.Delay
			for _, s := range tc.servers {
				d.Add(s.capacity, s.serviceTime, s.queue)
			}
			if math.IsInf(tc.want, 1) {
				require.True(t, math.IsInf(d.Expected(), 1))
				return
			}
			require.InDelta(t, tc.want, d.Expected(), 1e-8)
		})
	}
}
