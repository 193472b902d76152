// Package replicasets indexes servers by their replica sets and finds the replicas of a shard. Servers of a set keep their
// order, which is that of their numbers.
package replicasets

import (
	"cmp"
	"slices"
)

// Index holds items by replica set. Sets are numbered from 0; items of other sets are in none. It is not safe for
// concurrent use.
type Index[T any] struct {
	number            func(T) int
	replicationFactor int
	sets              [][]T
}

// New returns an index of at least one set where shard s is held by replicationFactor sets: s, s+1 ... modulo their count.
// The number of an item never changes, and no two share one.
func New[T any](sets, replicationFactor int, number func(T) int) Index[T] {
	sets = max(sets, 1)
	return Index[T]{number: number, replicationFactor: min(max(replicationFactor, 1), sets), sets: make([][]T, sets)}
}

func (x *Index[T]) find(set int, item T) (at int, in bool) {
	return slices.BinarySearchFunc(x.sets[set], item, func(a, b T) int { return cmp.Compare(x.number(a), x.number(b)) })
}

func (x *Index[T]) has(set int) bool { return set >= 0 && set < len(x.sets) }

// Insert puts an item into a set, unless it is there.
func (x *Index[T]) Insert(set int, item T) {
	if !x.has(set) {
		return
	}
	if at, in := x.find(set, item); !in {
		x.sets[set] = slices.Insert(x.sets[set], at, item)
	}
}

// Remove takes an item out of a set, if it is there.
func (x *Index[T]) Remove(set int, item T) {
	if !x.has(set) {
		return
	}
	if at, in := x.find(set, item); in {
		x.sets[set] = slices.Delete(x.sets[set], at, at+1)
	}
}

// Clear takes all items out.
func (x *Index[T]) Clear() { x.sets = make([][]T, len(x.sets)) }

// Replicas visits the items that hold a shard, which is 0 or more: set by set, in the order of their numbers.
func (x *Index[T]) Replicas(shard int, visit func(T)) {
	for j := range x.replicationFactor {
		for _, item := range x.sets[(shard+j)%len(x.sets)] {
			visit(item)
		}
	}
}
