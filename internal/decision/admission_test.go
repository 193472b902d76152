package decision_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/decision"
)

// All replicas of a shard are slow, by the load of other brokers: few of its queries are admitted, on trial.
func TestSlowShardIsRejectedDespiteIdleBroker(t *testing.T) {
	s := settings()
	s.ReplicaSets = 2
	list := servers(4)
	list[2].ReplicaSet, list[3].ReplicaSet = 1, 1
	r := newRunner(t, s, list...)
	rejected := 0
	for i := range 120 {
		_, ev := r.query(0, 1)
		took := 0.05
		if i%2 == 1 {
			pt := ev[1].(decision.Part)
			pt.Shard, took = 1, 0.9
			ev[1] = pt
		}
		out := sends(r.handleAt(r.now+0.5, ev...))
		if len(out) == 0 && i >= 40 {
			rejected++
			if i%2 == 0 {
				t.Fatal("a query of the quick shard was rejected")
			}
		}
		for _, snd := range out {
			r.handleAt(r.now+took, finished(snd.ID, 0, snd.Server, decision.OK, took))
		}
	}
	if rejected < 20 || rejected == 40 {
		t.Errorf("%d of 40 queries of the slow shard rejected, want most and not all", rejected)
	}
}

// An overload has the queries of all shards rejected. Once it is over only time shows that, since queries of many parts
// are never admitted part by part on trial.
func TestRejectionEndsAfterOverload(t *testing.T) {
	r := newRunner(t, settings(), servers(120)...)
	sendAll := func(took float64) (sent bool) { // all of its parts
		_, ev := r.query(0, 40)
		out := sends(r.handleAt(r.now+0.5, ev...))
		n := 0
		for len(out) > 0 { // those that go ahead, then the others
			var back []decision.Event
			for _, snd := range out {
				back = append(back, finished(snd.ID, 0, snd.Server, decision.OK, took))
			}
			n += len(out)
			out = sends(r.handleAt(r.now+took, back...))
		}
		return n >= 40
	}
	overloaded := false
	for range 20 {
		overloaded = !sendAll(0.95) || overloaded
	}
	if !overloaded {
		t.Fatal("nothing was rejected in the overload")
	}
	r.now += 30
	for range 3 {
		if !sendAll(0.05) {
			t.Error("a query was rejected 30 s after the overload")
		}
	}
}

// Not all queries can be served: those of a larger priority weight for each part have a wider margin. Where the value
// goes by work, no class comes first.
func TestPriorityWidensAdmissionMargin(t *testing.T) {
	for _, byWork := range []bool{false, true} {
		s := settings()
		s.WeightByWork = byWork
		s.Classes = []decision.Class{
			{LatencyObjective: 1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1, PriorityWeight: 1}, {LatencyObjective: 1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1, PriorityWeight: 3},
		}
		r := newRunner(t, s, servers(3)...)
		rejected := [2]int{}
		for i := range 200 {
			class, parts := i%2, 4-3*(i%2)
			_, ev := r.query(class, parts)
			actions := r.handleAt(r.now+0.05, ev...)
			var done []decision.Event
			for _, snd := range sends(actions) {
				done = append(done, finished(snd.ID, 0, snd.Server, decision.OK, 0.9))
			}
			if i >= 100 {
				rejected[class] += len(finalAnswers(actions))
			}
			r.handleAt(r.now+0.9, done...)
		}
		if byWork && (rejected[0] < 25 || rejected[1] < 25) || !byWork && (rejected[0] < 25 || rejected[1] > rejected[0]/2) {
			t.Errorf("by work %v: %d of 50 cheap and %d of 50 preferred queries rejected", byWork, rejected[0], rejected[1])
		}
	}
}

// A client that was rejected retries at a broker that does not know of it, after its objective. Served, it earns
// nothing and takes the capacity for a first try, which kept overloads of hundreds of brokers going. It is recognized by
// its wait, shorter than that of first tries. It is served where capacity is left, and by a broker that sees much of each
// server: of few brokers, the one that rejected it meets it again, with a good estimate of the capacity.
func TestLateRetriesGetNarrowerMargin(t *testing.T) {
	s := settings()
	s.Classes[0] = decision.Class{LatencyObjective: 0.4, Deadline: 1.4, CompletenessThreshold: 1, MinCompleteness: 1, PriorityWeight: 1}
	for _, c := range []struct {
		servers               int
		serviceTime, patience float64
		served                bool
	}{{20, 0.12, 1.1, true}, {20, 0.12, 0.5, false}, {20, 0.01, 0.5, true}, {2, 0.12, 0.5, true}} {
		r := newRunner(t, s, servers(c.servers)...)
		served := 0
		for i := range 200 {
			_, ev := r.query(0, 1)
			q := ev[0].(decision.Query)
			if q.Deadline = r.now + 1.1; i >= 100 {
				q.Deadline = r.now + c.patience
			}
			ev[0] = q
			for _, snd := range sends(r.handleAt(r.now+0.1, ev...)) {
				r.now += c.serviceTime
				r.handle(finished(snd.ID, 0, snd.Server, decision.OK, c.serviceTime))
				if i >= 100 {
					served++
				}
			}
		}
		if got := served > 50; got != c.served {
			t.Errorf("%d servers, parts take %g s, clients wait %g s: %d of 100 served, want most: %v", c.servers, c.serviceTime,
				c.patience, served, c.served)
		}
	}
}

// Clients that disconnect sooner than parts take cannot be served, and the others must not be rejected for them.
func TestImmediateDisconnectsSetNoObjective(t *testing.T) {
	r := newRunner(t, settings(), servers(3)...)
	r.answerQueries(40, 0.05)
	for range 12 {
		id, ev := r.query(0, 1)
		out := sends(r.handle(ev...))
		if len(out) != 1 {
			t.Fatal("a query was rejected for the clients that left before")
		}
		r.handleAt(r.now+0.001, decision.ClientDisconnected{ID: id}, finished(out[0].ID, 0, out[0].Server, decision.Cancelled, 0.001))
		r.now += 4
	}
	_, ev := r.query(0, 1)
	if out := r.handle(ev...); len(finalAnswers(out)) != 0 || len(sends(out)) != 1 {
		t.Errorf("%v, want the part sent", out)
	}
}

// rejectedAt sends a query at the rig's time, answers none of its parts and returns when it was given up, to the
// millisecond, by the clock of the runner. Other events may come in between.
func (r *runner) rejectedAt(id decision.RequestID, until float64) (ended float64) {
	for ; r.now < until; r.now += 0.001 {
		for _, a := range finalAnswers(r.handle()) {
			if f, ok := a.(decision.Reject); ok && f.ID == id {
				return r.now
			}
		}
	}
	r.t.Fatalf("query %d is open at %g", id, r.now)
	return 0
}

// A change of the latency objective holds for queries received from then on. An open query keeps its own.
func TestClassesChangedKeepsOpenQueriesObjectives(t *testing.T) {
	for _, c := range []struct {
		name     string
		old, new float64
	}{{"a shorter aim", 1, 0.4}, {"a longer aim", 0.4, 1}} {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.Classes[0].LatencyObjective = c.old
			r := newRunner(t, s, servers(3)...)
			start := r.now
			before, events := r.query(0, 1)
			require.Len(t, sends(r.handle(events...)), 1)
			classes := slices.Clone(s.Classes)
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
			require.Equal(t, c.old, s.Classes[0].LatencyObjective, "the classes of the start were written to")
		})
	}
}

// Waits of clients under a long deadline do not count under a short one: each query would otherwise pass for a retry,
// of which a broker that sees little rejects more.
func TestClassesChangedMakesNoQueryARetry(t *testing.T) {
	taken := func(configured bool) (sent int) {
		s := settings()
		s.Classes[0] = decision.Class{LatencyObjective: 0.1, Deadline: 8, CompletenessThreshold: 1, MinCompleteness: 1}
		r := newRunner(t, s, servers(3)...)
		id, events := r.query(0, 1)
		q := events[0].(decision.Query)
		q.Deadline = r.now + 8
		events[0] = q
		out := sends(r.handle(events...))
		r.now += 0.04
		r.handle(finished(id+1, 0, out[0].Server, decision.OK, 0.04))
		r.now += 20
		if configured {
			r.handle(decision.ClassesChanged{Classes: []decision.Class{{LatencyObjective: 0.1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1}}})
		}
		for range 200 {
			r.now += 2 // so that little is seen of the fleet
			id, events := r.query(0, 1)
			q := events[0].(decision.Query)
			q.Deadline = r.now + 1
			events[0] = q
			out := sends(r.handle(events...))
			sent += len(out)
			for _, s := range out {
				r.now += 0.04
				r.handle(finished(id+1, 0, s.Server, decision.OK, 0.04))
			}
		}
		return sent
	}
	require.Greater(t, taken(true), 190)
	require.Less(t, taken(false), 150, "the case does not show the difference")
}
