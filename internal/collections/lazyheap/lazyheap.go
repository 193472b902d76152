// Package lazyheap is a priority queue for keys that only grow, and that change far more often than the minimum is read: the
// heap updates a key when its item reaches the top.
package lazyheap

import "container/heap"

// Heap is a min-heap of items by key, then by number. It is not safe for concurrent use.
type Heap[T comparable] struct {
	key    func(T) float64
	number func(T) int
	in     map[T]bool // the items of the heap
	items  items[T]
}

// New returns an empty heap. The key of an item in the heap must not fall, and its number must not change.
func New[T comparable](key func(T) float64, number func(T) int) *Heap[T] {
	return &Heap[T]{key: key, number: number, in: map[T]bool{}}
}

// Push adds an item, unless the heap has it.
func (h *Heap[T]) Push(item T) {
	if !h.in[item] {
		h.in[item] = true
		heap.Push(&h.items, entry[T]{item, h.key(item), h.number(item)})
	}
}

// Min returns the item with the least key among those that accept reports true for; found is false if there is none. It
// removes the items that it finds not accepted on the way; Push adds them again.
func (h *Heap[T]) Min(accept func(T) bool) (smallest T, found bool) {
	for len(h.items) > 0 {
		top := &h.items[0]
		switch key := h.key(top.item); {
		case !accept(top.item):
			delete(h.in, top.item)
			heap.Pop(&h.items)
		case top.key < key:
			top.key = key
			heap.Fix(&h.items, 0)
		default:
			return top.item, true
		}
	}
	return smallest, false
}

// Remove removes the items that drop reports true for. It takes time in proportion to the size of the heap.
func (h *Heap[T]) Remove(drop func(T) bool) {
	remaining := h.items[:0]
	for _, e := range h.items {
		if drop(e.item) {
			delete(h.in, e.item)
		} else {
			remaining = append(remaining, e)
		}
	}
	clear(h.items[len(remaining):])
	h.items = remaining
	heap.Init(&h.items)
}

// entry is an item with its key as it was when last updated.
type entry[T any] struct {
	item   T
	key    float64 // at most the item's present key
	number int
}

// items implements heap.Interface.
type items[T any] []entry[T]

func (q items[T]) Len() int { return len(q) }

func (q items[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q items[T]) Less(i, j int) bool {
	if q[i].key != q[j].key {
		return q[i].key < q[j].key
	}
	return q[i].number < q[j].number
}

func (q *items[T]) Push(e any) { *q = append(*q, e.(entry[T])) }

func (q *items[T]) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = entry[T]{} // so that the array does not keep the item alive
	*q = (*q)[:last]
	return e
}
