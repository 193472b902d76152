package servicetime_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/estimate/servicetime"
)

func TestServerEstimateDecaysToFleetMean(t *testing.T) {
	f := servicetime.Fleet{Mean: 0.1, HalfLife: 2}
	s := servicetime.Server{Mean: 0.5, At: 10}
	require.InDelta(t, 0.5, f.Of(&s, 10), 1e-12)
	require.InDelta(t, 0.3, f.Of(&s, 12), 1e-12)
	require.InDelta(t, 3, f.Relative(&s, 12), 1e-9)
	require.InDelta(t, 0.1, f.Of(&s, 100), 1e-9)
}

func TestObservationWeightGrowsWithElapsedTime(t *testing.T) {
	require.InDelta(t, 0.5, servicetime.ObservationWeight(2), 1e-12)
	require.Equal(t, 0.9, servicetime.ObservationWeight(100), "the latest observation never replaces the estimate")
	f := servicetime.Fleet{Mean: 0.1, HalfLife: 2}
	s := servicetime.Server{Mean: 0.1, At: 10}
	f.ObserveServer(&s, 0.3, 12)
	require.InDelta(t, 0.2, s.Mean, 1e-12)
	require.Equal(t, 12.0, s.At)
}

func TestHalfLifeGrowsWithFewAnswers(t *testing.T) {
	var busy, quiet servicetime.Fleet
	for range 1000 {
		busy.Advance(0.01, 10)
		quiet.Advance(0.01, 10)
		for range 10 {
			busy.Answered()
		}
	}
	require.InDelta(t, servicetime.MinHalfLife, busy.HalfLife, 0.05)
	require.Equal(t, 15.0, quiet.HalfLife)
}

func TestMeanFollowsObservationsAndDecays(t *testing.T) {
	f := servicetime.Fleet{Mean: 0.1}
	f.Observe(0.3, 0.5)
	require.InDelta(t, 0.2, f.Mean, 1e-12)
	f.Advance(10, 1)
	require.InDelta(t, 0.1, f.Mean, 1e-12)
}
