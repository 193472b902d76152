package drain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/drain"
)

func TestStateDrainsInStepsAndCancelsAtOnce(t *testing.T) {
	var s drain.State
	t0 := time.Now()
	at := func(d time.Duration) [4]bool {
		now := t0.Add(d)
		return [4]bool{s.IsUp(), s.AnnouncesClose(), s.ClosesIdle(now), s.RejectsRequests(now)}
	}
	require.Equal(t, [4]bool{true, false, false, false}, at(time.Hour))
	s.Start(t0)
	require.Equal(t, [4]bool{false, true, false, false}, at(0))
	require.Equal(t, [4]bool{false, true, false, false}, at(time.Second))
	require.Equal(t, [4]bool{false, true, true, false}, at(drain.CloseIdleDelay()))
	// From 4 s on no request of the last 2 s may be in flight, nor any connection be idle.
	require.Equal(t, [4]bool{false, true, true, true}, at(2*time.Second))
	s.Start(t0.Add(3 * time.Second)) // a drain that has started goes on
	require.Equal(t, [4]bool{false, true, true, true}, at(3*time.Second))
	s.Cancel()
	require.Equal(t, [4]bool{true, false, false, false}, at(3*time.Second))
	s.Start(t0.Add(5 * time.Second))
	require.Equal(t, [4]bool{false, true, false, false}, at(6*time.Second))
}

// SIGKILL comes 0.7 s after the longest deadline, of which at most 3 s count. By then all requests are answered, whatever the
// settings. Clients connect for 0.4 s after SIGTERM, and the last of them have some time left.
func TestPlanShutdownEndsBeforeSIGKILL(t *testing.T) {
	for _, longest := range []time.Duration{time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, time.Hour} {
		plan := drain.PlanShutdown(longest)
		killedAt := min(longest, 3*time.Second) + 700*time.Millisecond
		require.Less(t, plan.ExitBy, killedAt)
		require.LessOrEqual(t, plan.AnswerBy, plan.ExitBy-50*time.Millisecond)
		require.LessOrEqual(t, plan.ExitBy, killedAt-100*time.Millisecond)
		require.Less(t, plan.CloseIdle, plan.AnswerBy)
		require.GreaterOrEqual(t, plan.CloseIdle, plan.AnnounceClose)
		if longest >= 300*time.Millisecond {
			require.GreaterOrEqual(t, plan.AnnounceClose, 450*time.Millisecond)
		}
	}
	require.Equal(t, 1500*time.Millisecond, drain.PlanShutdown(4*time.Second).CloseIdle)
}
