package drain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cloverhook/internal/drain"
)

func TestADrainGoesInStepsAndEndsAtOnce(t *testing.T) {
	var s drain.State
	t0 := time.Now()
	at := func(d time.Duration) [4]bool {
		now := t0.Add(d)
		return [4]bool{s.Up(), s.Closing(), s.ClosesIdle(now), s.Refuses(now)}
	}
	require.Equal(t, [4]bool{true, false, false, false}, at(time.Hour))
	s.Leave(t0)
	require.Equal(t, [4]bool{false, true, false, false}, at(0))
	require.Equal(t, [4]bool{false, true, false, false}, at(time.Second))
	require.Equal(t, [4]bool{false, true, true, false}, at(drain.Next()))
	// From 4 s on nothing may be held of the last 2 s, nor any connection idle.
	require.Equal(t, [4]bool{false, true, true, true}, at(2*time.Second))
	s.Leave(t0.Add(3 * time.Second)) // told again: it does not begin anew
	require.Equal(t, [4]bool{false, true, true, true}, at(3*time.Second))
	s.Join()
	require.Equal(t, [4]bool{true, false, false, false}, at(3*time.Second))
	s.Leave(t0.Add(5 * time.Second))
	require.Equal(t, [4]bool{false, true, false, false}, at(6*time.Second))
}
