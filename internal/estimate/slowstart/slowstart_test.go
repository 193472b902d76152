package slowstart_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/estimate/slowstart"
)

var settings = slowstart.Settings{InitialFraction: 0.2, Duration: 10, OverloadFactor: 2.5, OverloadWindow: 1.5}

func TestCapacityFractionGrowsLinearly(t *testing.T) {
	for _, tc := range []struct{ age, want float64 }{{-5, 0.2}, {0, 0.2}, {5, 0.6}, {10, 1}, {1e9, 1}} {
		require.InDelta(t, tc.want, settings.CapacityFraction(tc.age), 1e-12, "age %v", tc.age)
	}
	noSlowStart := slowstart.Settings{InitialFraction: 0.2}
	require.Equal(t, 1.0, noSlowStart.CapacityFraction(0), "a duration of 0 disables slow start")
}

func TestBudgetIsAtLeastShareOfOneRequest(t *testing.T) {
	require.Equal(t, 0.25, settings.Budget(0.2, 0, 4))
	require.Equal(t, 1.0, settings.Budget(0.2, 0, 0))
	require.InDelta(t, 0.8*2.5*0.2*1.5*50, settings.Budget(0.2, 50, 4), 1e-12)
}

func TestPeakRateIsLowerBoundAndDecays(t *testing.T) {
	var r slowstart.PeakRate
	for i := range 3000 { // 30 s with 100 answers per second from 10 warm servers
		r.Advance(float64(i)/100, 10)
		r.Answered()
	}
	require.InDelta(t, 10, r.Value, 1)
	require.Less(t, r.Value, 10.1)
	r.Advance(30, 10)
	before := r.Value
	r.Advance(20, 10) // a time before that of the previous call
	require.Equal(t, before, r.Value)
	r.Advance(80, 10)
	require.InDelta(t, before*0.37, r.Value, 0.1)
}

func TestWindowUsageStartsAtOneAndFollowsUsage(t *testing.T) {
	var u slowstart.WindowUsage
	require.Equal(t, 1.0, u.Fraction())
	for range 1000 {
		u.Advance(0.1, 20, 1.5)
	}
	require.Less(t, u.Fraction(), 0.05)
	require.Positive(t, u.Fraction())
	for range 100 {
		u.Used()
	}
	require.Equal(t, 1.0, u.Fraction())
}
