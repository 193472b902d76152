package observations_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/decision"
	"mothrouter/internal/workers/observations"
)

// observation returns an observation of a kind without a load report.
func observation(kind observations.Kind) observations.Observation {
	return observations.Observation{Kind: kind, Latency: 0.02, LoadReport: decision.NoLoadReport}
}

func TestFailureIsOfferedToOtherWorkers(t *testing.T) {
	shared := observations.NewShared(3)
	shared.Record(0, "s", 10, observation(observations.Failed))
	require.Empty(t, shared.Collect(0, 10.01), "a worker's own failure must not be offered to it")
	oneWitness := shared.Collect(1, 10.01)
	require.Len(t, oneWitness, 1)
	require.Equal(t, 1.0, oneWitness[0].FailureRatio)
	require.InDelta(t, 0.5, oneWitness[0].Weight, 0.01)
	shared.Record(1, "s", 10.1, observation(observations.Failed))
	twoWitnesses := shared.Collect(2, 10.2)
	require.Len(t, twoWitnesses, 1)
	require.Greater(t, twoWitnesses[0].Weight, oneWitness[0].Weight, "a second witness must increase the weight")
	require.Empty(t, shared.Collect(2, 10.5), "an observation must not be offered twice")
}

// TestOwnAnswersReduceWeightOfPeerFailures checks that a worker that receives answers from a server largely ignores the
// failures of another worker, whose path to the server may be broken.
func TestOwnAnswersReduceWeightOfPeerFailures(t *testing.T) {
	shared := observations.NewShared(2)
	for i := range 20 {
		now := 10 + 0.05*float64(i)
		shared.Record(1, "s", now, observation(observations.Answered))
		shared.Record(0, "s", now+0.01, observation(observations.Failed))
		for _, o := range shared.Collect(1, now+0.02) {
			require.Less(t, o.Weight, 0.02)
		}
	}
	shared.Record(0, "s", 20, observation(observations.Failed))
	shared.Record(1, "s", 20.01, observation(observations.Answered)) // the worker's own, newer observation
	require.Empty(t, shared.Collect(1, 20.1))
}

func TestRecoveryIsOfferedToWorkersThatMarkedServerUnhealthy(t *testing.T) {
	shared := observations.NewShared(3)
	shared.Record(0, "s", 10, observation(observations.Failed))
	require.Len(t, shared.Collect(1, 10.1), 1)
	shared.Record(2, "s", 10.5, observation(observations.Answered))
	for _, w := range []int{0, 1} {
		collected := shared.Collect(w, 10.6)
		require.Len(t, collected, 1, "worker %d", w)
		require.Equal(t, 0.0, collected[0].FailureRatio)
	}
	require.Empty(t, shared.Collect(2, 10.7))
}

// TestSlowServerIsNotSilent checks that attempts that timed out at a hanging server count as a failure, but not if the server
// answered another worker during the wait, nor if the wait was short.
func TestSlowServerIsNotSilent(t *testing.T) {
	timedOut := observations.Observation{Kind: observations.TimedOut, Latency: 0.4, LoadReport: decision.NoLoadReport}
	shared := observations.NewShared(2)
	for i := range 50 {
		shared.Record(0, "other", 9+0.01*float64(i), observation(observations.Answered))
	}
	shared.Record(0, "hanging", 10, timedOut)
	require.Equal(t, "hanging", shared.Collect(1, 10.01)[0].Server)
	shared.Record(1, "slow", 10.9, observation(observations.Answered)) // during the wait of worker 0
	shared.Record(0, "slow", 11, timedOut)
	require.Empty(t, shared.Collect(1, 11.1))
	shortWait := timedOut
	shortWait.Latency = 0.03
	shared.Record(0, "cancelled early", 12, shortWait)
	require.Empty(t, shared.Collect(1, 12.1))
}

func TestLoadReportsAreRateLimited(t *testing.T) {
	shared := observations.NewShared(2)
	offers := 0
	for i := range 100 {
		now := 10 + 0.01*float64(i)
		shared.Record(0, "s", now, observations.Observation{Kind: observations.Answered, Latency: 0.01,
			LoadReport: decision.LoadReport{Utilization: now}})
		for _, o := range shared.Collect(1, now) {
			require.Equal(t, now, o.LoadReport.Utilization)
			require.Zero(t, o.Weight)
			offers++
		}
	}
	require.Greater(t, offers, 2)
	require.Less(t, offers, 7, "handling a load report costs the collecting worker time")
}

func TestForgetDropsObservations(t *testing.T) {
	shared := observations.NewShared(2)
	shared.Record(0, "s", 10, observation(observations.Failed))
	shared.Forget("s")
	require.Empty(t, shared.Collect(1, 10.1))
	require.Zero(t, shared.Len())
}

// TestObservationsAreBounded checks, for random schedules, that each collected observation comes from another worker, is no
// older than MaxAge and newer than the collecting worker's own, and has a bounded weight, and that the number of observations
// per call is bounded.
func TestObservationsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const workers, servers = 3, 4
		shared := observations.NewShared(workers)
		now := 10.0
		var ownAt [workers][servers]float64   // time of each worker's latest answer or failure
		lastAt := [servers][workers]float64{} // time of each worker's latest observation
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.5).Draw(t, "pause")
			w, s := rapid.IntRange(0, workers-1).Draw(t, "worker"), rapid.IntRange(0, servers-1).Draw(t, "server")
			if rapid.Bool().Draw(t, "records") {
				kind := observations.Kind(rapid.IntRange(0, 2).Draw(t, "kind"))
				latency := rapid.Float64Range(0, 1).Draw(t, "latency")
				shared.Record(w, fmt.Sprint(s), now,
					observations.Observation{Kind: kind, Latency: latency, LoadReport: decision.NoLoadReport})
				if kind != observations.TimedOut {
					ownAt[w][s] = now
				}
				lastAt[s][w] = now
				continue
			}
			collected := shared.Collect(w, now)
			if len(collected) > 64 {
				t.Fatalf("one call returned %d observations, want at most 64", len(collected))
			}
			for _, o := range collected {
				var id int
				fmt.Sscan(o.Server, &id)
				fromPeer := false
				for other := range workers {
					fromPeer = fromPeer || other != w && lastAt[id][other] > 0 && o.At <= lastAt[id][other]
				}
				if !fromPeer || now-o.At > observations.MaxAge || o.At <= ownAt[w][id] || o.Weight < 0 || o.Weight > 0.75 {
					t.Fatalf("worker %d collected %+v at %g, but its own latest observation is from %g", w, o, now, ownAt[w][id])
				}
			}
		}
	})
}

func BenchmarkRecordAndCollect(b *testing.B) {
	shared := observations.NewShared(4)
	ids := make([]string, 200)
	for i := range ids {
		ids[i] = fmt.Sprint("s", i)
	}
	load := decision.LoadReport{Utilization: 0.5}
	for i := range b.N {
		now := 10 + 0.0001*float64(i)
		shared.Record(i%4, ids[i%200], now, observations.Observation{Kind: observations.Answered, Latency: 0.02, LoadReport: load})
		shared.Collect((i+1)%4, now)
	}
}
