package lazyheap_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/collections/lazyheap"
)

type item struct {
	key      float64
	number   int
	accepted bool
	removed  bool
}

// Compares Min with a linear scan over all items while keys grow and items are rejected, accepted again and removed.
func TestMinMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := lazyheap.New(func(i *item) float64 { return i.key }, func(i *item) int { return i.number })
		var items []*item
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind < 3 || len(items) == 0:
				items = append(items, &item{number: len(items), accepted: true})
				h.Push(items[len(items)-1])
			case kind < 8:
				i := items[rapid.IntRange(0, len(items)-1).Draw(t, "item")]
				i.key += float64(rapid.IntRange(0, 3).Draw(t, "growth"))
				if i.accepted = rapid.Bool().Draw(t, "accepted"); i.accepted && !i.removed {
					h.Push(i)
				}
			default:
				items[rapid.IntRange(0, len(items)-1).Draw(t, "item")].removed = true
				h.Remove(func(i *item) bool { return i.removed })
			}
			var want *item
			for _, i := range items {
				if i.accepted && !i.removed && (want == nil || i.key < want.key) {
					want = i
				}
			}
			got, found := h.Min(func(i *item) bool { return i.accepted })
			require.Equal(t, want != nil, found)
			require.Same(t, want, got)
		}
	})
}
