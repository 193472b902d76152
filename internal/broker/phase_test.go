package broker_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// scoredResult returns the result of an answered part, with a score.
func scoredResult(score int64, value string) broker.CallResult {
	return broker.CallResult{Status: decision.OK, Score: score, Scored: true, LoadReport: decision.NoLoadReport, Value: []byte(value)}
}

// firstPhase submits a query with the id q and answers all parts of its first phase. Lower shards get higher scores.
func (h *harness) firstPhase(class, parts int) (query decision.RequestID, answer client, request *broker.Request) {
	query, first, answer, request := h.submit("q", class, parts, 2*time.Second)
	h.updateEndpoints(decision.DeltaUpdate, "s1", 1, decision.Ready, "s2", 2, decision.Ready, "s3", 3, decision.Ready, "s0", 0, decision.Ready)
	for i := range parts {
		h.send(first+decision.RequestID(i), serverOf(i+1)).Finish(scoredResult(int64(-i), "first"))
		awaitEvent[decision.AttemptFinished](h)
	}
	return query, answer, request
}

// serverOf returns a server that holds a shard, with one server in each of four replica sets.
func serverOf(shard int) string { return []string{"s0", "s1", "s2", "s3"}[shard%4] }

// wantSecondPhase is a simple reference implementation of the selection of shards for the second phase. It returns at most
// fanout of the answered shards, in descending order of score and by shard where scores are equal.
func wantSecondPhase(scores map[int]int64, fanout int) (chosen []int) {
	for len(chosen) < fanout && len(chosen) < len(scores) {
		best := -1
		for shard, score := range scores {
			if !slices.Contains(chosen, shard) &&
				(best < 0 || score > scores[best] || score == scores[best] && shard < best) {
				best = shard
			}
		}
		chosen = append(chosen, best)
	}
	return chosen
}

func TestSecondPhaseSelectsHighestScores(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := newHarness(t)
		h.updateEndpoints(decision.DeltaUpdate, "s3", 3, decision.Ready)
		class := twoPhase
		parts := 1 + rng.IntN(6)
		if seed%2 == 1 {
			class = twoPhasePartial
		}
		query, first, answer, _ := h.submit("q", class, parts, 2*time.Second)
		scores := map[int]int64{}
		var answered []int
		missing := 0
		for _, i := range rng.Perm(parts) {
			if class == twoPhasePartial && missing < parts/2 && rng.IntN(3) == 0 {
				missing++
				continue
			}
			scores[i+1] = int64(rng.IntN(3)) // of three values, so that some are equal
			h.send(first+decision.RequestID(i), serverOf(i+1)).Finish(scoredResult(scores[i+1], "first"))
			awaitEvent[decision.AttemptFinished](h)
			answered = append(answered, i+1)
		}
		slices.Sort(answered)
		h.perform(decision.Respond{ID: query, Complete: true})
		want := wantSecondPhase(scores, 2)
		var second []decision.Part
		for range want {
			second = append(second, awaitEvent[decision.Part](h))
		}
		require.Empty(t, h.events)
		var values []broker.Value
		for i, pt := range second {
			require.Equal(t, want[i], pt.Shard)
			require.InDelta(t, 1/float64(len(want)), pt.Weight, 1e-9)
			call := h.send(pt.ID, serverOf(pt.Shard))
			require.Equal(t, &broker.FirstPhase{AnsweredShards: answered, Complete: missing == 0}, call.FirstPhase)
			call.Finish(broker.CallResult{Status: decision.OK, LoadReport: decision.NoLoadReport, Value: []byte("second")}) // no score in the second phase
			awaitEvent[decision.AttemptFinished](h)
			values = append(values, broker.Value{Shard: pt.Shard, Data: []byte("second")})
		}
		h.perform(decision.Respond{ID: query, Complete: true})
		require.Equal(t, broker.Result{Complete: missing == 0, Values: values}, <-answer, "seed %d", seed)
	}
}

func TestFirstPhaseResultWithoutScoreFailsAttempt(t *testing.T) {
	h := newHarness(t)
	_, part, _, _ := h.submit("q", twoPhase, 1, time.Second)
	h.send(part, "s1").Finish(callResult(decision.OK))
	require.Equal(t, decision.Error, awaitEvent[decision.AttemptFinished](h).Status)
	h.send(part, "s2").Finish(scoredResult(1, "v"))
	require.Equal(t, decision.OK, awaitEvent[decision.AttemptFinished](h).Status)
}

func TestNoSecondPhaseBelowMinCompleteness(t *testing.T) {
	for class, want := range map[int]broker.Outcome{twoPhase: broker.Failed, twoPhasePartial: broker.Failed} {
		h := newHarness(t)
		query, part, answer, _ := h.submit("q", class, 3, time.Second)
		h.send(part, "s1").Finish(scoredResult(1, "v"))
		awaitEvent[decision.AttemptFinished](h)
		h.perform(decision.Respond{ID: query, Complete: true})
		require.Equal(t, broker.Result{Outcome: want}, <-answer)
	}
}

// The second phase needs all its parts, or the class's minimum completeness for a partial answer. The answer is complete only
// if both phases are complete. Here one of the two parts of the second phase is answered.
func TestSecondPhaseCompleteness(t *testing.T) {
	for class, want := range map[int]broker.Result{
		twoPhase:        {Outcome: broker.Failed},
		twoPhasePartial: {Values: []broker.Value{{Shard: 1, Data: []byte("second")}}},
	} {
		h := newHarness(t)
		query, answer, _ := h.firstPhase(class, 3)
		h.perform(decision.Respond{ID: query, Complete: true})
		h.send(awaitEvent[decision.Part](h).ID, "s1").Finish(scoredResult(0, "second")) // one of two
		awaitEvent[decision.AttemptFinished](h)
		h.perform(decision.Respond{ID: query, Complete: true})
		require.Equal(t, want, <-answer)
	}
}

func TestDisconnectBetweenPhases(t *testing.T) {
	h := newHarness(t)
	query, answer, request := h.firstPhase(twoPhase, 3)
	h.perform(decision.Respond{ID: query, Complete: true})
	second, other := awaitEvent[decision.Part](h).ID, awaitEvent[decision.Part](h).ID
	queued := h.send(second, "s1")
	h.broker.Disconnect(request)
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	require.Equal(t, query, awaitEvent[decision.ClientDisconnected](h).ID)
	require.False(t, queued.TryStart())
	h.perform(decision.Send{ID: other, Server: "s2"}, decision.Respond{ID: query, Complete: true})
	require.Empty(t, h.sentCalls)
	require.Empty(t, answer)
	h.submit("q", twoPhase, 6, time.Second) // the id and the slots have been released
}

func TestDrainBetweenPhases(t *testing.T) {
	h := newHarness(t)
	query, _, _ := h.firstPhase(twoPhase, 3)
	h.perform(decision.Respond{ID: query, Complete: true})
	second := awaitEvent[decision.Part](h).ID
	queued := h.send(second, "s1")
	h.updateEndpoints(decision.DeltaUpdate, "s1", 1, decision.Draining)
	require.False(t, queued.TryStart())
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	h.perform(decision.Send{ID: second, Server: "s1"})
	require.Equal(t, decision.NotSent, awaitEvent[decision.AttemptFinished](h).Status)
	h.send(second, "s2").Finish(scoredResult(0, "second"))
	require.Equal(t, decision.OK, awaitEvent[decision.AttemptFinished](h).Status)
}

// At the shutdown deadline a query whose second phase is incomplete is rejected, since values of the first phase are not an
// answer. A query whose second phase is complete is answered.
func TestShutdownBetweenPhases(t *testing.T) {
	rejected := broker.Result{Outcome: broker.Rejected, RetryAfter: 0.5}
	for _, answered := range []int{0, 1, 2} {
		h := newHarness(t)
		query, answer, _ := h.firstPhase(twoPhase, 3)
		h.perform(decision.Respond{ID: query, Complete: true})
		second := []decision.Part{awaitEvent[decision.Part](h), awaitEvent[decision.Part](h)}
		var values []broker.Value
		for i := range answered {
			h.send(second[i].ID, serverOf(i+1)).Finish(scoredResult(0, "second"))
			awaitEvent[decision.AttemptFinished](h)
			values = append(values, broker.Value{Shard: i + 1, Data: []byte("second")})
		}
		h.broker.SetShutdownDeadline(time.Now().Add(50 * time.Millisecond))
		want := rejected
		if answered == 2 {
			want = broker.Result{Complete: true, Values: values}
		}
		require.Equal(t, want, <-answer)
	}
	h := newHarness(t)
	_, answer, _ := h.firstPhase(twoPhase, 3) // the first phase is complete, the second has not started
	h.broker.SetShutdownDeadline(time.Now().Add(50 * time.Millisecond))
	require.Equal(t, rejected, <-answer)
}

// Attempts of the first phase that are in flight end with it: the late result of a started attempt is ignored, and a queued
// attempt does not start.
func TestSecondPhaseEndsFirstPhaseAttempts(t *testing.T) {
	h := newHarness(t)
	query, first, answer, _ := h.submit("q", twoPhasePartial, 4, 2*time.Second)
	h.updateEndpoints(decision.DeltaUpdate, "s3", 3, decision.Ready)
	for i := range 2 {
		h.send(first+decision.RequestID(i), serverOf(i+1)).Finish(scoredResult(int64(i), "first"))
		awaitEvent[decision.AttemptFinished](h)
	}
	late := h.send(first+2, "s3")
	require.True(t, late.TryStart())
	queued := h.send(first+3, "s0")
	h.perform(decision.Respond{ID: query})
	require.Equal(t, first+3, awaitEvent[decision.AttemptFinished](h).ID)
	require.False(t, queued.TryStart())
	a, b := awaitEvent[decision.Part](h), awaitEvent[decision.Part](h)
	require.Equal(t, []int{2, 1}, []int{a.Shard, b.Shard})
	late.Finish(scoredResult(9, "late"))
	require.Equal(t, first+2, awaitEvent[decision.AttemptFinished](h).ID)
	h.perform(decision.Send{ID: first + 2, Server: "s3"})
	require.Empty(t, h.sentCalls)
	for _, pt := range []decision.Part{a, b} {
		h.send(pt.ID, serverOf(pt.Shard)).Finish(scoredResult(0, "second"))
		awaitEvent[decision.AttemptFinished](h)
	}
	h.perform(decision.Respond{ID: query, Complete: true})
	got := <-answer
	require.False(t, got.Complete)
	slices.SortFunc(got.Values, func(a, b broker.Value) int { return cmp.Compare(a.Shard, b.Shard) })
	require.Equal(t, []broker.Value{{1, []byte("second")}, {2, []byte("second")}}, got.Values)
}

// Of the 7 slots a query with six parts uses all in its first phase, and three in its second phase, which has two parts.
func TestSecondPhaseReleasesSlots(t *testing.T) {
	h := newHarness(t)
	query, answer, _ := h.firstPhase(twoPhase, 6)
	rejectedAnswer := make(client, 1)
	h.broker.Submit(&broker.Request{ID: "q2", ReceivedAt: time.Now(), Timeout: time.Second, Parts: make([]broker.Part, 1)}, rejectedAnswer)
	require.Equal(t, broker.Rejected, (<-rejectedAnswer).Outcome)
	h.perform(decision.Respond{ID: query, Complete: true})
	h.submit("q3", idempotent, 3, time.Second)
	h.broker.Submit(&broker.Request{ID: "q4", ReceivedAt: time.Now(), Timeout: time.Second, Parts: make([]broker.Part, 1)}, rejectedAnswer)
	require.Equal(t, broker.Rejected, (<-rejectedAnswer).Outcome)
	h.perform(decision.Reject{ID: query})
	require.Equal(t, broker.Rejected, (<-answer).Outcome)
	h.submit("q5", idempotent, 2, time.Second)
}
