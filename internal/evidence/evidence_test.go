package evidence_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/decision"
	"mothrouter/internal/evidence"
)

func see(kind evidence.Kind) evidence.Seen {
	return evidence.Seen{Kind: kind, Latency: 0.02, Load: decision.NoLoadReport}
}

func TestAFailureIsHeardByTheOthers(t *testing.T) {
	b := evidence.NewBoard(3)
	b.See(0, "s", 10, see(evidence.Failed))
	require.Empty(t, b.Take(0, 10.01), "a worker hears nothing of its own")
	one := b.Take(1, 10.01)
	require.Len(t, one, 1)
	require.Equal(t, 1.0, one[0].FailureRatio)
	require.InDelta(t, 0.5, one[0].Weight, 0.01)
	b.See(1, "s", 10.1, see(evidence.Failed))
	two := b.Take(2, 10.2)
	require.Len(t, two, 1)
	require.Greater(t, two[0].Weight, one[0].Weight, "two witnesses weigh more")
	require.Empty(t, b.Take(2, 10.5), "the same is not told twice")
}

// One worker's bad path: the others are answered there all the time.
func TestAnswersOfOnesOwnSpeakAgainstHearsay(t *testing.T) {
	b := evidence.NewBoard(2)
	for i := range 20 {
		now := 10 + 0.05*float64(i)
		b.See(1, "s", now, see(evidence.Good))
		b.See(0, "s", now+0.01, see(evidence.Failed))
		for _, h := range b.Take(1, now+0.02) {
			require.Less(t, h.Weight, 0.02)
		}
	}
	b.See(0, "s", 20, see(evidence.Failed))
	b.See(1, "s", 20.01, see(evidence.Good)) // newer and its own
	require.Empty(t, b.Take(1, 20.1))
}

func TestRecoveryIsHeardByThoseThatHoldItForBad(t *testing.T) {
	b := evidence.NewBoard(3)
	b.See(0, "s", 10, see(evidence.Failed))
	require.Len(t, b.Take(1, 10.1), 1)
	b.See(2, "s", 10.5, see(evidence.Good))
	for _, w := range []int{0, 1} {
		h := b.Take(w, 10.6)
		require.Len(t, h, 1, "worker %d", w)
		require.Equal(t, 0.0, h[0].FailureRatio)
	}
	require.Empty(t, b.Take(2, 10.7))
}

// A server that hangs ends no attempt. Waits that were given up tell of it, unless it answers others meanwhile.
func TestSilenceIsToldFromSlowness(t *testing.T) {
	given := evidence.Seen{Kind: evidence.Silent, Latency: 0.4, Load: decision.NoLoadReport}
	b := evidence.NewBoard(2)
	for i := range 50 {
		b.See(0, "other", 9+0.01*float64(i), see(evidence.Good))
	}
	b.See(0, "hangs", 10, given)
	require.Equal(t, "hangs", b.Take(1, 10.01)[0].Server)
	b.See(1, "slow", 10.9, see(evidence.Good)) // it answered while the other waited
	b.See(0, "slow", 11, given)
	require.Empty(t, b.Take(1, 11.1))
	quick := given
	quick.Latency = 0.03
	b.See(0, "cancelled soon", 12, quick)
	require.Empty(t, b.Take(1, 12.1))
}

func TestLoadReportsAreSharedNowAndThen(t *testing.T) {
	b := evidence.NewBoard(2)
	n := 0
	for i := range 100 {
		now := 10 + 0.01*float64(i)
		b.See(0, "s", now, evidence.Seen{Kind: evidence.Good, Latency: 0.01, Load: decision.LoadReport{Utilization: now}})
		for _, h := range b.Take(1, now) {
			require.Equal(t, now, h.LoadReport.Utilization)
			require.Zero(t, h.Weight)
			n++
		}
	}
	require.Greater(t, n, 2)
	require.Less(t, n, 7, "a report costs the listener a little each time")
}

func TestWhatWasSeenOfAProcessEndsWithIt(t *testing.T) {
	b := evidence.NewBoard(2)
	b.See(0, "s", 10, see(evidence.Failed))
	b.Forget("s")
	require.Empty(t, b.Take(1, 10.1))
	require.Zero(t, b.Len())
}

// Over any schedule: hearsay is never older than MaxAge nor than the listener's own news, it comes from another
// worker, its weight stays in bounds, and a call brings a bounded number.
func TestHearsayIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const workers, servers = 3, 4
		b := evidence.NewBoard(workers)
		now := 10.0
		var own [workers][servers]float64
		last := [servers][workers]float64{} // the latest that anyone but... each worker saw
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.5).Draw(t, "pause")
			w, s := rapid.IntRange(0, workers-1).Draw(t, "worker"), rapid.IntRange(0, servers-1).Draw(t, "server")
			if rapid.Bool().Draw(t, "sees") {
				k := evidence.Kind(rapid.IntRange(0, 2).Draw(t, "kind"))
				latency := rapid.Float64Range(0, 1).Draw(t, "latency")
				b.See(w, fmt.Sprint(s), now, evidence.Seen{Kind: k, Latency: latency, Load: decision.NoLoadReport})
				if k != evidence.Silent {
					own[w][s] = now
				}
				last[s][w] = now
				continue
			}
			heard := b.Take(w, now)
			if len(heard) > 64 {
				t.Fatalf("%d pieces at once", len(heard))
			}
			for _, h := range heard {
				var id int
				fmt.Sscan(h.Server, &id)
				from := false
				for other := range workers {
					from = from || other != w && last[id][other] > 0 && h.At <= last[id][other]
				}
				if !from || now-h.At > evidence.MaxAge || h.At <= own[w][id] || h.Weight < 0 || h.Weight > 0.75 {
					t.Fatalf("worker %d hears %+v at %g, own news %g", w, h, now, own[w][id])
				}
			}
		}
	})
}

func BenchmarkSeeAndTake(b *testing.B) {
	board := evidence.NewBoard(4)
	ids := make([]string, 200)
	for i := range ids {
		ids[i] = fmt.Sprint("s", i)
	}
	load := decision.LoadReport{Utilization: 0.5}
	for i := range b.N {
		now := 10 + 0.0001*float64(i)
		board.See(i%4, ids[i%200], now, evidence.Seen{Kind: evidence.Good, Latency: 0.02, Load: load})
		board.Take((i+1)%4, now)
	}
}
