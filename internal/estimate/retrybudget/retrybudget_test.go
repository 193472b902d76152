package retrybudget_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/estimate/retrybudget"
)

func TestRetriesStayWithinBudgetOfEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retrybudget.Budget{Settings: retrybudget.Settings{Enabled: true, Min: 2, Ratio: 0.25, Window: 1}}
		now := 10.0
		var requests, retries []float64
		inWindow := func(times []float64) (n int) {
			for _, at := range times {
				if at >= now-1 {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.2).Draw(t, "pause")
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.Allows(now) {
				b.RecordRetry(now)
				retries = append(retries, now)
				if used, allowed := inWindow(retries), 2+0.25*float64(inWindow(requests)); float64(used) > allowed {
					t.Fatalf("%d retries in the window that ends at %v, want at most %v", used, now, allowed)
				}
			}
		}
	})
}

func TestDisabledBudgetAllowsAllRetries(t *testing.T) {
	var b retrybudget.Budget
	for range 100 {
		b.RecordRetry(1)
		require.True(t, b.Allows(1))
	}
}
