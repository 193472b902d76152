package recordservertest

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"mothrouter/internal/transport/frame"
)

// queryOf is the query that a part's id belongs to.
func queryOf(id string, shard int) string {
	if query, ok := strings.CutSuffix(id, frame.PartID("", shard, true)); ok {
		return query
	}
	return strings.TrimSuffix(id, frame.PartID("", shard, false))
}

// answered books a part of a first step that is about to be answered.
func (f *Fleet) answered(id string, shard int, end string) {
	query := queryOf(id, shard)
	if f.opt.SecondPhaseFanout == 0 || end != "done" || id == frame.PartID(query, shard, true) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done[query] == nil {
		f.done[query] = map[int]bool{}
	}
	f.done[query][shard] = true
}

// checkSecondStep holds a part of a second step against what the servers answered: the shards that it says were in
// were answered, it goes to one of those with the highest scores, and its list can be read.
func (f *Fleet) checkSecondStep(id string, shard int, list string) {
	query := queryOf(id, shard)
	if id != frame.PartID(query, shard, true) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var from []int
	whole := ""
	for pair := range strings.SplitSeq(list, ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "from":
			for text := range strings.SplitSeq(value, "+") {
				n, err := strconv.Atoi(text)
				if err != nil {
					f.recordViolation("%s: from=%s cannot be read", id, value)
					return
				}
				from = append(from, n)
			}
		case "whole":
			whole = value
		}
	}
	if whole != "0" && whole != "1" {
		f.recordViolation("%s: whole=%q", id, whole)
	}
	for _, n := range from {
		if !f.done[query][n] {
			f.recordViolation("%s: shard %d is said to be in, and was not answered", id, n)
		}
	}
	best := slices.Clone(from)
	slices.SortFunc(best, func(a, b int) int {
		return cmp.Or(cmp.Compare(Score(query, b), Score(query, a)), cmp.Compare(a, b))
	})
	if best = best[:min(f.opt.SecondPhaseFanout, len(best))]; !slices.Contains(best, shard) {
		f.recordViolation("%s: shard %d is none of the best %v of %v", id, shard, best, from)
	}
}
