// Package lease divides the budgets of a process among its workers. It does no I/O and reads no clock: the caller passes in
// the time, in seconds, and serializes the calls.
//
// A Budget limits how many parts the process may send to one server in slow start within any window. Each worker has a lease
// for some parts, valid until a point in time. The parts granted by all leases and the parts sent within the window never sum
// to more than the capacity, so workers that send at the same moment cannot overload the server. Leases expire, and unused
// parts become available to the workers that need more.
package lease

import (
	"math"
	"slices"
)

const (
	// Duration is how long a lease is valid, in seconds. A worker that is busy or does not need its parts withholds them from
	// the others for up to this time, so it is short compared with the windows, which last a second or more.
	Duration = 0.1

	demandSpan    = 0.5  // time constant of the decay of a worker's demand, in seconds
	roundingSlack = 1e-9 // tolerance for the floating-point error of an integer capacity, in parts
	minDemand     = 0.1  // demand of an idle worker, in parts, so that it still gets a part occasionally
)

// Lease is the number of parts that a worker may send to a server until the lease expires.
type Lease struct {
	Parts     int
	ExpiresAt float64 // in seconds
}

// Budget is the budget of one server.
type Budget struct {
	window     float64 // in seconds
	workers    []workerLease
	sentAt     []float64 // send times of the parts that all workers sent within the window
	nextWorker int       // the worker that gets the next single part if there are fewer parts than workers
}

// workerLease is a worker's lease with the worker's demand.
type workerLease struct {
	lease    Lease
	deciding bool    // the worker is between Renew and EndDecision, so its lease does not expire
	demand   float64 // exponentially decaying count of the parts that the worker sent or could have sent
	demandAt float64 // when demand was last updated
}

// NewBudget returns the budget of a server for a number of workers, with a sliding window in seconds.
func NewBudget(workers int, window float64) *Budget {
	return &Budget{window: window, workers: make([]workerLease, max(workers, 1))}
}

// Spend counts parts that a worker has sent. It reports whether the lease covered them, which is always true for a worker that
// observes its leases. Parts that were not covered are counted as well.
func (b *Budget) Spend(worker int, parts int, now float64) bool {
	w := &b.workers[worker]
	covered := parts <= w.lease.Parts && now <= w.lease.ExpiresAt
	w.lease.Parts = max(w.lease.Parts-parts, 0)
	for range parts {
		b.sentAt = append(b.sentAt, now)
	}
	w.recordDemand(float64(parts), now)
	return covered
}

// EndDecision ends a worker's decision: the rest of its lease may expire again.
func (b *Budget) EndDecision(worker int) { b.workers[worker].deciding = false }

// RecordUnmetDemand records that a worker could have used one more part than its lease granted.
func (b *Budget) RecordUnmetDemand(worker int, now float64) { b.workers[worker].recordDemand(1, now) }

func (w *workerLease) recordDemand(parts, now float64) {
	w.demand = w.demand*math.Exp(-(now-w.demandAt)/demandSpan) + parts
	w.demandAt = now
}

func (w *workerLease) currentDemand(now float64) float64 {
	return minDemand + w.demand*math.Exp(-(now-w.demandAt)/demandSpan)
}

// Outstanding returns the number of parts sent within the window that ends now, and the number that leases still grant.
func (b *Budget) Outstanding(now float64) (sent, granted int) {
	b.expire(now)
	for _, w := range b.workers {
		granted += w.lease.Parts
	}
	return len(b.sentAt), granted
}

func (b *Budget) expire(now float64) {
	b.sentAt = slices.DeleteFunc(b.sentAt, func(t float64) bool { return t <= now-b.window })
	for i := range b.workers {
		if w := &b.workers[i]; now > w.lease.ExpiresAt && !w.deciding {
			w.lease.Parts = 0
		}
	}
}

// Renew returns a worker's lease for a decision that ends with EndDecision. The lease does not expire during the decision:
// workers decide concurrently and pass in times that are not in order, and the lease of a slow worker must not be granted to
// another worker that renews later. An expired lease is replaced. A valid one is returned unchanged, or extended if there is
// budget that the other workers do not need. The capacity is the number of parts that the server can handle within one window
// now. If it has dropped below the parts already granted, no lease is revoked: workers rely on their leases, which are short.
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
	free := int(math.Floor(capacity+roundingSlack)) - len(b.sentAt) - granted
	if free <= 0 {
		return own.lease
	}
	// Parts are divided in proportion to demand. If a worker's share rounds to zero, single parts are granted round robin.
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

// isNext reports whether a worker is next in the round robin for single parts, and if so advances past it. Workers without
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
