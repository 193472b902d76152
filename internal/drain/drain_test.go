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
	// From 4 s on nothing may be held of the last 2 s, nor any connection idle.
	require.Equal(t, [4]bool{false, true, true, true}, at(2*time.Second))
	s.Start(t0.Add(3 * time.Second)) // told again: it does not begin anew
	require.Equal(t, [4]bool{false, true, true, true}, at(3*time.Second))
	s.Cancel()
	require.Equal(t, [4]bool{true, false, false, false}, at(3*time.Second))
	s.Start(t0.Add(5 * time.Second))
	require.Equal(t, [4]bool{false, true, false, false}, at(6*time.Second))
}

// SIGKILL comes 0.7 s after the longest deadline, of which no more than 3 s count. By then all is answered, whatever the
// settings; clients come for 0.4 s after the word, and those that come until the last moment have some time left.
func TestPlanShutdownEndsBeforeSIGKILL(t *testing.T) {
	for _, longest := range []time.Duration{time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, time.Hour} {
		e := drain.PlanShutdown(longest)
		killed := min(longest, 3*time.Second) + 700*time.Millisecond
		require.Less(t, e.ExitBy, killed)
		require.LessOrEqual(t, e.AnswerBy, e.ExitBy-50*time.Millisecond)
		require.LessOrEqual(t, e.ExitBy, killed-100*time.Millisecond)
		require.Less(t, e.CloseIdle, e.AnswerBy)
		require.GreaterOrEqual(t, e.CloseIdle, e.AnnounceClose)
		if longest >= 300*time.Millisecond {
			require.GreaterOrEqual(t, e.AnnounceClose, 450*time.Millisecond)
		}
	}
	require.Equal(t, 1500*time.Millisecond, drain.PlanShutdown(4*time.Second).CloseIdle)
}
