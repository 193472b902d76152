package broker

import (
	"hash/maphash"
	"sync"
)

// maxEndedIDs is how many ids of queries that must not run again an EndedIDs remembers.
const maxEndedIDs = 1 << 14

// EndedIDs remembers the ids of queries that have ended and whose ids must not be used by another query: forever those with a part
// that must not run twice and may have run, the others while an attempt is in flight. Part ids are derived from the query's id, so a
// record server could not tell a new query of that id from a further attempt of the old one. It keeps the latest maxEndedIDs, as
// hashes. It is safe for concurrent use; the loops of a process share one.
type EndedIDs struct {
	seed maphash.Seed

	mu       sync.Mutex     // guards the fields below
	inFlight map[uint64]int // attempts in flight of ended queries
	known    map[uint64]struct{}
	hashes   []uint64 // of known, in the order in which they were added, from oldest on
	oldest   int      // index of the hash that is replaced next, once there are maxEndedIDs
}

// NewEndedIDs returns an empty EndedIDs.
func NewEndedIDs() *EndedIDs {
	return &EndedIDs{seed: maphash.MakeSeed(), inFlight: map[uint64]int{}, known: map[uint64]struct{}{}}
}

// Add remembers an id, and forgets the oldest one if there are maxEndedIDs already.
func (e *EndedIDs) Add(id string) {
	hash := maphash.String(e.seed, id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, found := e.known[hash]; found {
		return
	}
	e.known[hash] = struct{}{}
	if len(e.hashes) < maxEndedIDs {
		e.hashes = append(e.hashes, hash)
		return
	}
	delete(e.known, e.hashes[e.oldest])
	e.hashes[e.oldest] = hash
	e.oldest = (e.oldest + 1) % maxEndedIDs
}

// Contains reports whether an id is remembered or held.
func (e *EndedIDs) Contains(id string) bool {
	hash := maphash.String(e.seed, id)
	e.mu.Lock()
	defer e.mu.Unlock()
	_, found := e.known[hash]
	return found || e.inFlight[hash] > 0
}

// Hold keeps an id while an attempt is in flight, until Release.
func (e *EndedIDs) Hold(id string) {
	hash := maphash.String(e.seed, id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight[hash]++
}

// Release ends one Hold of an id.
func (e *EndedIDs) Release(id string) {
	hash := maphash.String(e.seed, id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight[hash]--
	if e.inFlight[hash] == 0 {
		delete(e.inFlight, hash)
	}
}
