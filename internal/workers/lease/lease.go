// Package lease divides the budgets of a process among its workers. It does no I/O and reads no clock: the caller passes in
// the time, in seconds, and serializes the calls.
//
// A Budget is that of one server in slow start: how many parts may go there in any window. Each worker has a lease of some
// parts, good until a time. What all leases grant and what has been sent within the window never sum to more than the
// capacity, so workers that send at the same moment cannot overload the server. Leases expire, and what was not used goes
// to those that ask for more.
package lease

import (
	"math"
	"slices"
)

const (
	// Duration is how long a lease lasts, in seconds. A worker that is busy or has no use for its parts keeps them from
	// the others for so long at most, so it is short beside the windows, which last a second or more.
	Duration = 0.1

	demandSpan    = 0.5  // seconds over which a worker's use is averaged
	roundingSlack = 1e-9 // parts: absorbs the rounding error of a capacity that is an integer
	minDemand     = 0.1  // parts: demand of an idle worker, so that it still gets a part at times
)

// Lease is what a worker may send to a server until it expires.
type Lease struct {
	Parts     int
	ExpiresAt float64
}

// Budget is the budget of one server.
type Budget struct {
	window     float64
	workers    []workerLease
	sent       []float64 // times of parts sent by all, within the window
	nextWorker int       // the next to get a single part, where there are fewer parts than workers
}

type workerLease struct {
	lease    Lease
	deciding bool    // between Renew and EndDecision: it does not expire under the decision
	demand   float64 // decayed count of parts used or missed
	demandAt float64
}

// NewBudget returns the budget of a server for a number of workers, over a sliding window in seconds.
func NewBudget(workers int, window float64) *Budget {
	return &Budget{window: window, workers: make([]workerLease, max(workers, 1))}
}

// Spend counts parts that a worker has sent. It returns false where they were more than its lease, which a worker that
// keeps to its leases never sees; they count all the same.
func (b *Budget) Spend(worker int, parts int, now float64) bool {
	w := &b.workers[worker]
	covered := parts <= w.lease.Parts && now <= w.lease.ExpiresAt
	w.lease.Parts = max(w.lease.Parts-parts, 0)
	for range parts {
		b.sent = append(b.sent, now)
	}
	w.recordDemand(float64(parts), now)
	return covered
}

// EndDecision ends a worker's decision: what its lease has left may expire again.
func (b *Budget) EndDecision(worker int) { b.workers[worker].deciding = false }

// RecordUnmetDemand records that a worker could have used one part more than its lease.
func (b *Budget) RecordUnmetDemand(worker int, now float64) { b.workers[worker].recordDemand(1, now) }

func (w *workerLease) recordDemand(parts, now float64) {
	w.demand = w.demand*math.Exp(-(now-w.demandAt)/demandSpan) + parts
	w.demandAt = now
}

func (w *workerLease) currentDemand(now float64) float64 {
	return minDemand + w.demand*math.Exp(-(now-w.demandAt)/demandSpan)
}

// Outstanding returns the parts sent within the window that ends now, and the parts that leases still grant.
func (b *Budget) Outstanding(now float64) (sent, granted int) {
	b.expire(now)
	for _, w := range b.workers {
		granted += w.lease.Parts
	}
	return len(b.sent), granted
}

func (b *Budget) expire(now float64) {
	b.sent = slices.DeleteFunc(b.sent, func(t float64) bool { return t <= now-b.window })
	for i := range b.workers {
		if w := &b.workers[i]; now > w.lease.ExpiresAt && !w.deciding {
			w.lease.Parts = 0
		}
	}
}

// Renew returns a worker's lease for a decision that EndDecision ends. The times of workers that decide side by side are
// not in order: a slow one must not find its lease granted to another that renewed later. A lease that has expired is
// made anew; one that is good is returned as it is, and grows where there is budget that others do not want. The capacity
// is what the server bears within one window now. Where it has shrunk below what is granted, nothing is revoked: a lease
// is a promise, and short.
func (b *Budget) Renew(worker int, capacity float64, now float64) Lease {
	b.expire(now)
	own := &b.workers[worker]
	own.deciding = true
	granted, othersDemand := 0, 0.0
	for i := range b.workers {
		granted += b.workers[i].lease.Parts
		if i != worker {
			othersDemand += b.workers[i].currentDemand(now)
		}
	}
	free := int(math.Floor(capacity+roundingSlack)) - len(b.sent) - granted
	if free <= 0 {
		return own.lease
	}
	// Parts go in proportion to demand. Where that rounds to nothing, single parts go round.
	demand := own.currentDemand(now)
	fair := float64(free+own.lease.Parts) * demand / (demand + othersDemand)
	parts := int(fair) - own.lease.Parts
	if parts <= 0 && own.lease.Parts == 0 && b.isNext(worker, now) {
		parts = 1
	}
	parts = min(max(parts, 0), free)
	if parts > 0 || own.lease.Parts == 0 {
		own.lease.Parts += parts
		own.lease.ExpiresAt = now + Duration
	}
	return own.lease
}

// isNext reports whether a worker is next in the round robin for single parts, and advances past it if so. Workers without
// recent demand are skipped.
func (b *Budget) isNext(worker int, now float64) bool {
	n := len(b.workers)
	for range n {
		i := b.nextWorker % n
		if i == worker {
			b.nextWorker = i + 1
			return true
		}
		if w := b.workers[i]; now-w.demandAt < demandSpan && w.lease.Parts == 0 && w.demand > 0 {
			return false
		}
		b.nextWorker = i + 1
	}
	return true
}
