package lease_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/estimate/slowstart"
	"mothrouter/internal/workers/lease"
)

// For any schedule of overlapping decisions, sends, pauses and changing capacities: what is sent within a window and what is
// granted never exceed the largest recent capacity, and no worker sends beyond its lease, however long it takes to decide.
func TestLeasesNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 8).Draw(t, "workers")
		const window = 1.5
		r := lease.NewBudget(workers, window)
		now, capacity := 100.0, 0
		type decision struct {
			at    float64
			grant lease.Lease
		}
		deciding := make([]*decision, workers)
		type pastCapacity struct {
			at       float64
			capacity int
		}
		var capacities []pastCapacity // recent ones
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.2).Draw(t, "pause")
			w := rapid.IntRange(0, workers-1).Draw(t, "worker")
			if d := deciding[w]; d != nil {
				n := rapid.IntRange(0, d.grant.Parts).Draw(t, "sent")
				if n > 0 && d.at <= d.grant.ExpiresAt && !r.Spend(w, n, d.at) {
					t.Fatalf("%d parts are beyond a lease of %+v", n, d.grant)
				}
				r.EndDecision(w)
				deciding[w] = nil
			} else {
				capacity = rapid.IntRange(max(0, capacity-1), capacity+2).Draw(t, "capacity")
				capacities = append(capacities, pastCapacity{now, capacity})
				g := r.Renew(w, float64(capacity), now)
				if g.Parts > 0 && (now > g.ExpiresAt || g.ExpiresAt > now+lease.Duration+1e-9) {
					t.Fatalf("a lease until %g at %g", g.ExpiresAt, now)
				}
				deciding[w] = &decision{now, g}
			}
			oldest := now
			for _, d := range deciding {
				if d != nil {
					oldest = min(oldest, d.at)
				}
			}
			bound := 0
			for _, o := range capacities {
				if o.at >= oldest-window-lease.Duration-0.2 {
					bound = max(bound, o.capacity)
				}
			}
			if sent, granted := r.Outstanding(now); sent+granted > bound {
				t.Fatalf("%d sent and %d granted of %d", sent, granted, bound)
			}
		}
	})
}

func TestExpiredLeaseGrantsNothing(t *testing.T) {
	r := lease.NewBudget(2, 1.5)
	require.Equal(t, 4, r.Renew(0, 8, 10).Parts)
	r.EndDecision(0)
	require.False(t, r.Spend(0, 1, 10+lease.Duration+0.01))
	r = lease.NewBudget(2, 1.5)
	r.Renew(0, 8, 10)
	require.True(t, r.Spend(0, 4, 10+lease.Duration/2))
	require.False(t, r.Spend(0, 1, 10+lease.Duration/2))
}

// What one worker does not use is granted to the one that does.
func TestLeasesFollowDemand(t *testing.T) {
	r := lease.NewBudget(4, 1.5)
	busy, idle := 0, 0
	for i := range 400 { // four seconds, all renew; only worker 2 has parts to send
		now := 10 + 0.01*float64(i)
		for w := range 4 {
			g := r.Renew(w, 20, now)
			r.EndDecision(w)
			if w == 2 && g.Parts > 0 {
				require.True(t, r.Spend(w, 1, now))
				busy++
			} else if w != 2 {
				idle = max(idle, g.Parts)
			}
		}
	}
	require.Greater(t, busy, 40, "of 53 that four seconds of a capacity of 20 in 1.5 s allow")
	require.LessOrEqual(t, busy, 60)
	require.LessOrEqual(t, idle, 5)
}

// With a capacity below the number of workers, single parts are granted in turn, and an idle worker delays no other.
func TestSinglePartsGoRoundRobin(t *testing.T) {
	r := lease.NewBudget(4, 0.5)
	got := make([]int, 4)
	for i := range 4000 {
		now := 10 + 0.01*float64(i)
		for w := range 3 { // the fourth never renews
			g := r.Renew(w, 1, now)
			r.EndDecision(w)
			if g.Parts == 0 {
				r.RecordUnmetDemand(w, now)
			} else if r.Spend(w, 1, now) {
				got[w]++
			}
		}
	}
	for w := range 3 {
		require.Greater(t, got[w], 10, "worker %d of %v", w, got)
	}
	require.LessOrEqual(t, got[0]+got[1]+got[2], 81)
}

func TestSemaphoreIsExact(t *testing.T) {
	c := lease.NewSemaphore(10)
	require.True(t, c.TryAcquire(7))
	require.False(t, c.TryAcquire(4))
	require.True(t, c.TryAcquire(3))
	c.Release(7)
	require.Equal(t, 3, c.Acquired())
	require.True(t, lease.NewSemaphore(0).TryAcquire(1_000_000))
}

// A process of four workers bears on a cold server as one of a single worker does.
func TestCapacityEstimateIsIndependentOfWorkers(t *testing.T) {
	l := slowstart.Settings{InitialFraction: 0.2, Duration: 10, OverloadFactor: 2.5, OverloadWindow: 1.5}
	b := lease.NewCapacityEstimate(l, 2, rand.New(rand.NewPCG(1, 2)))
	for i := range 1000 { // 100 answers a second from 10 warm servers: 10 a second each
		b.Answered(100+float64(i)/100, 10)
	}
	require.InDelta(t, 0.8*2.5*0.2*1.5*10*(1-1/7.4), b.Budget(0.2, 0, 110, 10), 1.5)
	require.Equal(t, 1.0, b.CapacityFraction(0, 110), "no start is told")
	require.Equal(t, 0.2, b.CapacityFraction(110, 110))
	require.Equal(t, 0.2, b.CapacityFraction(115, 110), "a clock behind the server's is no reason to trust it")
	require.Equal(t, 1.0, b.CapacityFraction(99, 110))
	blank := lease.NewCapacityEstimate(l, 2, rand.New(rand.NewPCG(1, 2)))
	require.Equal(t, 0.0, blank.Budget(0.2, 0.4, 110, 10))
	require.Equal(t, 1.0, blank.Budget(0.2, 0.6, 110, 10), "a broker that has seen nothing may try now and then")
}

func BenchmarkRenew(b *testing.B) {
	r := lease.NewBudget(4, 1.5)
	for i := range b.N {
		now := 10 + 0.001*float64(i)
		if g := r.Renew(i%4, 50, now); g.Parts > 0 {
			r.Spend(i%4, 1, now)
		}
	}
}

// A budget that shrinks takes nothing back, and one that grows, or loses its bound, holds at once.
func TestSemaphoreResize(t *testing.T) {
	c := lease.NewSemaphore(10)
	require.True(t, c.TryAcquire(8))
	c.Resize(5)
	require.False(t, c.TryAcquire(1))
	c.Release(4)
	require.True(t, c.TryAcquire(1))
	require.False(t, c.TryAcquire(1))
	c.Resize(7)
	require.True(t, c.TryAcquire(2))
	require.False(t, c.TryAcquire(1))
	c.Resize(0)
	require.True(t, c.TryAcquire(1_000))
	c.Resize(7)
	require.False(t, c.TryAcquire(1))
}
