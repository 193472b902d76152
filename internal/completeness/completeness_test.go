package completeness_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/completeness"
)

func TestTallyAgainstThresholds(t *testing.T) {
	partial := completeness.Thresholds{Complete: 0.9, Min: 0.5}
	whole := completeness.Thresholds{Complete: 0.9, Min: 0.9}
	all := whole.OfEveryPart()
	require.Equal(t, completeness.Thresholds{Complete: 1, Min: 0.5, EveryPart: true}, partial.OfEveryPart())
	for name, c := range map[string]struct {
		at                                          completeness.Thresholds
		answered, pending                           float64
		complete, enough, cannotComplete, cannotAny bool
	}{
		"all in":                    {all, 1, 0, true, true, false, false},
		"rounded":                   {completeness.Thresholds{Complete: 1, Min: 1}, 1 - 1e-7, 0, true, true, false, false},
		"one out":                   {all, 0.9, 0.1, false, false, false, false},
		"one lost":                  {all, 0.9, 0, false, false, true, true},
		"complete without the rest": {partial, 0.9, 0.1, true, true, false, false},
		"enough, not complete":      {partial, 0.6, 0.4, false, true, false, false},
		"enough, never complete":    {partial, 0.6, 0.2, false, true, true, false},
		"not yet enough":            {partial, 0.4, 0.2, false, false, true, false},
		"never enough":              {partial, 0.4, 0, false, false, true, true},
		"no partial answers":        {whole, 0.6, 0.2, false, false, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			var tally completeness.Tally
			tally.AddAnswered(c.answered)
			if c.pending > 0 {
				tally.AddPending(c.pending)
			} else if c.answered < 1-completeness.Slack {
				tally.AddLost()
			}
			require.Equal(t, c.complete, tally.Complete(c.at), "complete")
			require.Equal(t, c.enough, tally.Enough(c.at), "enough")
			require.Equal(t, c.cannotComplete, tally.CannotComplete(c.at), "cannot complete")
			require.Equal(t, c.cannotAny, tally.CannotAnswer(c.at), "cannot answer")
		})
	}
}
