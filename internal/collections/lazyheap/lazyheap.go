// Package lazyheap provides a priority queue for keys that only grow and change far more often than the minimum is read. The
// heap updates the key of an item only when the item reaches the top.
package lazyheap

import "container/heap"

// Heap is a min-heap of items ordered by key. Items with equal keys are ordered by number. It is not safe for concurrent use.
type Heap[T comparable] struct {
	key      func(T) float64
	number   func(T) int
	contains map[T]bool // the items in the heap
	entries  entryHeap[T]
}

// New returns an empty heap. key and number return the key and the number of an item. While an item is in the heap, its key
// must not decrease and its number must not change.
func New[T comparable](key func(T) float64, number func(T) int) *Heap[T] {
	return &Heap[T]{key: key, number: number, contains: map[T]bool{}}
}

// Push adds an item, unless the heap contains it.
func (h *Heap[T]) Push(item T) {
	if !h.contains[item] {
		h.contains[item] = true
		heap.Push(&h.entries, entry[T]{item, h.key(item), h.number(item)})
	}
}

// Min returns the item with the smallest key among the items for which accept returns true; found is false if there is none. It
// removes every item that is not accepted and reaches the top of the heap before that item; Push can add it again.
func (h *Heap[T]) Min(accept func(T) bool) (smallest T, found bool) {
	for len(h.entries) > 0 {
		top := &h.entries[0]
		switch key := h.key(top.item); {
		case !accept(top.item):
			delete(h.contains, top.item)
			heap.Pop(&h.entries)
		case top.key < key:
			top.key = key
			heap.Fix(&h.entries, 0)
		default:
			return top.item, true
		}
	}
	return smallest, false
}

// Remove removes the items for which remove returns true. It takes linear time.
func (h *Heap[T]) Remove(remove func(T) bool) {
	remaining := h.entries[:0]
	for _, e := range h.entries {
		if remove(e.item) {
			delete(h.contains, e.item)
		} else {
			remaining = append(remaining, e)
		}
	}
	clear(h.entries[len(remaining):])
	h.entries = remaining
	heap.Init(&h.entries)
}

// entry is an item with its key as of the latest update of the entry.
type entry[T any] struct {
	item   T
	key    float64 // at most the item's current key
	number int
}

// entryHeap implements heap.Interface.
type entryHeap[T any] []entry[T]

func (h entryHeap[T]) Len() int { return len(h) }

func (h entryHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h entryHeap[T]) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].number < h[j].number
}

func (h *entryHeap[T]) Push(e any) { *h = append(*h, e.(entry[T])) }

func (h *entryHeap[T]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = entry[T]{} // so that the array does not keep the item alive
	*h = (*h)[:last]
	return e
}
