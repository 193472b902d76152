package decision_test

import (
	"reflect"
	"testing"

	"mothrouter/internal/decision"
)

func TestEveryQueryGetsOneFinalAnswerInTime(t *testing.T) {
	cases := []struct {
		name   string
		status decision.Status
		answer bool // outcomes come at all
	}{
		{"servers answer", decision.OK, true},
		{"servers fail", decision.Error, true},
		{"servers are full", decision.Overloaded, true},
		{"servers hang", decision.OK, false},
	}
	for _, c := range cases {
		for _, late := range []float64{0, 0.5} {
			t.Run(c.name, func(t *testing.T) {
				s := settings()
				s.Classes[0].LateValue = late
				r := newRunner(t, s, servers(2)...)
				start := r.now
				id, ev := r.query(0, 3)
				queue := r.handle(ev...)
				var got []decision.Action
				for r.now < start+2.5 {
					answers := finalAnswers(queue)
					got = append(got, answers...)
					if len(got) > 0 && len(sends(queue)) > 0 {
						t.Fatal("sent after the final answer")
					}
					if len(answers) > 0 && r.now > start+2 {
						t.Fatalf("final answer at %g, after the client's deadline", r.now-start)
					}
					var next []decision.Event
					for _, snd := range sends(queue) {
						if c.answer {
							next = append(next, finished(snd.ID, r.attempts[snd.ID], snd.Server, c.status, 0.01))
						}
						r.attempts[snd.ID]++
					}
					queue = r.handleAt(r.now+0.01, next...)
				}
				if len(got) != 1 {
					t.Fatalf("final answers of query %d: %v, want exactly one", id, got)
				}
			})
		}
	}
}

func TestClientDisconnectedEndsWithoutResponse(t *testing.T) {
	r := newRunner(t, settings(), servers(2)...)
	id, ev := r.query(0, 2)
	r.handle(ev...)
	got := r.handle(decision.ClientDisconnected{ID: id})
	if len(finalAnswers(got)) != 0 || len(got) != 2 {
		t.Errorf("after the client left: %v, want two cancels only", got)
	}
	if got := r.handleAt(r.now+3, decision.ClientDisconnected{ID: id}); len(got) != 0 {
		t.Errorf("a second notice led to %v", got)
	}
}

// Clients leave long before their stated deadline: the answer in part must come while they still wait.
func TestResponsesPrecedeClientTimeouts(t *testing.T) {
	s := settings()
	s.Classes[0].MinCompleteness = 0.5
	r := newRunner(t, s, servers(3)...)
	r.answerQueries(60, 0.05)
	for range 10 {
		id, ev := r.query(0, 2)
		out := sends(r.handle(ev...))
		if len(out) != 2 || len(finalAnswers(r.handleAt(r.now+0.4))) > 0 {
			t.Fatalf("%d parts sent, want 2 and no final answer within 0.4 s", len(out))
		}
		r.handle(decision.ClientDisconnected{ID: id}, finished(out[0].ID, 0, out[0].Server, decision.OK, 0.1),
			finished(out[1].ID, 0, out[1].Server, decision.Cancelled, 0.4))
		r.now += 5 // long enough for the parts that were cancelled to be forgotten
	}
	id, ev := r.query(0, 2)
	out := sends(r.handle(ev...))
	if len(out) != 2 {
		t.Fatalf("%d parts sent, want 2", len(out))
	}
	r.handleAt(r.now+0.1, finished(out[0].ID, 0, out[0].Server, decision.OK, 0.1))
	got := finalAnswers(r.handleAt(r.now + 0.29))
	if len(got) != 1 || got[0] != (decision.Respond{ID: id}) {
		t.Errorf("just before clients leave: %v, want an answer in part", got)
	}
}

func TestResponsesAreMarkedCompleteOnlyIfTheyAre(t *testing.T) {
	cases := []struct {
		name               string
		threshold, minimum float64
		in, parts          int
		want               decision.Action // with ID 0; nil: no answer before the end
	}{
		{"complete", 1, 1, 4, 4, decision.Respond{Complete: true}},
		{"all needed, one missing", 1, 1, 3, 4, decision.Reject{}},
		{"partial at its minimum", 1, 0.5, 2, 4, decision.Respond{}},
		{"partial under its minimum", 1, 0.5, 1, 4, decision.Reject{}},
		{"threshold under one", 0.5, 0.5, 2, 4, decision.Respond{Complete: true}},
		{"thirds add up", 1, 1, 3, 3, decision.Respond{Complete: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.Classes[0].CompletenessThreshold, s.Classes[0].MinCompleteness = c.threshold, c.minimum
			r := newRunner(t, s, servers(3)...)
			id, ev := r.query(0, c.parts)
			out := sends(r.handle(ev...))
			var got []decision.Action
			for i := range c.in {
				got = append(got, finalAnswers(r.handle(finished(out[i].ID, 0, out[i].Server, decision.OK, 0)))...)
			}
			got = append(got, finalAnswers(r.handleAt(r.now+1))...)
			want := c.want
			switch w := want.(type) {
			case decision.Respond:
				w.ID = id
				want = w
			case decision.Reject:
				w.ID = id
				want = w
			}
			if len(got) != 1 || !reflect.DeepEqual(got[0], want) {
				t.Errorf("final answers %v, want %v", got, want)
			}
		})
	}
}

func TestSecondPhaseCompletesOnlyACompleteFirst(t *testing.T) {
	for _, c := range []struct {
		name        string
		first, then int // parts in of four, then of two
		complete    bool
		answered    bool
	}{
		{"both complete", 4, 2, true, true},
		{"first in part", 2, 2, false, true},
		{"second in part", 4, 1, false, true},
		{"second empty", 4, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.Classes[0].MinCompleteness, s.Classes[0].SecondPhaseFanout, s.Classes[0].LateValue = 0.5, 2, 0.5
			r := newRunner(t, s, servers(3)...)
			id, ev := r.query(0, 4)
			out := sends(r.handle(ev...))
			var got []decision.Action
			for i := range c.first {
				got = append(got, finalAnswers(r.handle(finished(out[i].ID, 0, out[i].Server, decision.OK, 0)))...)
			}
			if c.first < 4 {
				got = append(got, finalAnswers(r.handleAt(r.now+1))...)
			}
			if len(got) != 1 || got[0] != (decision.Respond{ID: id, Complete: c.first == 4}) {
				t.Fatalf("first answer %v", got)
			}
			out = sends(r.handleAt(r.now+0.01,
				decision.Part{ID: id + 50, QueryNumber: r.number, Weight: 0.5},
				decision.Part{ID: id + 51, QueryNumber: r.number, Weight: 0.5}))
			if len(out) != 2 {
				t.Fatalf("second phase sent %d parts, want 2", len(out))
			}
			got = nil
			for i := range c.then {
				got = append(got, finalAnswers(r.handle(finished(out[i].ID, 0, out[i].Server, decision.OK, 0)))...)
			}
			got = append(got, finalAnswers(r.handleAt(r.now+2))...)
			if len(got) != 1 {
				t.Fatalf("final answers %v, want one", got)
			}
			a, ok := got[0].(decision.Respond)
			if ok != c.answered || ok && a.Complete != c.complete {
				t.Errorf("final answer %v, want answered %v, complete %v", got[0], c.answered, c.complete)
			}
		})
	}
}

func TestNonIdempotentQueryIsNotRejectedAfterItsFirstPhase(t *testing.T) {
	s := settings()
	s.Classes[0].Idempotency, s.Classes[0].SecondPhaseFanout = decision.NonIdempotent, 1
	r := newRunner(t, s, servers(2)...)
	id, ev := r.query(0, 1)
	out := sends(r.handle(ev...))
	r.handle(finished(out[0].ID, 0, out[0].Server, decision.OK, 0))
	r.handle(decision.Part{ID: id + 50, QueryNumber: r.number, Weight: 1})
	r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate}) // no server is left
	if got := finalAnswers(r.handleAt(r.now + 1)); len(got) != 1 || got[0] != (decision.Fail{ID: id}) {
		t.Errorf("final answers %v, want one Fail: the first phase has run", got)
	}
}
