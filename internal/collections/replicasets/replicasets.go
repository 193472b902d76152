// Package replicasets indexes servers by replica set and finds the replicas of a shard.
package replicasets

import (
	"cmp"
	"slices"
)

// Index holds items by replica set. Sets are numbered from 0; an item of any other set is not held. It is not safe for
// concurrent use.
type Index[T any] struct {
	number            func(T) int
	replicationFactor int
	sets              [][]T // the items of each set, ascending by number
}

// New returns an empty index of sets replica sets, at least one, where replicationFactor of them hold shard s: s, s+1 and so
// on, modulo sets. number returns the number of an item, which never changes and which no other item has.
func New[T any](sets, replicationFactor int, number func(T) int) Index[T] {
	sets = max(sets, 1)
	return Index[T]{
		number:            number,
		replicationFactor: min(max(replicationFactor, 1), sets),
		sets:              make([][]T, sets),
	}
}

// find returns the position of an item in a set and whether it is there; if not, where it would be inserted.
func (x *Index[T]) find(set int, item T) (position int, found bool) {
	return slices.BinarySearchFunc(x.sets[set], item, func(a, b T) int { return cmp.Compare(x.number(a), x.number(b)) })
}

// has reports whether the index has a set.
func (x *Index[T]) has(set int) bool { return set >= 0 && set < len(x.sets) }

// Insert adds an item to a set, unless the set has it.
func (x *Index[T]) Insert(set int, item T) {
	if !x.has(set) {
		return
	}
	position, found := x.find(set, item)
	if !found {
		x.sets[set] = slices.Insert(x.sets[set], position, item)
	}
}

// Remove removes an item from a set, if the set has it.
func (x *Index[T]) Remove(set int, item T) {
	if !x.has(set) {
		return
	}
	position, found := x.find(set, item)
	if found {
		x.sets[set] = slices.Delete(x.sets[set], position, position+1)
	}
}

// Clear removes all items.
func (x *Index[T]) Clear() { x.sets = make([][]T, len(x.sets)) }

// Replicas calls visit for the items that hold a shard, which is 0 or more: set by set, ascending by number.
func (x *Index[T]) Replicas(shard int, visit func(T)) {
	for i := range x.replicationFactor {
		for _, item := range x.sets[(shard+i)%len(x.sets)] {
			visit(item)
		}
	}
}
