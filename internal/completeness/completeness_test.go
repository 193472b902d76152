package completeness_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/completeness"
)

func TestTallyAgainstThresholds(t *testing.T) {
	partial := completeness.Thresholds{Complete: 0.9, Min: 0.5}
	noPartial := completeness.Thresholds{Complete: 0.9, Min: 0.9}
	all := noPartial.RequireAllParts()
	require.Equal(t, completeness.Thresholds{Complete: 1, Min: 0.5, AllParts: true}, partial.RequireAllParts())
	for name, c := range map[string]struct {
		thresholds                                     completeness.Thresholds
		answered, pending                              float64
		complete, enough, cannotComplete, cannotAnswer bool
	}{
		"all answered":                 {all, 1, 0, true, true, false, false},
		"all answered, rounding error": {completeness.Thresholds{Complete: 1, Min: 1}, 1 - 1e-7, 0, true, true, false, false},
		"one pending":                  {all, 0.9, 0.1, false, false, false, false},
		"one lost":                     {all, 0.9, 0, false, false, true, true},
		"complete with one pending":    {partial, 0.9, 0.1, true, true, false, false},
		"enough, may complete":         {partial, 0.6, 0.4, false, true, false, false},
		"enough, cannot complete":      {partial, 0.6, 0.2, false, true, true, false},
		"may become enough":            {partial, 0.4, 0.2, false, false, true, false},
		"cannot become enough":         {partial, 0.4, 0, false, false, true, true},
		"no partial answers":           {noPartial, 0.6, 0.2, false, false, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			var tally completeness.Tally
			tally.AddAnswered(c.answered)
			if c.pending > 0 {
				tally.AddPending(c.pending)
			} else if c.answered < 1-completeness.Epsilon {
				tally.AddLost()
			}
			require.Equal(t, c.complete, tally.Complete(c.thresholds), "complete")
			require.Equal(t, c.enough, tally.Enough(c.thresholds), "enough")
			require.Equal(t, c.cannotComplete, tally.CannotComplete(c.thresholds), "cannot complete")
			require.Equal(t, c.cannotAnswer, tally.CannotAnswer(c.thresholds), "cannot answer")
		})
	}
}
