package main_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A drain has three steps: readiness fails at once, then idle connections are closed, then requests are rejected. JOIN
// cancels all of them. The metrics count the requests that were answered meanwhile.
func TestDrainStepsAndCancel(t *testing.T) {
	t.Parallel()
	broker := startServingBroker(t)
	idle, busy := broker.dial(), broker.dial()
	require.Contains(t, idle.roundTrip(queryRequest("a")), " 200 ")
	require.Contains(t, busy.roundTrip(readinessRequest), " 200 ")
	require.Equal(t, "ACK\n", broker.callControl("LEAVE"))
	drainedAt := time.Now()
	require.Contains(t, broker.callControl("HEALTH"), "NAK")
	require.NotContains(t, broker.dial().roundTrip(readinessRequest), " 200 ")
	answer := busy.roundTrip(queryRequest("b")) // on a connection opened before the drain
	require.Contains(t, answer, " 200 ")
	require.Contains(t, answer, "Connection: close")
	idle.SetReadDeadline(time.Now().Add(waitTimeout))
	_, err := idle.in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.InDelta(t, 1.5, time.Since(drainedAt).Seconds(), 0.6)
	time.Sleep(time.Until(drainedAt.Add(2100 * time.Millisecond)))
	answer = broker.dial().roundTrip(queryRequest("c"))
	require.Contains(t, answer, " 503 ")
	require.Contains(t, answer, "Retry-After")
	late := broker.dial() // sends nothing
	late.SetReadDeadline(time.Now().Add(time.Second))
	_, err = late.in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	counters := broker.callControl("DUMP")
	for _, line := range []string{"svc.operations.usage-lookup.fulfilled:2|c", "svc.operations.usage-lookup.throttled:1|c",
		"svc.open_requests:0|g", "svc.registry_entries:1|g", "svc.out_of_rotation:0|g"} {
		require.Contains(t, counters, line+"\n")
	}
	require.True(t, strings.HasSuffix(counters, "\n--\n"))
	require.Equal(t, "ACK\n", broker.callControl("JOIN"))
	require.Equal(t, "ACK\n", broker.callControl("HEALTH"))
	again := broker.dial()
	require.Contains(t, again.roundTrip(readinessRequest), " 200 ")
	require.NotContains(t, again.roundTrip(queryRequest("d")), "Connection: close")
}
