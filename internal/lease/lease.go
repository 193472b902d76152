// Package lease divides budgets that belong to a whole process over its workers. It does no I/O and keeps no
// clock: the caller hands in the time and holds a lock.
//
// A Budget is that of one cold server: how many parts may go there in any window of a length. Each worker
// holds a lease of some parts, good until a time. What all leases grant and what has been sent within the window
// never sum to more than the whole, so workers that send at the same moment cannot push the server over. Leases
// expire, and what was not used goes to those that ask for more.
package lease

import (
	"math"
	"slices"
)

const (
	// Life is how long a lease lasts. A worker that is busy or has no use for it keeps its parts from the others
	// for so long at most, so it is short beside the windows, which last a second or more.
	Life = 0.1

	demandSpan = 0.5 // seconds over which a worker's use is averaged
	demandMin  = 0.1 // what a worker without any use counts as, so that it is offered a part now and then
)

// Grant is what a worker may send to a server.
type Grant struct {
	Parts int
	Until float64
}

// Budget is the budget of one server.
type Budget struct {
	window  float64
	holders []holder
	sent    []float64 // times of parts sent by all, within the window
	turn    int       // whose turn it is where the whole is less than the workers
}

type holder struct {
	grant    Grant
	deciding bool    // between Renew and Settle: it does not expire under the decision
	demand   float64 // averaged parts used or missed a second
	demandAt float64
}

// NewBudget returns the budget of a server for so many workers, counted over windows of so many seconds.
func NewBudget(workers int, window float64) *Budget {
	return &Budget{window: window, holders: make([]holder, max(workers, 1))}
}

// Spend books parts that a worker has sent. It returns false where they were more than its lease, which a worker
// that keeps to its grants never sees; they count all the same.
func (b *Budget) Spend(worker int, parts int, now float64) bool {
	h := &b.holders[worker]
	covered := parts <= h.grant.Parts && now <= h.grant.Until
	h.grant.Parts = max(h.grant.Parts-parts, 0)
	for range parts {
		b.sent = append(b.sent, now)
	}
	h.note(float64(parts), now)
	return covered
}

// Settle ends a worker's decision: what it held and has not spent may expire again.
func (b *Budget) Settle(worker int) { b.holders[worker].deciding = false }

// Miss tells that a worker could have used more than it had.
func (b *Budget) Miss(worker int, now float64) { b.holders[worker].note(1, now) }

func (h *holder) note(parts, now float64) {
	h.demand = h.demand*math.Exp(-(now-h.demandAt)/demandSpan) + parts
	h.demandAt = now
}

func (h *holder) wants(now float64) float64 {
	return demandMin + h.demand*math.Exp(-(now-h.demandAt)/demandSpan)
}

// Held is what is sent within the window that ends now, and what leases still grant.
func (b *Budget) Held(now float64) (sent, granted int) {
	b.expire(now)
	for _, h := range b.holders {
		granted += h.grant.Parts
	}
	return len(b.sent), granted
}

func (b *Budget) expire(now float64) {
	b.sent = slices.DeleteFunc(b.sent, func(t float64) bool { return t <= now-b.window })
	for i := range b.holders {
		if h := &b.holders[i]; now > h.grant.Until && !h.deciding {
			h.grant.Parts = 0
		}
	}
}

// Renew returns a worker's lease for a decision that Settle ends. The times of workers that decide side by side are
// not in order: one that is slow must not find its lease given to another that came later. A lease that has expired is made anew; one that holds is returned as it is, and
// grows where there is room that others do not want. The whole is what the server bears within one window now.
// Where it has shrunk below what is granted, nothing is taken back: a lease is a promise, and short.
func (b *Budget) Renew(worker int, whole float64, now float64) Grant {
	b.expire(now)
	sent, granted := len(b.sent), 0
	mine := &b.holders[worker]
	mine.deciding = true
	others := 0.0
	for i := range b.holders {
		granted += b.holders[i].grant.Parts
		if i != worker {
			others += b.holders[i].wants(now)
		}
	}
	free := int(math.Floor(whole+1e-9)) - sent - granted
	if free <= 0 {
		return mine.grant
	}
	// A share in proportion to use. Of what rounds to nothing, single parts go round in turns.
	share := float64(free+mine.grant.Parts) * mine.wants(now) / (mine.wants(now) + others)
	parts := int(share) - mine.grant.Parts
	if parts <= 0 && mine.grant.Parts == 0 && b.next(worker, now) {
		parts = 1
	}
	if parts = min(max(parts, 0), free); parts > 0 || mine.grant.Parts == 0 {
		mine.grant.Parts += parts
		mine.grant.Until = now + Life
	}
	return mine.grant
}

// next tells whether it is a worker's turn to get a single part, and passes the turn on if so. A worker that has
// not asked for a lease's life is passed over: it must not hold up the others.
func (b *Budget) next(worker int, now float64) bool {
	n := len(b.holders)
	for range n {
		i := b.turn % n
		if i == worker {
			b.turn = i + 1
			return true
		}
		if h := b.holders[i]; now-h.demandAt < demandSpan && h.grant.Parts == 0 && h.demand > 0 {
			return false
		}
		b.turn = i + 1
	}
	return true
}
