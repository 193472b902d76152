package recordservertest

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each field of a second phase that is wrong is a violation.
func TestCheckSecondPhaseFindsViolations(t *testing.T) {
	bestOf := func(shards ...int) int {
		top := shards[0]
		for _, s := range shards {
			if Score("q", s) > Score("q", top) {
				top = s
			}
		}
		return top
	}
	top := bestOf(1, 2, 3)
	for list, wrong := range map[string]string{
		"d=9,from=1+2+3,whole=1":   "",
		"d=9,from=1+2+3,whole=0":   "",
		"d=9,from=1+2+3+4,whole=1": "was not answered",
		"d=9,from=1+x,whole=1":     "cannot be read",
		"d=9,from=1+2+3":           "whole=",
		"d=9,whole=1":              "none of the best",
	} {
		f := &Fleet{options: Options{SecondPhaseFanout: 1}, answeredShards: map[string]map[int]bool{}}
		for _, shard := range []int{1, 2, 3} {
			f.recordAnswer("q."+string(rune('0'+shard)), shard, "done")
		}
		f.recordAnswer("q.4", 4, "failed")
		f.checkSecondPhase("q."+string(rune('0'+top))+".p2", top, list)
		if wrong == "" {
			require.Empty(t, f.violations, list)
		} else {
			require.Contains(t, strings.Join(f.violations, "; "), wrong, list)
		}
	}
	f := &Fleet{options: Options{SecondPhaseFanout: 1}, answeredShards: map[string]map[int]bool{"q": {1: true, 2: true, 3: true}}}
	other := 1
	if top == 1 {
		other = 2
	}
	f.checkSecondPhase("q."+string(rune('0'+other))+".p2", other, "d=9,from=1+2+3,whole=1")
	require.Contains(t, strings.Join(f.violations, "; "), "none of the best")
}
