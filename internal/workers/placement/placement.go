// Package placement chooses the worker that serves a query, and registers the names of queries in flight so that none is
// served twice. It does no I/O and reads no clock.
//
// Queries are placed on arrival, connections are not: the load of a single connection spreads over all workers, and nothing
// has to migrate off an overloaded worker, which merely receives no more.
package placement

import "math/rand/v2"

// WorkerLoad is the load of one worker.
type WorkerLoad struct {
	InFlight int  // queries and parts, including those on their way to it
	Backlog  int  // functions queued for its loop
	Dead     bool // its loop has ended
}

const (
	// backlogWeight is the weight of a function queued for the loop, in parts in flight: it delays all queries of the
	// worker, while a part in flight only waits for its record server.
	backlogWeight = 4
)

func (l WorkerLoad) cost() int { return l.InFlight + backlogWeight*l.Backlog }

// Choose returns the worker for a query, or -1 if all are dead: the less loaded of two random ones (the power of two
// choices). Loads are slightly stale, so that choosing the least loaded would send all queries to the same worker.
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

// Claim registers a name for a worker. It reports whether no query of that name was in flight.
func (n *NameRegistry) Claim(name string, worker int) bool {
	if _, taken := n.worker[name]; taken {
		return false
	}
	n.worker[name] = worker
	return true
}

// Worker returns the worker that serves a name, and reports whether there is one.
func (n *NameRegistry) Worker(name string) (int, bool) {
	w, ok := n.worker[name]
	return w, ok
}

// Release removes a name after its query has ended.
func (n *NameRegistry) Release(name string) { delete(n.worker, name) }

// Len returns the number of queries in flight.
func (n *NameRegistry) Len() int { return len(n.worker) }
