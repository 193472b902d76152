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

// scored returns the result of an answered part with a score.
func scored(score int64, value string) broker.CallResult {
	return broker.CallResult{Status: decision.OK, Score: score, Scored: true, LoadReport: decision.NoLoadReport, Value: []byte(value)}
}

// firstPhase runs the first phase of query q: all parts are answered, with scores that fall with their shard.
func (r *harness) firstPhase(class, parts int) (query decision.RequestID, c client, req *broker.Request) {
	query, first, c, req := r.take("q", class, parts, 2*time.Second)
	r.list(decision.DeltaUpdate, "s1", 1, decision.Ready, "s2", 2, decision.Ready, "s3", 3, decision.Ready, "s0", 0, decision.Ready)
	for i := range parts {
		r.send(first+decision.RequestID(i), server(i+1)).Finish(scored(int64(-i), "first"))
		event[decision.AttemptFinished](r)
	}
	return query, c, req
}

// server returns a server that holds a shard, of four replica sets.
func server(shard int) string { return []string{"s0", "s1", "s2", "s3"}[shard%4] }

// wantSecondPhase is the second step by the slow and obvious rule: of the shards that are in, again and again the one with the
// highest score, the lower shard first where scores are equal.
func wantSecondPhase(scores map[int]int64, most int) (chosen []int) {
	for len(chosen) < most && len(chosen) < len(scores) {
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

func TestSecondPhaseGoesToTheHighestScores(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := newHarness(t)
		r.list(decision.DeltaUpdate, "s3", 3, decision.Ready)
		class, parts := twoPhase, 1+rng.IntN(6)
		if seed%2 == 1 {
			class = twoPhasePartial
		}
		q, first, c, _ := r.take("q", class, parts, 2*time.Second)
		scores, from, missing := map[int]int64{}, []int(nil), 0
		for _, i := range rng.Perm(parts) {
			if class == twoPhasePartial && missing < parts/2 && rng.IntN(3) == 0 {
				missing++
				continue
			}
			scores[i+1] = int64(rng.IntN(3)) // with equal ones among them
			r.send(first+decision.RequestID(i), server(i+1)).Finish(scored(scores[i+1], "first"))
			event[decision.AttemptFinished](r)
			from = append(from, i+1)
		}
		slices.Sort(from)
		r.do(decision.Respond{ID: q, Complete: true})
		want := wantSecondPhase(scores, 2)
		var second []decision.Part
		for range want {
			second = append(second, event[decision.Part](r))
		}
		require.Empty(t, r.events)
		var values []broker.Value
		for i, pt := range second {
			require.Equal(t, want[i], pt.Shard)
			require.InDelta(t, 1/float64(len(want)), pt.Weight, 1e-9)
			call := r.send(pt.ID, server(pt.Shard))
			require.Equal(t, &broker.FirstPhase{AnsweredShards: from, Complete: missing == 0}, call.FirstPhase)
			call.Finish(broker.CallResult{Status: decision.OK, LoadReport: decision.NoLoadReport, Value: []byte("second")}) // scores are over
			event[decision.AttemptFinished](r)
			values = append(values, broker.Value{Shard: pt.Shard, Data: []byte("second")})
		}
		r.do(decision.Respond{ID: q, Complete: true})
		require.Equal(t, broker.Result{Complete: missing == 0, Values: values}, <-c, "seed %d", seed)
	}
}

func TestAnswerWithoutScoreIsAFailedAttempt(t *testing.T) {
	r := newHarness(t)
	_, part, _, _ := r.take("q", twoPhase, 1, time.Second)
	r.send(part, "s1").Finish(done(decision.OK))
	require.Equal(t, decision.Error, event[decision.AttemptFinished](r).Status)
	r.send(part, "s2").Finish(scored(1, "v"))
	require.Equal(t, decision.OK, event[decision.AttemptFinished](r).Status)
}

func TestNoSecondPhaseBelowMinCompleteness(t *testing.T) {
	for class, want := range map[int]broker.Outcome{twoPhase: broker.Failed, twoPhasePartial: broker.Failed} {
		r := newHarness(t)
		q, part, c, _ := r.take("q", class, 3, time.Second)
		r.send(part, "s1").Finish(scored(1, "v"))
		event[decision.AttemptFinished](r)
		r.do(decision.Respond{ID: q, Complete: true})
		require.Equal(t, broker.Result{Outcome: want}, <-c)
	}
}

// The second phase needs all its parts, or the class's minimum completeness; it is complete only if both phases are.
func TestSecondPhaseNeedsEveryPart(t *testing.T) {
	for class, want := range map[int]broker.Result{
		twoPhase:        {Outcome: broker.Failed},
		twoPhasePartial: {Values: []broker.Value{{Shard: 1, Data: []byte("second")}}},
	} {
		r := newHarness(t)
		q, c, _ := r.firstPhase(class, 3)
		r.do(decision.Respond{ID: q, Complete: true})
		r.send(event[decision.Part](r).ID, "s1").Finish(scored(0, "second")) // one of two
		event[decision.AttemptFinished](r)
		r.do(decision.Respond{ID: q, Complete: true})
		require.Equal(t, want, <-c)
	}
}

func TestDisconnectBetweenPhases(t *testing.T) {
	r := newHarness(t)
	q, c, req := r.firstPhase(twoPhase, 3)
	r.do(decision.Respond{ID: q, Complete: true})
	second, other := event[decision.Part](r).ID, event[decision.Part](r).ID
	waiting := r.send(second, "s1")
	r.b.Disconnect(req)
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	require.Equal(t, q, event[decision.ClientDisconnected](r).ID)
	require.False(t, waiting.TryStart())
	r.do(decision.Send{ID: other, Server: "s2"}, decision.Respond{ID: q, Complete: true})
	require.Empty(t, r.sent)
	require.Empty(t, c)
	r.take("q", twoPhase, 6, time.Second) // its name and all its room are free again
}

func TestDrainBetweenPhases(t *testing.T) {
	r := newHarness(t)
	q, _, _ := r.firstPhase(twoPhase, 3)
	r.do(decision.Respond{ID: q, Complete: true})
	second := event[decision.Part](r).ID
	waiting := r.send(second, "s1")
	r.list(decision.DeltaUpdate, "s1", 1, decision.Draining)
	require.False(t, waiting.TryStart())
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	r.do(decision.Send{ID: second, Server: "s1"})
	require.Equal(t, decision.NotSent, event[decision.AttemptFinished](r).Status)
	r.send(second, "s2").Finish(scored(0, "second"))
	require.Equal(t, decision.OK, event[decision.AttemptFinished](r).Status)
}

// What is held between the steps when the process ends is refused, since the first step's values are no answer; what
// has the second step's is answered. A query whose steps may not run twice has failed: its first step has run.
func TestShutdownBetweenPhases(t *testing.T) {
	refused := broker.Result{Outcome: broker.Rejected, RetryAfter: 0.5}
	for _, in := range []int{0, 1, 2} {
		r := newHarness(t)
		q, c, _ := r.firstPhase(twoPhase, 3)
		r.do(decision.Respond{ID: q, Complete: true})
		second := []decision.Part{event[decision.Part](r), event[decision.Part](r)}
		var values []broker.Value
		for i := range in {
			r.send(second[i].ID, server(i+1)).Finish(scored(0, "second"))
			event[decision.AttemptFinished](r)
			values = append(values, broker.Value{Shard: i + 1, Data: []byte("second")})
		}
		r.b.SetShutdownDeadline(time.Now().Add(50 * time.Millisecond))
		want := refused
		if in == 2 {
			want = broker.Result{Complete: true, Values: values}
		}
		require.Equal(t, want, <-c)
	}
	r := newHarness(t)
	_, c, _ := r.firstPhase(twoPhase, 3) // all of the first step is in, the second has not begun
	r.b.SetShutdownDeadline(time.Now().Add(50 * time.Millisecond))
	require.Equal(t, refused, <-c)
}

// The first phase's attempts in flight end with it: a late answer is dropped, and an attempt that has not started does not
// start.
func TestSecondPhaseEndsTheFirst(t *testing.T) {
	r := newHarness(t)
	q, first, c, _ := r.take("q", twoPhasePartial, 4, 2*time.Second)
	r.list(decision.DeltaUpdate, "s3", 3, decision.Ready)
	for i := range 2 {
		r.send(first+decision.RequestID(i), server(i+1)).Finish(scored(int64(i), "first"))
		event[decision.AttemptFinished](r)
	}
	late := r.send(first+2, "s3")
	require.True(t, late.TryStart())
	waiting := r.send(first+3, "s0")
	r.do(decision.Respond{ID: q})
	require.Equal(t, first+3, event[decision.AttemptFinished](r).ID)
	require.False(t, waiting.TryStart())
	a, b := event[decision.Part](r), event[decision.Part](r)
	require.Equal(t, []int{2, 1}, []int{a.Shard, b.Shard})
	late.Finish(scored(9, "late"))
	require.Equal(t, first+2, event[decision.AttemptFinished](r).ID)
	r.do(decision.Send{ID: first + 2, Server: "s3"})
	require.Empty(t, r.sent)
	for _, pt := range []decision.Part{a, b} {
		r.send(pt.ID, server(pt.Shard)).Finish(scored(0, "second"))
		event[decision.AttemptFinished](r)
	}
	r.do(decision.Respond{ID: q, Complete: true})
	got := <-c
	require.False(t, got.Complete)
	slices.SortFunc(got.Values, func(a, b broker.Value) int { return cmp.Compare(a.Shard, b.Shard) })
	require.Equal(t, []broker.Value{{1, []byte("second")}, {2, []byte("second")}}, got.Values)
}

// Of 7 slots a query of six parts uses all, and three once its second phase has begun.
func TestSlotsBetweenPhases(t *testing.T) {
	r := newHarness(t)
	q, c, _ := r.firstPhase(twoPhase, 6)
	full := make(client, 1)
	r.b.Submit(&broker.Request{ID: "q2", ReceivedAt: time.Now(), Timeout: time.Second, Parts: make([]broker.Part, 1)}, full)
	require.Equal(t, broker.Rejected, (<-full).Outcome)
	r.do(decision.Respond{ID: q, Complete: true})
	r.take("q3", idempotent, 3, time.Second)
	r.b.Submit(&broker.Request{ID: "q4", ReceivedAt: time.Now(), Timeout: time.Second, Parts: make([]broker.Part, 1)}, full)
	require.Equal(t, broker.Rejected, (<-full).Outcome)
	r.do(decision.Reject{ID: q})
	require.Equal(t, broker.Rejected, (<-c).Outcome)
	r.take("q5", idempotent, 2, time.Second)
}
