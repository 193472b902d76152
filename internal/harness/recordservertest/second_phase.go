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

// Score returns the score with which a server answers the part of a query at a shard. A second phase goes to the shards
// with the highest scores.
func Score(query string, shard int) int64 {
	return int64(xxhash.Sum64String(frame.PartID(query, shard, false)) >> 33)
}

// queryOf returns the id of the query that a part at a shard belongs to.
func queryOf(id string, shard int) string {
	if query, ok := strings.CutSuffix(id, frame.PartID("", shard, true)); ok {
		return query
	}
	return strings.TrimSuffix(id, frame.PartID("", shard, false))
}

// recordAnswer records that a part of a first phase is about to be answered.
func (f *Fleet) recordAnswer(id string, shard int, end string) {
	query := queryOf(id, shard)
	if f.options.SecondPhaseFanout == 0 || end != "done" || id == frame.PartID(query, shard, true) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answeredShards[query] == nil {
		f.answeredShards[query] = map[int]bool{}
	}
	f.answeredShards[query][shard] = true
}

// checkSecondPhase checks a part of a second phase against what the servers answered in the first: the shards that its
// fields name were answered, and it goes to one of those with the highest scores. Other parts are valid.
func (f *Fleet) checkSecondPhase(id string, shard int, list string) {
	query := queryOf(id, shard)
	if id != frame.PartID(query, shard, true) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	fields, err := parseSecondPhase(list)
	if err != nil {
		f.recordViolation("%s: %v", id, err)
		return
	}
	if fields.complete != "0" && fields.complete != "1" {
		f.recordViolation("%s: whole=%q", id, fields.complete)
	}
	for _, n := range fields.from {
		if !f.answeredShards[query][n] {
			f.recordViolation("%s: shard %d is in from=, and was not answered", id, n)
		}
	}
	best := bestShards(query, fields.from, f.options.SecondPhaseFanout)
	if !slices.Contains(best, shard) {
		f.recordViolation("%s: shard %d is none of the best %v of %v", id, shard, best, fields.from)
	}
}

// secondPhaseFields are the fields of a second phase's send frame.
type secondPhaseFields struct {
	from     []int  // shards whose first phase was answered
	complete string // "1" if all shards were answered, "0" if not; "" if the field is missing
}

// parseSecondPhase parses fields such as "d=9,from=1+2+3,whole=1".
func parseSecondPhase(list string) (fields secondPhaseFields, err error) {
	for pair := range strings.SplitSeq(list, ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "from":
			for shard := range strings.SplitSeq(value, "+") {
				n, err := strconv.Atoi(shard)
				if err != nil {
					return secondPhaseFields{}, fmt.Errorf("from=%s cannot be read", value)
				}
				fields.from = append(fields.from, n)
			}
		case "whole":
			fields.complete = value
		}
	}
	return fields, nil
}

// bestShards returns the n shards with the highest scores; of equal ones, the lower shard.
func bestShards(query string, shards []int, n int) []int {
	best := slices.Clone(shards)
	slices.SortFunc(best, func(a, b int) int {
		return cmp.Or(cmp.Compare(Score(query, b), Score(query, a)), cmp.Compare(a, b))
	})
	return best[:min(n, len(best))]
}
