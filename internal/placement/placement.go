// Package placement decides which worker serves a query, and sees that a query's name is served once. It does no
// I/O and keeps no clock.
//
// A query is placed when it comes, not its connection: a connection that brings all the load is spread over the
// workers like any other, and nothing has to be moved off a worker that falls behind; it gets no more.
package placement

import "math/rand/v2"

// Load is what one worker holds.
type Load struct {
	Open   int  // queries and parts held, or on their way to it
	Behind int  // events that wait for its loop
	Dead   bool // its loop has ended
}

const (
	// An event that waits for the loop delays all that the worker holds; a part that is out only waits for its
	// record server. So a worker that is behind counts as so much fuller.
	behindWeight = 4
)

func (l Load) cost() int { return l.Open + behindWeight*l.Behind }

// Choose returns the worker for a query: the less loaded of two drawn at random, since loads are a moment old and
// all that look for the least would meet there. -1: none lives.
func Choose(loads []Load, rng *rand.Rand) int {
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

// Names are the names of the queries that are being served, each by one worker.
type Names struct{ worker map[string]int }

// NewNames returns none.
func NewNames() *Names { return &Names{worker: map[string]int{}} }

// Claim gives a name to a worker. It returns false where a query of that name is being served, by whichever.
func (n *Names) Claim(name string, worker int) bool {
	if _, taken := n.worker[name]; taken {
		return false
	}
	n.worker[name] = worker
	return true
}

// Worker is who serves a name.
func (n *Names) Worker(name string) (int, bool) {
	w, ok := n.worker[name]
	return w, ok
}

// Release frees a name once its query has ended.
func (n *Names) Release(name string) { delete(n.worker, name) }

// Len is how many queries are being served.
func (n *Names) Len() int { return len(n.worker) }
