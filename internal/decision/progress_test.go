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
		answer bool // whether servers return an outcome for attempts
	}{
		{"servers answer", decision.OK, true},
		{"servers fail", decision.Error, true},
		{"servers are overloaded", decision.Overloaded, true},
		{"servers hang", decision.OK, false},
	}
	for _, c := range cases {
		for _, late := range []float64{0, 0.5} {
			t.Run(c.name, func(t *testing.T) {
				cfg := settings()
				cfg.Classes[0].LateValue = late
				r := newRunner(t, cfg, servers(2)...)
				start := r.now
				id, ev := r.query(0, 3)
				queue := r.handle(ev...)
				var got []decision.Action
				for r.now < start+2.5 {
					answers := finalAnswers(queue)
					got = append(got, answers...)
					if len(got) > 0 && len(sends(queue)) > 0 {
						t.Fatalf("%d parts sent after the final answer, want none", len(sends(queue)))
					}
					if len(answers) > 0 && r.now > start+2 {
						t.Fatalf("final answer after %g s, want it by the client's deadline of 2 s", r.now-start)
					}
					var next []decision.Event
					for _, send := range sends(queue) {
						if c.answer {
							next = append(next, finished(send.ID, r.attempts[send.ID], send.Server, c.status, 0.01))
						}
						r.attempts[send.ID]++
					}
					queue = r.handleAt(r.now+0.01, next...)
				}
				if len(got) != 1 {
					t.Fatalf("final answers %v of query %d, want exactly one", got, id)
				}
			})
		}
	}
}

func TestDisconnectedClientGetsNoAnswer(t *testing.T) {
	r := newRunner(t, settings(), servers(2)...)
	id, ev := r.query(0, 2)
	r.handle(ev...)
	got := r.handle(decision.ClientDisconnected{ID: id})
	if len(finalAnswers(got)) != 0 || len(got) != 2 {
		t.Errorf("actions %v after the client disconnected, want two Cancels only", got)
	}
	if got := r.handleAt(r.now+3, decision.ClientDisconnected{ID: id}); len(got) != 0 {
		t.Errorf("actions %v after a repeated ClientDisconnected, want none", got)
	}
}

// If clients disconnect long before their stated deadlines, partial answers must be sent while they still wait.
func TestResponsesPrecedeClientTimeouts(t *testing.T) {
	cfg := settings()
	cfg.Classes[0].MinCompleteness = 0.5
	r := newRunner(t, cfg, servers(3)...)
	r.answerQueries(60, 0.05)
	for range 10 {
		id, ev := r.query(0, 2)
		out := sends(r.handle(ev...))
		earlyAnswers := finalAnswers(r.handleAt(r.now + 0.4))
		if len(out) != 2 || len(earlyAnswers) > 0 {
			t.Fatalf("%d parts sent, final answers %v within 0.4 s, want 2 parts and no final answer", len(out), earlyAnswers)
		}
		r.handle(decision.ClientDisconnected{ID: id}, finished(out[0].ID, 0, out[0].Server, decision.OK, 0.1),
			finished(out[1].ID, 0, out[1].Server, decision.Cancelled, 0.4))
		r.now += 5 // so that cancelled parts no longer count towards the queue depth
	}
	id, ev := r.query(0, 2)
	out := sends(r.handle(ev...))
	if len(out) != 2 {
		t.Fatalf("%d parts sent, want 2", len(out))
	}
	r.handleAt(r.now+0.1, finished(out[0].ID, 0, out[0].Server, decision.OK, 0.1))
	got := finalAnswers(r.handleAt(r.now + 0.29))
	if len(got) != 1 || got[0] != (decision.Respond{ID: id}) {
		t.Errorf("final answers %v just before clients usually disconnect, want a partial Respond", got)
	}
}

func TestResponsesAreMarkedCompleteOnlyAboveThreshold(t *testing.T) {
	cases := []struct {
		name               string
		threshold, minimum float64
		answered, parts    int
		want               decision.Action // with ID 0
	}{
		{"complete", 1, 1, 4, 4, decision.Respond{Complete: true}},
		{"all parts needed, one unanswered", 1, 1, 3, 4, decision.Reject{}},
		{"partial, at minimum completeness", 1, 0.5, 2, 4, decision.Respond{}},
		{"partial, below minimum completeness", 1, 0.5, 1, 4, decision.Reject{}},
		{"threshold below 1", 0.5, 0.5, 2, 4, decision.Respond{Complete: true}},
		{"rounding of three thirds", 1, 1, 3, 3, decision.Respond{Complete: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cfg := settings()
			cfg.Classes[0].CompletenessThreshold, cfg.Classes[0].MinCompleteness = c.threshold, c.minimum
			r := newRunner(t, cfg, servers(3)...)
			id, ev := r.query(0, c.parts)
			out := sends(r.handle(ev...))
			var got []decision.Action
			for i := range c.answered {
				got = append(got, finalAnswers(r.handle(finished(out[i].ID, 0, out[i].Server, decision.OK, 0)))...)
			}
			got = append(got, finalAnswers(r.handleAt(r.now+1))...)
			want := c.want
			switch action := want.(type) {
			case decision.Respond:
				action.ID = id
				want = action
			case decision.Reject:
				action.ID = id
				want = action
			}
			if len(got) != 1 || !reflect.DeepEqual(got[0], want) {
				t.Errorf("final answers %v, want %v", got, want)
			}
		})
	}
}

func TestFinalResponseIsCompleteOnlyIfBothPhasesAre(t *testing.T) {
	for _, c := range []struct {
		name        string
		firstPhase  int  // answered parts of the four in the first phase
		secondPhase int  // answered parts of the two in the second phase
		complete    bool // the final response is complete
		answered    bool // the final answer is a Respond
	}{
		{"both complete", 4, 2, true, true},
		{"first partial", 2, 2, false, true},
		{"second partial", 4, 1, false, true},
		{"second unanswered", 4, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := settings()
			cfg.Classes[0].MinCompleteness, cfg.Classes[0].SecondPhaseFanout, cfg.Classes[0].LateValue = 0.5, 2, 0.5
			r := newRunner(t, cfg, servers(3)...)
			id, ev := r.query(0, 4)
			out := sends(r.handle(ev...))
			var got []decision.Action
			for i := range c.firstPhase {
				got = append(got, finalAnswers(r.handle(finished(out[i].ID, 0, out[i].Server, decision.OK, 0)))...)
			}
			if c.firstPhase < 4 {
				got = append(got, finalAnswers(r.handleAt(r.now+1))...)
			}
			if len(got) != 1 || got[0] != (decision.Respond{ID: id, Complete: c.firstPhase == 4}) {
				t.Fatalf("answers %v to the first phase, want one Respond with Complete %v", got, c.firstPhase == 4)
			}
			out = sends(r.handleAt(r.now+0.01,
				decision.Part{ID: id + 50, QueryNumber: r.number, Weight: 0.5},
				decision.Part{ID: id + 51, QueryNumber: r.number, Weight: 0.5}))
			if len(out) != 2 {
				t.Fatalf("%d parts sent in the second phase, want 2", len(out))
			}
			got = nil
			for i := range c.secondPhase {
				got = append(got, finalAnswers(r.handle(finished(out[i].ID, 0, out[i].Server, decision.OK, 0)))...)
			}
			got = append(got, finalAnswers(r.handleAt(r.now+2))...)
			if len(got) != 1 {
				t.Fatalf("final answers %v, want one", got)
			}
			response, ok := got[0].(decision.Respond)
			if ok != c.answered || ok && response.Complete != c.complete {
				t.Errorf("final answer %v, want Respond: %v, complete: %v", got[0], c.answered, c.complete)
			}
		})
	}
}

func TestNonIdempotentQueryIsNotRejectedAfterFirstPhase(t *testing.T) {
	cfg := settings()
	cfg.Classes[0].Idempotency, cfg.Classes[0].SecondPhaseFanout = decision.NonIdempotent, 1
	r := newRunner(t, cfg, servers(2)...)
	id, ev := r.query(0, 1)
	out := sends(r.handle(ev...))
	r.handle(finished(out[0].ID, 0, out[0].Server, decision.OK, 0))
	r.handle(decision.Part{ID: id + 50, QueryNumber: r.number, Weight: 1})
	r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate}) // removes all servers
	if got := finalAnswers(r.handleAt(r.now + 1)); len(got) != 1 || got[0] != (decision.Fail{ID: id}) {
		t.Errorf("final answers %v, want one Fail, since the first phase has been executed", got)
	}
}
