package recordservertest

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each invalid field of a second phase's send frame, and a shard without the highest score, is reported as a violation.
func TestCheckSecondPhaseReportsViolations(t *testing.T) {
	highestScored := func(shards ...int) int {
		top := shards[0]
		for _, s := range shards {
			if Score("q", s) > Score("q", top) {
				top = s
			}
		}
		return top
	}
	top := highestScored(1, 2, 3)
	for fieldList, violation := range map[string]string{
		"d=9,from=1+2+3,whole=1":   "",
		"d=9,from=1+2+3,whole=0":   "",
		"d=9,from=1+2+3+4,whole=1": "shard 4 is listed in from= but was not answered",
		"d=9,from=1+x,whole=1":     `invalid shard "x" in from=1+x`,
		"d=9,from=1+2+3":           `whole="", want 0 or 1`,
		"d=9,whole=1":              "is not among the best",
	} {
		f := &Fleet{options: Options{SecondPhaseFanout: 1}, answeredShards: map[string]map[int]bool{}}
		for _, shard := range []int{1, 2, 3} {
			f.recordAnswer("q."+string(rune('0'+shard)), shard, "done")
		}
		f.recordAnswer("q.4", 4, "failed")
		f.checkSecondPhase("q."+string(rune('0'+top))+".p2", top, fieldList)
		if violation == "" {
			require.Empty(t, f.violations, fieldList)
		} else {
			require.Contains(t, strings.Join(f.violations, "; "), violation, fieldList)
		}
	}
	f := &Fleet{options: Options{SecondPhaseFanout: 1}, answeredShards: map[string]map[int]bool{"q": {1: true, 2: true, 3: true}}}
	other := 1
	if top == 1 {
		other = 2
	}
	f.checkSecondPhase("q."+string(rune('0'+other))+".p2", other, "d=9,from=1+2+3,whole=1")
	require.Contains(t, strings.Join(f.violations, "; "), "is not among the best")
}
