// Package replicasets indexes servers by replica set and finds the replicas of a shard.
package replicasets

import (
	"cmp"
	"slices"
)

// Index holds items by replica set. Sets are numbered from 0. It ignores items of sets outside its range. It is not safe for
// concurrent use.
type Index[T any] struct {
	number            func(T) int
	replicationFactor int
	sets              [][]T // items of each set, ascending by number
}

// New returns an empty index with the given number of replica sets, at least one. Shard s is held by replicationFactor sets,
// which are s, s+1 and so on, modulo the number of sets. number returns the number of an item, which must be unique and must
// not change.
func New[T any](sets, replicationFactor int, number func(T) int) Index[T] {
	sets = max(sets, 1)
	return Index[T]{
		number:            number,
		replicationFactor: min(max(replicationFactor, 1), sets),
		sets:              make([][]T, sets),
	}
}

// find returns the position of an item in a set and whether the set contains it. If not, position is where to insert the item.
func (idx *Index[T]) find(set int, item T) (position int, found bool) {
	return slices.BinarySearchFunc(idx.sets[set], item, func(a, b T) int { return cmp.Compare(idx.number(a), idx.number(b)) })
}

// hasSet reports whether the index has a set with the given number.
func (idx *Index[T]) hasSet(set int) bool { return set >= 0 && set < len(idx.sets) }

// Insert adds an item to a set, unless the set contains it.
func (idx *Index[T]) Insert(set int, item T) {
	if !idx.hasSet(set) {
		return
	}
	position, found := idx.find(set, item)
	if !found {
		idx.sets[set] = slices.Insert(idx.sets[set], position, item)
	}
}

// Remove removes an item from a set, if the set contains it.
func (idx *Index[T]) Remove(set int, item T) {
	if !idx.hasSet(set) {
		return
	}
	position, found := idx.find(set, item)
	if found {
		idx.sets[set] = slices.Delete(idx.sets[set], position, position+1)
	}
}

// Clear removes all items.
func (idx *Index[T]) Clear() { idx.sets = make([][]T, len(idx.sets)) }

// Replicas calls visit for all items that hold a shard, in the order of the shard's sets and ascending by number within a set.
// shard must not be negative.
func (idx *Index[T]) Replicas(shard int, visit func(T)) {
	for i := range idx.replicationFactor {
		for _, item := range idx.sets[(shard+i)%len(idx.sets)] {
			visit(item)
		}
	}
}
