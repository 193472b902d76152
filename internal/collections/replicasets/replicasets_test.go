package replicasets_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/collections/replicasets"
)

// Holders are those of a walk over all items, in order, whatever comes and goes.
func TestReplicasMatchLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count, reach := rapid.IntRange(1, 6).Draw(t, "cells"), rapid.IntRange(0, 8).Draw(t, "reach")
		index := replicasets.New(count, reach, func(i int) int { return i })
		in := map[int]int{} // item: its cell
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			item, cell := rapid.IntRange(0, 30).Draw(t, "item"), rapid.IntRange(-1, count).Draw(t, "cell")
			if old, filed := in[item]; filed {
				index.Remove(old, item)
				delete(in, item)
			}
			index.Remove(cell, item) // it is not there
			if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
				index.Insert(cell, item)
				index.Insert(cell, item) // once is enough
				in[item] = cell
			}
		}
		if rapid.IntRange(0, 9).Draw(t, "clear") == 0 {
			index.Clear()
			clear(in)
		}
		shard := rapid.IntRange(0, 20).Draw(t, "shard")
		var want, got []int
		for j := range min(max(reach, 1), count) {
			var cell []int
			for item, c := range in {
				if c == (shard+j)%count {
					cell = append(cell, item)
				}
			}
			want = append(want, slices.Sorted(slices.Values(cell))...)
		}
		index.Replicas(shard, func(i int) { got = append(got, i) })
		require.Equal(t, want, got)
	})
}
