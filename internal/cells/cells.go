// Package cells files servers by their cells and finds the holders of a shard. Servers of a cell keep their order, which
// is that of their numbers.
package cells

import (
	"cmp"
	"slices"
)

// Index files items by cell. Its cells are numbered from 0; items of other cells are in none.
type Index[T any] struct {
	number func(T) int
	reach  int
	cells  [][]T
}

// New returns an index of at least one cell where shard s is held by reach cells: s, s+1 ... modulo their count. The
// number of an item never changes, and no two share one.
func New[T any](count, reach int, number func(T) int) Index[T] {
	count = max(count, 1)
	return Index[T]{number: number, reach: min(max(reach, 1), count), cells: make([][]T, count)}
}

func (x *Index[T]) find(cell int, item T) (place int, in bool) {
	return slices.BinarySearchFunc(x.cells[cell], item, func(a, b T) int { return cmp.Compare(x.number(a), x.number(b)) })
}

func (x *Index[T]) has(cell int) bool { return cell >= 0 && cell < len(x.cells) }

// Insert files an item, unless it is there.
func (x *Index[T]) Insert(cell int, item T) {
	if !x.has(cell) {
		return
	}
	if place, in := x.find(cell, item); !in {
		x.cells[cell] = slices.Insert(x.cells[cell], place, item)
	}
}

// Remove takes an item out, if it is there.
func (x *Index[T]) Remove(cell int, item T) {
	if !x.has(cell) {
		return
	}
	if place, in := x.find(cell, item); in {
		x.cells[cell] = slices.Delete(x.cells[cell], place, place+1)
	}
}

// Clear takes all items out.
func (x *Index[T]) Clear() { x.cells = make([][]T, len(x.cells)) }

// Holders visits the items that hold a shard, which is 0 or more: cell by cell, in the order of their numbers.
func (x *Index[T]) Holders(shard int, visit func(T)) {
	for j := range x.reach {
		for _, item := range x.cells[(shard+j)%len(x.cells)] {
			visit(item)
		}
	}
}
