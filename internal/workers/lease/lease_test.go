package lease_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/estimate/slowstart"
	"mothrouter/internal/workers/lease"
)

// TestLeasesNeverExceedCapacity checks, for random schedules of overlapping decisions, sends, pauses and capacity changes, that
// the parts sent within a window and the parts granted never sum to more than the largest recent capacity, and that the lease
// covers what a worker sends, however long its decision takes.
func TestLeasesNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 8).Draw(t, "workers")
		const window = 1.5
		budget := lease.NewBudget(workers, window)
		now, capacity := 100.0, 0
		type decision struct {
			at    float64
			lease lease.Lease
		}
		decisions := make([]*decision, workers) // those in progress, by worker
		type pastCapacity struct {
			at       float64
			capacity int
		}
		var capacities []pastCapacity
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.2).Draw(t, "pause")
			w := rapid.IntRange(0, workers-1).Draw(t, "worker")
			if d := decisions[w]; d != nil {
				parts := rapid.IntRange(0, d.lease.Parts).Draw(t, "sent")
				if parts > 0 && d.at <= d.lease.ExpiresAt && !budget.Spend(w, parts, d.at) {
					t.Fatalf("worker %d: %d parts at %g are not covered by the lease %+v", w, parts, d.at, d.lease)
				}
				budget.EndDecision(w)
				decisions[w] = nil
			} else {
				capacity = rapid.IntRange(max(0, capacity-1), capacity+2).Draw(t, "capacity")
				capacities = append(capacities, pastCapacity{now, capacity})
				l := budget.Renew(w, float64(capacity), now)
				if l.Parts > 0 && (now > l.ExpiresAt || l.ExpiresAt > now+lease.Duration+1e-9) {
					t.Fatalf("worker %d: lease renewed at %g expires at %g", w, now, l.ExpiresAt)
				}
				decisions[w] = &decision{now, l}
			}
			oldestAt := now
			for _, d := range decisions {
				if d != nil {
					oldestAt = min(oldestAt, d.at)
				}
			}
			bound := 0
			for _, past := range capacities {
				if past.at >= oldestAt-window-lease.Duration-0.2 {
					bound = max(bound, past.capacity)
				}
			}
			if sent, granted := budget.Outstanding(now); sent+granted > bound {
				t.Fatalf("%d parts sent and %d granted, want a sum of at most %d", sent, granted, bound)
			}
		}
	})
}

func TestExpiredLeaseGrantsNothing(t *testing.T) {
	budget := lease.NewBudget(2, 1.5)
	require.Equal(t, 4, budget.Renew(0, 8, 10).Parts)
	budget.EndDecision(0)
	require.False(t, budget.Spend(0, 1, 10+lease.Duration+0.01))
	budget = lease.NewBudget(2, 1.5)
	budget.Renew(0, 8, 10)
	require.True(t, budget.Spend(0, 4, 10+lease.Duration/2))
	require.False(t, budget.Spend(0, 1, 10+lease.Duration/2))
}

// TestLeasesFollowDemand checks that parts that some workers do not use are granted to a worker that does.
func TestLeasesFollowDemand(t *testing.T) {
	budget := lease.NewBudget(4, 1.5)
	sent, maxIdleLease := 0, 0
	for i := range 400 { // for four seconds all workers renew, and only worker 2 sends parts
		now := 10 + 0.01*float64(i)
		for w := range 4 {
			l := budget.Renew(w, 20, now)
			budget.EndDecision(w)
			if w == 2 && l.Parts > 0 {
				require.True(t, budget.Spend(w, 1, now))
				sent++
			} else if w != 2 {
				maxIdleLease = max(maxIdleLease, l.Parts)
			}
		}
	}
	require.Greater(t, sent, 40, "a capacity of 20 in 1.5 s allows 53 in four seconds")
	require.LessOrEqual(t, sent, 60)
	require.LessOrEqual(t, maxIdleLease, 5)
}

// TestSinglePartsGoRoundRobin checks that single parts are granted in turn if the capacity is below the number of workers, and
// that an idle worker does not delay the others.
func TestSinglePartsGoRoundRobin(t *testing.T) {
	budget := lease.NewBudget(4, 0.5)
	sent := make([]int, 4) // by worker
	for i := range 4000 {
		now := 10 + 0.01*float64(i)
		for w := range 3 { // the fourth never renews
			l := budget.Renew(w, 1, now)
			budget.EndDecision(w)
			if l.Parts == 0 {
				budget.RecordUnmetDemand(w, now)
			} else if budget.Spend(w, 1, now) {
				sent[w]++
			}
		}
	}
	for w := range 3 {
		require.Greater(t, sent[w], 10, "parts sent by worker %d; by all: %v", w, sent)
	}
	require.LessOrEqual(t, sent[0]+sent[1]+sent[2], 81)
}

func TestSemaphoreIsExact(t *testing.T) {
	semaphore := lease.NewSemaphore(10)
	require.True(t, semaphore.TryAcquire(7))
	require.False(t, semaphore.TryAcquire(4))
	require.True(t, semaphore.TryAcquire(3))
	semaphore.Release(7)
	require.Equal(t, 3, semaphore.Acquired())
	require.True(t, lease.NewSemaphore(0).TryAcquire(1_000_000))
}

// TestCapacityEstimateIsIndependentOfWorkers checks the budget and the capacity fractions of an estimate, which all workers of
// a process share: several workers load a server in slow start no more than one.
func TestCapacityEstimateIsIndependentOfWorkers(t *testing.T) {
	settings := slowstart.Settings{InitialFraction: 0.2, Duration: 10, OverloadFactor: 2.5, OverloadWindow: 1.5}
	estimate := lease.NewCapacityEstimate(settings, 2, rand.New(rand.NewPCG(1, 2)))
	for i := range 1000 { // 100 answers per second from 10 warm servers: 10 per second from each
		estimate.Answered(100+float64(i)/100, 10)
	}
	require.InDelta(t, 0.8*2.5*0.2*1.5*10*(1-1/7.4), estimate.Budget(0.2, 0, 110, 10), 1.5)
	require.Equal(t, 1.0, estimate.CapacityFraction(0, 110), "a server without a start time is warm")
	require.Equal(t, 0.2, estimate.CapacityFraction(110, 110))
	require.Equal(t, 0.2, estimate.CapacityFraction(115, 110), "a start time in the future, from a clock that is ahead, means slow start")
	require.Equal(t, 1.0, estimate.CapacityFraction(99, 110))
	blank := lease.NewCapacityEstimate(settings, 2, rand.New(rand.NewPCG(1, 2)))
	require.Equal(t, 0.0, blank.Budget(0.2, 0.4, 110, 10))
	require.Equal(t, 1.0, blank.Budget(0.2, 0.6, 110, 10), "a broker without observations may send a part occasionally")
}

func BenchmarkRenew(b *testing.B) {
	budget := lease.NewBudget(4, 1.5)
	for i := range b.N {
		now := 10 + 0.001*float64(i)
		if l := budget.Renew(i%4, 50, now); l.Parts > 0 {
			budget.Spend(i%4, 1, now)
		}
	}
}

// TestSemaphoreResize checks that units in excess of a reduced capacity stay acquired, and that an increased or removed limit
// applies at once.
func TestSemaphoreResize(t *testing.T) {
	semaphore := lease.NewSemaphore(10)
	require.True(t, semaphore.TryAcquire(8))
	semaphore.Resize(5)
	require.False(t, semaphore.TryAcquire(1))
	semaphore.Release(4)
	require.True(t, semaphore.TryAcquire(1))
	require.False(t, semaphore.TryAcquire(1))
	semaphore.Resize(7)
	require.True(t, semaphore.TryAcquire(2))
	require.False(t, semaphore.TryAcquire(1))
	semaphore.Resize(0)
	require.True(t, semaphore.TryAcquire(1_000))
	semaphore.Resize(7)
	require.False(t, semaphore.TryAcquire(1))
}
