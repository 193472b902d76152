package decision_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/decision"
)

// All replicas of a shard are slow because of the load from other brokers: its queries are rejected, except for a few trials.
func TestSlowShardIsRejectedDespiteIdleBroker(t *testing.T) {
	cfg := settings()
	cfg.ReplicaSets = 2
	list := servers(4)
	list[2].ReplicaSet, list[3].ReplicaSet = 1, 1
	r := newRunner(t, cfg, list...)
	rejected := 0
	for i := range 120 {
		_, ev := r.query(0, 1)
		latency := 0.05
		if i%2 == 1 {
			pt := ev[1].(decision.Part)
			pt.Shard, latency = 1, 0.9
			ev[1] = pt
		}
		out := sends(r.handleAt(r.now+0.5, ev...))
		if len(out) == 0 && i >= 40 {
			rejected++
			if i%2 == 0 {
				t.Fatalf("query %d, of the fast shard, was rejected", i)
			}
		}
		for _, send := range out {
			r.handleAt(r.now+latency, finished(send.ID, 0, send.Server, decision.OK, latency))
		}
	}
	if rejected < 20 || rejected == 40 {
		t.Errorf("%d of 40 queries of the slow shard rejected, want 20 to 39", rejected)
	}
}

// In an overload, queries of all shards are rejected. Rejections end only when the observations have aged, since trials of
// single parts do not suffice to admit a query of many parts.
func TestRejectionEndsAfterOverload(t *testing.T) {
	r := newRunner(t, settings(), servers(120)...)
	sendAll := func(latency float64) (sent bool) { // reports whether all parts of a query were sent
		_, ev := r.query(0, 40)
		out := sends(r.handleAt(r.now+0.5, ev...))
		n := 0
		for len(out) > 0 { // the canary parts, then the others
			var outcomes []decision.Event
			for _, send := range out {
				outcomes = append(outcomes, finished(send.ID, 0, send.Server, decision.OK, latency))
			}
			n += len(out)
			out = sends(r.handleAt(r.now+latency, outcomes...))
		}
		return n >= 40
	}
	overloaded := false
	for range 20 {
		overloaded = !sendAll(0.95) || overloaded
	}
	if !overloaded {
		t.Fatal("no query was rejected during the overload")
	}
	r.now += 30
	for range 3 {
		if !sendAll(0.05) {
			t.Error("a query was rejected 30 s after the overload")
		}
	}
}

// If not all queries can be served, queries with a larger priority weight per part have a larger delay limit. With
// WeightByWork, no class is preferred.
func TestPriorityWeightRaisesDelayLimit(t *testing.T) {
	for _, byWork := range []bool{false, true} {
		cfg := settings()
		cfg.WeightByWork = byWork
		cfg.Classes = []decision.Class{
			{LatencyObjective: 1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1, PriorityWeight: 1},
			{LatencyObjective: 1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1, PriorityWeight: 3},
		}
		r := newRunner(t, cfg, servers(3)...)
		rejected := [2]int{}
		for i := range 200 {
			class, parts := i%2, 4-3*(i%2)
			_, ev := r.query(class, parts)
			actions := r.handleAt(r.now+0.05, ev...)
			var outcomes []decision.Event
			for _, send := range sends(actions) {
				outcomes = append(outcomes, finished(send.ID, 0, send.Server, decision.OK, 0.9))
			}
			if i >= 100 {
				rejected[class] += len(finalAnswers(actions))
			}
			r.handleAt(r.now+0.9, outcomes...)
		}
		if byWork && (rejected[0] < 25 || rejected[1] < 25) || !byWork && (rejected[0] < 25 || rejected[1] > rejected[0]/2) {
			t.Errorf("WeightByWork %v: %d of 50 queries of weight 1 and %d of 50 of weight 3 rejected, want at least 25 of weight 1, "+
				"and at least 25 of weight 3 with WeightByWork, else at most half as many as of weight 1",
				byWork, rejected[0], rejected[1])
		}
	}
}

// A rejected client retries after its objective, at a broker that does not know of the rejection. Serving the retry has no
// value and takes capacity from first requests, which prolonged overloads in fleets of hundreds of brokers. Retries are
// recognized by their remaining wait, which is shorter than that of first requests. They are still served if there is spare
// capacity, or if the broker observes each server often: with few brokers, the one that rejected the client also receives the
// retry, and its estimate of the capacity is good.
func TestLateRetriesGetLowerDelayLimit(t *testing.T) {
	cfg := settings()
	cfg.Classes[0] = decision.Class{
		LatencyObjective: 0.4, Deadline: 1.4, CompletenessThreshold: 1, MinCompleteness: 1, PriorityWeight: 1,
	}
	for _, c := range []struct {
		servers               int
		serviceTime, patience float64
		served                bool
	}{{20, 0.12, 1.1, true}, {20, 0.12, 0.5, false}, {20, 0.01, 0.5, true}, {2, 0.12, 0.5, true}} {
		r := newRunner(t, cfg, servers(c.servers)...)
		served := 0
		for i := range 200 {
			_, ev := r.query(0, 1)
			q := ev[0].(decision.Query)
			if q.Deadline = r.now + 1.1; i >= 100 {
				q.Deadline = r.now + c.patience
			}
			ev[0] = q
			for _, send := range sends(r.handleAt(r.now+0.1, ev...)) {
				r.now += c.serviceTime
				r.handle(finished(send.ID, 0, send.Server, decision.OK, c.serviceTime))
				if i >= 100 {
					served++
				}
			}
		}
		if got := served > 50; got != c.served {
			t.Errorf("%d servers, parts take %g s, clients wait %g s: %d of 100 served, want over 50: %v", c.servers, c.serviceTime,
				c.patience, served, c.served)
		}
	}
}

// Clients that disconnect before parts can be answered cannot be served. They must not cause queries of other clients to be
// rejected.
func TestImmediateDisconnectsDoNotShortenObjective(t *testing.T) {
	r := newRunner(t, settings(), servers(3)...)
	r.answerQueries(40, 0.05)
	for range 12 {
		id, ev := r.query(0, 1)
		out := sends(r.handle(ev...))
		if len(out) != 1 {
			t.Fatalf("%d parts sent after immediate disconnects of earlier clients, want 1", len(out))
		}
		r.handleAt(r.now+0.001, decision.ClientDisconnected{ID: id}, finished(out[0].ID, 0, out[0].Server, decision.Cancelled, 0.001))
		r.now += 4
	}
	_, ev := r.query(0, 1)
	if out := r.handle(ev...); len(finalAnswers(out)) != 0 || len(sends(out)) != 1 {
		t.Errorf("actions %v, want one Send and no final answer", out)
	}
}

// rejectedAt advances the time in steps of 1 ms until the Policy rejects a query, and returns that time. It passes no events.
// The test fails if the query is still open at until.
func (r *runner) rejectedAt(id decision.RequestID, until float64) (ended float64) {
	for ; r.now < until; r.now += 0.001 {
		for _, a := range finalAnswers(r.handle()) {
			if reject, ok := a.(decision.Reject); ok && reject.ID == id {
				return r.now
			}
		}
	}
	r.t.Fatalf("query %d is still open at %g s, want it rejected", id, r.now)
	return 0
}

// A changed latency objective applies to queries received from then on. An open query keeps its objective.
func TestClassesChangedKeepsOpenQueriesObjectives(t *testing.T) {
	for _, c := range []struct {
		name     string
		old, new float64
	}{{"shorter objective", 1, 0.4}, {"longer objective", 0.4, 1}} {
		t.Run(c.name, func(t *testing.T) {
			cfg := settings()
			cfg.Classes[0].LatencyObjective = c.old
			r := newRunner(t, cfg, servers(3)...)
			start := r.now
			before, events := r.query(0, 1)
			require.Len(t, sends(r.handle(events...)), 1)
			classes := slices.Clone(cfg.Classes)
			classes[0].LatencyObjective = c.new
			after, events := r.query(0, 1)
			events = append([]decision.Event{decision.ClassesChanged{Classes: classes}}, events...)
			require.Len(t, sends(r.handle(events...)), 1)

			first, second := before, after
			if c.new < c.old {
				first, second = after, before
			}
			ends := map[decision.RequestID]float64{first: r.rejectedAt(first, start+2)}
			ends[second] = r.rejectedAt(second, start+2)
			require.InDelta(t, start+c.old, ends[before], 0.03)
			require.InDelta(t, start+c.new, ends[after], 0.03)
			require.Equal(t, c.old, cfg.Classes[0].LatencyObjective, "the classes passed to New were modified")
		})
	}
}

// Client waits that were observed under a long deadline are discarded when a shorter deadline is configured. Otherwise every
// query would be taken for a retry, and a broker that rarely observes its servers rejects many retries.
func TestClassesChangedDiscardsClientWaits(t *testing.T) {
	sendsOf200 := func(changed bool) (sent int) {
		cfg := settings()
		cfg.Classes[0] = decision.Class{LatencyObjective: 0.1, Deadline: 8, CompletenessThreshold: 1, MinCompleteness: 1}
		r := newRunner(t, cfg, servers(3)...)
		id, events := r.query(0, 1)
		q := events[0].(decision.Query)
		q.Deadline = r.now + 8
		events[0] = q
		out := sends(r.handle(events...))
		r.now += 0.04
		r.handle(finished(id+1, 0, out[0].Server, decision.OK, 0.04))
		r.now += 20
		if changed {
			r.handle(decision.ClassesChanged{Classes: []decision.Class{
				{LatencyObjective: 0.1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1},
			}})
		}
		for range 200 {
			r.now += 2 // so that observations are rare
			id, events := r.query(0, 1)
			q := events[0].(decision.Query)
			q.Deadline = r.now + 1
			events[0] = q
			out := sends(r.handle(events...))
			sent += len(out)
			for _, send := range out {
				r.now += 0.04
				r.handle(finished(id+1, 0, send.Server, decision.OK, 0.04))
			}
		}
		return sent
	}
	require.Greater(t, sendsOf200(true), 190)
	require.Less(t, sendsOf200(false), 150, "the scenario does not distinguish discarded from kept waits")
}
