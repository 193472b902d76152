package clientpatience_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/estimate/clientpatience"
)

func TestShortIsQuantileOfLatestDisconnects(t *testing.T) {
	var e clientpatience.Estimator
	require.Zero(t, e.EarlyDisconnectAge())
	for i := range 100 {
		e.Disconnected(float64(i))
	}
	require.InDelta(t, 51, e.EarlyDisconnectAge(), 1, "a quarter of the latest 64")
	for range 100 {
		e.Finished()
	}
	require.Zero(t, e.EarlyDisconnectAge(), "only a few leave")
}

func TestIsRetryDetectsShorterWaits(t *testing.T) {
	var w clientpatience.RetryDetector
	require.False(t, w.IsRetry(0, 2))
	require.True(t, w.IsRetry(0, 1.8))
	require.False(t, w.IsRetry(0, 1.95), "clients count for themselves")
	require.False(t, w.IsRetry(1, 1), "another class")
	require.False(t, w.IsRetry(0, 3))
}
