package recent_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/collections/recent"
)

func TestWindowLenMatchesListOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w recent.Window
		var eventTimes []int
		now := 0
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 200).Draw(t, "steps") {
			now += step
			w.Add(float64(now))
			eventTimes = append(eventTimes, now)
			if step == 2 {
				w.RemoveBefore(float64(now - 5))
				eventTimes = slices.DeleteFunc(eventTimes, func(at int) bool { return at < now-5 })
			}
			require.Equal(t, len(eventTimes), w.Len())
		}
	})
}
