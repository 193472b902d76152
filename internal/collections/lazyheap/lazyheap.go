// Package lazyheap keeps the item with the least key where keys only grow and change far more often than they are asked
// for: a key is brought up to date when its item comes to the top.
package lazyheap

import "container/heap"

// Heap keeps items by their keys, equal ones by their numbers. It is not safe for concurrent use.
type Heap[T comparable] struct {
	key    func(T) float64
	number func(T) int
	in     map[T]bool
	items  items[T]
}

// New returns an empty heap. The key of an item that is in it never falls, and its number never changes.
func New[T comparable](key func(T) float64, number func(T) int) *Heap[T] {
	return &Heap[T]{key: key, number: number, in: map[T]bool{}}
}

// Push puts an item in, unless it is in.
func (h *Heap[T]) Push(item T) {
	if !h.in[item] {
		h.in[item] = true
		heap.Push(&h.items, entry[T]{item, h.key(item), h.number(item)})
	}
}

// Min is the item with the least key of those that fit. Items that do not fit are taken out, until pushed again.
func (h *Heap[T]) Min(accept func(T) bool) (smallest T, found bool) {
	for len(h.items) > 0 {
		top := &h.items[0]
		switch now := h.key(top.item); {
		case !accept(top.item):
			delete(h.in, top.item)
			heap.Pop(&h.items)
		case top.key < now:
			top.key = now
			heap.Fix(&h.items, 0)
		default:
			return top.item, true
		}
	}
	return smallest, false
}

// Remove takes items out. It walks all.
func (h *Heap[T]) Remove(drop func(T) bool) {
	kept := h.items[:0]
	for _, e := range h.items {
		if drop(e.item) {
			delete(h.in, e.item)
		} else {
			kept = append(kept, e)
		}
	}
	clear(h.items[len(kept):])
	h.items = kept
	heap.Init(&h.items)
}

type entry[T any] struct {
	item   T
	key    float64 // at most that of the item now
	number int
}

type items[T any] []entry[T]

func (q items[T]) Len() int      { return len(q) }
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
	(*q)[last] = entry[T]{}
	*q = (*q)[:last]
	return e
}
