package drain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/drain"
)

func TestStateDrainsInStepsAndCancelsImmediately(t *testing.T) {
	var state drain.State
	t0 := time.Now()
	// stateAt returns whether the process is up, announces closing, closes idle connections and rejects requests.
	stateAt := func(elapsed time.Duration) [4]bool {
		now := t0.Add(elapsed)
		return [4]bool{state.IsUp(), state.AnnouncesClose(), state.ClosesIdle(now), state.RejectsRequests(now)}
	}
	require.Equal(t, [4]bool{true, false, false, false}, stateAt(time.Hour))
	state.Start(t0)
	require.Equal(t, [4]bool{false, true, false, false}, stateAt(0))
	require.Equal(t, [4]bool{false, true, false, false}, stateAt(time.Second))
	require.Equal(t, [4]bool{false, true, true, false}, stateAt(drain.CloseIdleDelay()))
	// From 4 s on, no request that was accepted in the last 2 s may be in flight and no connection may be idle.
	require.Equal(t, [4]bool{false, true, true, true}, stateAt(2*time.Second))
	state.Start(t0.Add(3 * time.Second)) // does not restart the drain
	require.Equal(t, [4]bool{false, true, true, true}, stateAt(3*time.Second))
	state.Cancel()
	require.Equal(t, [4]bool{true, false, false, false}, stateAt(3*time.Second))
	state.Start(t0.Add(5 * time.Second))
	require.Equal(t, [4]bool{false, true, false, false}, stateAt(6*time.Second))
}

// SIGKILL is sent 0.7 s after the longest deadline, or 3.7 s after SIGTERM if that deadline is longer than 3 s. By then all
// requests must be answered, whatever the settings. Clients connect until 0.4 s after SIGTERM, and the last of them need some
// time before responses announce that the connection will be closed.
func TestPlanShutdownEndsBeforeSIGKILL(t *testing.T) {
	for _, longest := range []time.Duration{time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, time.Hour} {
		plan := drain.PlanShutdown(longest)
		killedAt := min(longest, 3*time.Second) + 700*time.Millisecond
		require.Less(t, plan.ExitBy, killedAt)
		require.LessOrEqual(t, plan.AnswerBy, plan.ExitBy-50*time.Millisecond)
		require.LessOrEqual(t, plan.ExitBy, killedAt-100*time.Millisecond)
		require.Less(t, plan.AnswerBy+150*time.Millisecond, killedAt) // a hold-up leaves time to answer before SIGKILL
		require.Greater(t, plan.AbandonBy, plan.ExitBy+2*time.Second) // clients have 2 s to read an answer
		require.Less(t, plan.CloseIdle, plan.AnswerBy)
		require.GreaterOrEqual(t, plan.CloseIdle, plan.AnnounceClose)
		if longest >= 300*time.Millisecond {
			require.GreaterOrEqual(t, plan.AnnounceClose, 450*time.Millisecond)
		}
	}
	require.Equal(t, 1500*time.Millisecond, drain.PlanShutdown(4*time.Second).CloseIdle)
}
