package clientpatience_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/estimate/clientpatience"
)

func TestEarlyDisconnectAgeIsQuantileOfLatestDisconnects(t *testing.T) {
	var e clientpatience.Estimator
	require.Zero(t, e.EarlyDisconnectAge())
	for i := range 100 {
		e.Disconnected(float64(i))
	}
	require.InDelta(t, 51, e.EarlyDisconnectAge(), 1, "25th percentile of the latest 64 ages")
	for range 100 {
		e.Finished()
	}
	require.Zero(t, e.EarlyDisconnectAge(), "few clients disconnect")
}

func TestObserveWaitDetectsRetriesByShorterWaits(t *testing.T) {
	var d clientpatience.RetryDetector
	require.False(t, d.ObserveWait(0, 2))
	require.True(t, d.ObserveWait(0, 1.8))
	require.False(t, d.ObserveWait(0, 1.95), "clients measure their remaining time themselves")
	require.False(t, d.ObserveWait(1, 1), "another class")
	require.False(t, d.ObserveWait(0, 3))
}
