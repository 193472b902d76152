package recordservertest

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mothrouter/internal/transport/frame"
)

// Score returns the score that the servers of a shard return for a query. The second phase of a query is sent to the shards
// with the highest scores.
func Score(query string, shard int) int64 {
	return int64(xxhash.Sum64String(frame.PartID(query, shard, false)) >> 33)
}

// queryID returns the id of the query to which a part at a shard belongs, in either phase.
func queryID(id string, shard int) string {
	if query, ok := strings.CutSuffix(id, frame.PartID("", shard, true)); ok {
		return query
	}
	return strings.TrimSuffix(id, frame.PartID("", shard, false))
}

// recordAnswer records that a part of a first phase is about to be answered with success. It ignores failed parts and parts of
// a second phase.
func (f *Fleet) recordAnswer(id string, shard int, outcome string) {
	query := queryID(id, shard)
	if f.options.SecondPhaseFanout == 0 || outcome != "done" || id == frame.PartID(query, shard, true) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answeredShards[query] == nil {
		f.answeredShards[query] = map[int]bool{}
	}
	f.answeredShards[query][shard] = true
}

// checkSecondPhase checks a part of a second phase against the answers of the first phase: each shard listed in its fields must
// have been answered, and the part must be sent to one of those with the highest scores. It ignores parts of a first phase.
func (f *Fleet) checkSecondPhase(id string, shard int, fieldList string) {
	query := queryID(id, shard)
	if id != frame.PartID(query, shard, true) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	fields, err := parseSecondPhase(fieldList)
	if err != nil {
		f.recordViolation("%s: %v", id, err)
		return
	}
	if fields.complete != "0" && fields.complete != "1" {
		f.recordViolation("%s: whole=%q, want 0 or 1", id, fields.complete)
	}
	for _, n := range fields.from {
		if !f.answeredShards[query][n] {
			f.recordViolation("%s: shard %d is listed in from= but was not answered", id, n)
		}
	}
	best := bestShards(query, fields.from, f.options.SecondPhaseFanout)
	if !slices.Contains(best, shard) {
		f.recordViolation("%s: shard %d is not among the best %v of shards %v", id, shard, best, fields.from)
	}
}

// secondPhaseFields are the fields of a send frame that only a second phase has.
type secondPhaseFields struct {
	from     []int  // field from: the shards whose first phase was answered
	complete string // field whole: "1" if all shards were answered, "0" if not; "" if the field is missing
}

// parseSecondPhase parses fields such as "d=9,from=1+2+3,whole=1".
func parseSecondPhase(fieldList string) (fields secondPhaseFields, err error) {
	for pair := range strings.SplitSeq(fieldList, ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "from":
			for shard := range strings.SplitSeq(value, "+") {
				n, err := strconv.Atoi(shard)
				if err != nil {
					return secondPhaseFields{}, fmt.Errorf("invalid shard %q in from=%s", shard, value)
				}
				fields.from = append(fields.from, n)
			}
		case "whole":
			fields.complete = value
		}
	}
	return fields, nil
}

// bestShards returns the n shards with the highest scores for a query. Of shards with equal scores it prefers the lower
// number.
func bestShards(query string, shards []int, n int) []int {
	best := slices.Clone(shards)
	slices.SortFunc(best, func(a, b int) int {
		return cmp.Or(cmp.Compare(Score(query, b), Score(query, a)), cmp.Compare(a, b))
	})
	return best[:min(n, len(best))]
}
