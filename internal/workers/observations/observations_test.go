package observations_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/decision"
	"mothrouter/internal/workers/observations"
)

func see(kind observations.Kind) observations.Observation {
	return observations.Observation{Kind: kind, Latency: 0.02, LoadReport: decision.NoLoadReport}
}

func TestFailureIsOfferedToOtherWorkers(t *testing.T) {
	b := observations.NewShared(3)
	b.Record(0, "s", 10, see(observations.Failed))
	require.Empty(t, b.Collect(0, 10.01), "a worker hears nothing of its own")
	one := b.Collect(1, 10.01)
	require.Len(t, one, 1)
	require.Equal(t, 1.0, one[0].FailureRatio)
	require.InDelta(t, 0.5, one[0].Weight, 0.01)
	b.Record(1, "s", 10.1, see(observations.Failed))
	two := b.Collect(2, 10.2)
	require.Len(t, two, 1)
	require.Greater(t, two[0].Weight, one[0].Weight, "two witnesses weigh more")
	require.Empty(t, b.Collect(2, 10.5), "the same is not told twice")
}

// One worker's bad path: the others are answered there all the time.
func TestOwnAnswersReduceWeightOfPeerFailures(t *testing.T) {
	b := observations.NewShared(2)
	for i := range 20 {
		now := 10 + 0.05*float64(i)
		b.Record(1, "s", now, see(observations.Answered))
		b.Record(0, "s", now+0.01, see(observations.Failed))
		for _, h := range b.Collect(1, now+0.02) {
			require.Less(t, h.Weight, 0.02)
		}
	}
	b.Record(0, "s", 20, see(observations.Failed))
	b.Record(1, "s", 20.01, see(observations.Answered)) // newer and its own
	require.Empty(t, b.Collect(1, 20.1))
}

func TestRecoveryIsOfferedToWorkersThatMarkedUnhealthy(t *testing.T) {
	b := observations.NewShared(3)
	b.Record(0, "s", 10, see(observations.Failed))
	require.Len(t, b.Collect(1, 10.1), 1)
	b.Record(2, "s", 10.5, see(observations.Answered))
	for _, w := range []int{0, 1} {
		h := b.Collect(w, 10.6)
		require.Len(t, h, 1, "worker %d", w)
		require.Equal(t, 0.0, h[0].FailureRatio)
	}
	require.Empty(t, b.Collect(2, 10.7))
}

// A hanging server ends no attempt. Attempts that timed out are observations of it, unless it answers others meanwhile.
func TestSlowServerIsNotSilent(t *testing.T) {
	given := observations.Observation{Kind: observations.TimedOut, Latency: 0.4, LoadReport: decision.NoLoadReport}
	b := observations.NewShared(2)
	for i := range 50 {
		b.Record(0, "other", 9+0.01*float64(i), see(observations.Answered))
	}
	b.Record(0, "hangs", 10, given)
	require.Equal(t, "hangs", b.Collect(1, 10.01)[0].Server)
	b.Record(1, "slow", 10.9, see(observations.Answered)) // it answered while the other waited
	b.Record(0, "slow", 11, given)
	require.Empty(t, b.Collect(1, 11.1))
	quick := given
	quick.Latency = 0.03
	b.Record(0, "cancelled soon", 12, quick)
	require.Empty(t, b.Collect(1, 12.1))
}

func TestLoadReportsAreRateLimited(t *testing.T) {
	b := observations.NewShared(2)
	n := 0
	for i := range 100 {
		now := 10 + 0.01*float64(i)
		b.Record(0, "s", now, observations.Observation{Kind: observations.Answered, Latency: 0.01, LoadReport: decision.LoadReport{Utilization: now}})
		for _, h := range b.Collect(1, now) {
			require.Equal(t, now, h.LoadReport.Utilization)
			require.Zero(t, h.Weight)
			n++
		}
	}
	require.Greater(t, n, 2)
	require.Less(t, n, 7, "each load report costs the collecting worker a little")
}

func TestForgetDropsObservations(t *testing.T) {
	b := observations.NewShared(2)
	b.Record(0, "s", 10, see(observations.Failed))
	b.Forget("s")
	require.Empty(t, b.Collect(1, 10.1))
	require.Zero(t, b.Len())
}

// For any schedule: a collected observation is never older than MaxAge nor than the collecting worker's own, it is another
// worker's, its weight is bounded, and so is the number of one call.
func TestObservationsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const workers, servers = 3, 4
		b := observations.NewShared(workers)
		now := 10.0
		var own [workers][servers]float64
		last := [servers][workers]float64{} // time of each worker's latest observation
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.5).Draw(t, "pause")
			w, s := rapid.IntRange(0, workers-1).Draw(t, "worker"), rapid.IntRange(0, servers-1).Draw(t, "server")
			if rapid.Bool().Draw(t, "sees") {
				k := observations.Kind(rapid.IntRange(0, 2).Draw(t, "kind"))
				latency := rapid.Float64Range(0, 1).Draw(t, "latency")
				b.Record(w, fmt.Sprint(s), now, observations.Observation{Kind: k, Latency: latency, LoadReport: decision.NoLoadReport})
				if k != observations.TimedOut {
					own[w][s] = now
				}
				last[s][w] = now
				continue
			}
			collected := b.Collect(w, now)
			if len(collected) > 64 {
				t.Fatalf("%d observations at once", len(collected))
			}
			for _, h := range collected {
				var id int
				fmt.Sscan(h.Server, &id)
				from := false
				for other := range workers {
					from = from || other != w && last[id][other] > 0 && h.At <= last[id][other]
				}
				if !from || now-h.At > observations.MaxAge || h.At <= own[w][id] || h.Weight < 0 || h.Weight > 0.75 {
					t.Fatalf("worker %d collects %+v at %g, own observation %g", w, h, now, own[w][id])
				}
			}
		}
	})
}

func BenchmarkRecordAndCollect(b *testing.B) {
	board := observations.NewShared(4)
	ids := make([]string, 200)
	for i := range ids {
		ids[i] = fmt.Sprint("s", i)
	}
	load := decision.LoadReport{Utilization: 0.5}
	for i := range b.N {
		now := 10 + 0.0001*float64(i)
		board.Record(i%4, ids[i%200], now, observations.Observation{Kind: observations.Answered, Latency: 0.02, LoadReport: load})
		board.Collect((i+1)%4, now)
	}
}
