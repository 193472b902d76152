package simulationtest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/controlplane/simulationtest"
)

func TestEventQueueOrdersByTimeThenScheduling(t *testing.T) {
	var queue simulationtest.EventQueue
	var ran []int
	for i, at := range []time.Duration{3, 1, 3, 2, 1, 1} {
		queue.Schedule(at, func() { ran = append(ran, i) })
	}
	var times []time.Duration
	for at, ok := queue.NextAt(); ok; at, ok = queue.NextAt() {
		next := queue.Pop()
		require.Equal(t, at, next.At)
		times = append(times, at)
		next.Run()
	}
	require.Equal(t, []time.Duration{1, 1, 1, 2, 3, 3}, times)
	require.Equal(t, []int{1, 4, 5, 3, 0, 2}, ran)
}

func TestEventQueueZeroValueIsEmpty(t *testing.T) {
	var queue simulationtest.EventQueue
	_, ok := queue.NextAt()
	require.False(t, ok)
	require.Panics(t, func() { queue.Pop() })
}
