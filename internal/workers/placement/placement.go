// Package placement chooses the worker that serves a query, and registers the names of the queries in flight so that none is
// served twice. It does no I/O and reads no clock.
//
// Each query is assigned to a worker on arrival, independently of its connection. So the load of a single connection spreads
// over all workers, and no connection has to migrate from an overloaded worker, which just receives fewer new queries.
package placement

import "math/rand/v2"

// WorkerLoad is the load of one worker.
type WorkerLoad struct {
	InFlight int  // queries and parts in flight, including queries submitted but not yet processed
	Backlog  int  // functions queued for its loop
	Dead     bool // its loop has ended
}

// backlogWeight is the weight of a function queued for the loop, relative to a part in flight. The function delays all queries
// of the worker, while a part in flight only waits for its record server.
const backlogWeight = 4

// cost returns the weighted load by which workers are compared.
func (l WorkerLoad) cost() int { return l.InFlight + backlogWeight*l.Backlog }

// Choose returns the index of the worker for a query, or -1 if all workers are dead. It chooses the less loaded of two random
// live workers (the power of two choices). Loads are slightly stale, so choosing the least loaded worker would send many
// queries in a row to the same one.
func Choose(loads []WorkerLoad, rng *rand.Rand) int {
	aliveCount := 0
	for _, l := range loads {
		if !l.Dead {
			aliveCount++
		}
	}
	if aliveCount == 0 {
		return -1
	}
	nthAlive := func(n int) int {
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
	n := rng.IntN(aliveCount)
	first := nthAlive(n)
	if aliveCount == 1 {
		return first
	}
	second := nthAlive((n + 1 + rng.IntN(aliveCount-1)) % aliveCount)
	if loads[second].cost() < loads[first].cost() {
		return second
	}
	return first
}

// NameRegistry holds the names of the queries in flight, each with its worker.
type NameRegistry struct{ workers map[string]int }

// NewNameRegistry returns an empty registry.
func NewNameRegistry() *NameRegistry { return &NameRegistry{workers: map[string]int{}} }

// Claim registers the name of a query that a worker serves. It returns false if a query of that name is in flight already.
func (r *NameRegistry) Claim(name string, worker int) bool {
	if _, taken := r.workers[name]; taken {
		return false
	}
	r.workers[name] = worker
	return true
}

// Worker returns the worker that serves the query of a name, and reports whether there is one.
func (r *NameRegistry) Worker(name string) (int, bool) {
	w, ok := r.workers[name]
	return w, ok
}

// Release removes the name of a query that has ended.
func (r *NameRegistry) Release(name string) { delete(r.workers, name) }

// Len returns the number of queries in flight.
func (r *NameRegistry) Len() int { return len(r.workers) }
