package replicasets_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/collections/replicasets"
)

// Compares Replicas with a linear scan over all items after random insertions and removals.
func TestReplicasMatchLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets, replicationFactor := rapid.IntRange(1, 6).Draw(t, "sets"), rapid.IntRange(0, 8).Draw(t, "replicationFactor")
		index := replicasets.New(sets, replicationFactor, func(i int) int { return i })
		setOf := map[int]int{} // replica set of each item in the index
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			item, set := rapid.IntRange(0, 30).Draw(t, "item"), rapid.IntRange(-1, sets).Draw(t, "set")
			if oldSet, found := setOf[item]; found {
				index.Remove(oldSet, item)
				delete(setOf, item)
			}
			index.Remove(set, item) // no effect: the set does not contain the item
			if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
				index.Insert(set, item)
				index.Insert(set, item) // no effect: the set contains the item
				setOf[item] = set
			}
		}
		if rapid.IntRange(0, 9).Draw(t, "clear") == 0 {
			index.Clear()
			clear(setOf)
		}
		shard := rapid.IntRange(0, 20).Draw(t, "shard")
		var want, got []int
		for i := range min(max(replicationFactor, 1), sets) {
			var items []int
			for item, set := range setOf {
				if set == (shard+i)%sets {
					items = append(items, item)
				}
			}
			want = append(want, slices.Sorted(slices.Values(items))...)
		}
		index.Replicas(shard, func(i int) { got = append(got, i) })
		require.Equal(t, want, got)
	})
}
