// Package placement decides which worker serves a query, and sees that a query's name is served once. It does no
// I/O and keeps no clock.
//
// A query is placed when it arrives, not its connection: a connection that brings all the load is spread over the workers
// like any other, and nothing has to migrate off a worker that falls behind; it gets no more.
package placement

import "math/rand/v2"

// WorkerLoad is what one worker has to do.
type WorkerLoad struct {
	InFlight int  // queries and parts, including those on their way to it
	Backlog  int  // functions that wait for its loop
	Dead     bool // its loop has ended
}

const (
	// backlogWeight is what a function that waits for the loop counts as: it delays all that the worker has in flight,
	// while a part in flight only waits for its record server.
	backlogWeight = 4
)

func (l WorkerLoad) cost() int { return l.InFlight + backlogWeight*l.Backlog }

// Choose returns the worker for a query: the less loaded of two drawn at random (the power of two choices), since loads
// are a moment old and all queries that look for the least loaded would meet there. -1: none lives.
func Choose(loads []WorkerLoad, rng *rand.Rand) int {
	alive := 0
	for _, l := range loads {
		if !l.Dead {
			alive++
		}
	}
	if alive == 0 {
		return -1
	}
	nth := func(n int) int {
		for i, l := range loads {
			if !l.Dead {
				if n == 0 {
					return i
				}
				n--
			}
		}
		return -1
	}
	a := rng.IntN(alive)
	first := nth(a)
	if alive == 1 {
		return first
	}
	second := nth((a + 1 + rng.IntN(alive-1)) % alive)
	if loads[second].cost() < loads[first].cost() {
		return second
	}
	return first
}

// NameRegistry holds the names of the queries in flight, each with its worker.
type NameRegistry struct{ worker map[string]int }

// NewNameRegistry returns an empty registry.
func NewNameRegistry() *NameRegistry { return &NameRegistry{worker: map[string]int{}} }

// Claim gives a name to a worker. It returns false where a query of that name is in flight at any of them.
func (n *NameRegistry) Claim(name string, worker int) bool {
	if _, taken := n.worker[name]; taken {
		return false
	}
	n.worker[name] = worker
	return true
}

// Worker returns the worker that serves a name; false: none does.
func (n *NameRegistry) Worker(name string) (int, bool) {
	w, ok := n.worker[name]
	return w, ok
}

// Release frees a name once its query has ended.
func (n *NameRegistry) Release(name string) { delete(n.worker, name) }

// Len is how many queries are in flight.
func (n *NameRegistry) Len() int { return len(n.worker) }
