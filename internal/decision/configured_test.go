package decision_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/decision"
)

// silence sends a query at the rig's time, answers none of its parts and returns when it was given up, to the
// millisecond, by the rig's clock. Other events may come in between.
func (r *rig) silence(id decision.RequestID, until float64) (ended float64) {
	for ; r.now < until; r.now += 0.001 {
		for _, a := range finals(r.handle()) {
			if f, ok := a.(decision.Reject); ok && f.ID == id {
				return r.now
			}
		}
	}
	r.t.Fatalf("query %d is open at %g", id, r.now)
	return 0
}

// A change of the aim holds for queries taken from then on. One that is open ends when its own aim has passed.
func TestClassesChangedKeepsOpenQueriesObjectives(t *testing.T) {
	for _, c := range []struct {
		name     string
		old, new float64
	}{{"a shorter aim", 1, 0.4}, {"a longer aim", 0.4, 1}} {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.Classes[0].LatencyObjective = c.old
			r := newRig(t, s, servers(3)...)
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
			ends := map[decision.RequestID]float64{first: r.silence(first, start+2)}
			ends[second] = r.silence(second, start+2)
			require.InDelta(t, start+c.old, ends[before], 0.03)
			require.InDelta(t, start+c.new, ends[after], 0.03)
			require.Equal(t, c.old, s.Classes[0].LatencyObjective, "the classes of the start were written to")
		})
	}
}

// What was taken for the whole patience of clients under a long deadline says nothing under a short one: else each
// query would pass for a client's repeat, of which a broker that sees little refuses more.
func TestClassesChangedMakesNoQueryARetry(t *testing.T) {
	taken := func(configured bool) (sent int) {
		s := settings()
		s.Classes[0] = decision.Class{LatencyObjective: 0.1, Deadline: 8, CompletenessThreshold: 1, MinCompleteness: 1}
		r := newRig(t, s, servers(3)...)
		id, events := r.query(0, 1)
		q := events[0].(decision.Query)
		q.Deadline = r.now + 8
		events[0] = q
		out := sends(r.handle(events...))
		r.now += 0.04
		r.handle(ended(id+1, 0, out[0].Server, decision.OK, 0.04))
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
				r.handle(ended(id+1, 0, s.Server, decision.OK, 0.04))
			}
		}
		return sent
	}
	require.Greater(t, taken(true), 190)
	require.Less(t, taken(false), 150, "the case does not show the difference")
}
