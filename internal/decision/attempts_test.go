package decision_test

import (
	"testing"

	"mothrouter/internal/decision"
)

func TestRetriesFollowIdempotency(t *testing.T) {
	cases := []struct {
		name        string
		idempotency decision.Idempotency
		status      decision.Status
		after       float64 // time from the send to the outcome
		retried     bool
		rejects     bool // the final answer may be a rejection
	}{
		{"unsafe, never ran", decision.NonIdempotent, decision.Overloaded, 0.1, true, true},
		{"unsafe, no connection", decision.NonIdempotent, decision.Unreachable, 0.1, true, true},
		{"unsafe, not sent", decision.NonIdempotent, decision.NotSent, 0.1, true, true},
		{"unsafe, error", decision.NonIdempotent, decision.Error, 0.1, false, false},
		{"unsafe, reset", decision.NonIdempotent, decision.Reset, 0.1, false, false},
		{"unsafe, timed out", decision.NonIdempotent, decision.TimedOut, 0.1, false, false},
		{"unsafe, cancelled", decision.NonIdempotent, decision.Cancelled, 0.1, false, false},
		{"keyed, within its window", decision.IdempotentWithKey, decision.Error, 0.29, true, false},
		{"keyed, past its window", decision.IdempotentWithKey, decision.Error, 0.31, false, false},
		{"keyed, never ran", decision.IdempotentWithKey, decision.Unreachable, 0.31, true, true},
		{"safe", decision.Idempotent, decision.Error, 0.31, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.Classes[0].Idempotency, s.Classes[0].IdempotencyWindow = c.idempotency, 0.3
			r := newRunner(t, s, servers(2)...)
			_, ev := r.query(0, 1)
			first := sends(r.handle(ev...))[0]
			got := r.handleAt(r.now+c.after, finished(first.ID, 0, first.Server, c.status, c.after))
			if again := len(sends(got)) == 1; again != c.retried {
				t.Fatalf("sent again: %v, want %v", again, c.retried)
			}
			n := 1
			for len(finalAnswers(got)) == 0 {
				again := sends(got)
				if len(again) != 1 || n > 3 {
					t.Fatalf("neither a send nor a final answer: %v", got)
				}
				got = r.handleAt(r.now+0.01, finished(again[0].ID, n, again[0].Server, c.status, 0.01))
				n++
			}
			_, rejected := finalAnswers(got)[0].(decision.Reject)
			if rejected != c.rejects {
				t.Errorf("final answer %v, want a rejection: %v", finalAnswers(got)[0], c.rejects)
			}
		})
	}
}

func TestNonIdempotentQueryInFlightFailsAtItsEnd(t *testing.T) {
	s := settings()
	s.Classes[0].Idempotency = decision.NonIdempotent
	r := newRunner(t, s, servers(2)...)
	_, ev := r.query(0, 1)
	r.handle(ev...)
	got := finalAnswers(r.handleAt(r.now + 1.5))
	if len(got) != 1 {
		t.Fatalf("final answers %v, want one", got)
	}
	if _, ok := got[0].(decision.Fail); !ok {
		t.Errorf("final answer %T, want Fail: the part may have run", got[0])
	}
}

func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	s := settings()
	s.RetryBudget.Enabled, s.RetryBudget.Min, s.RetryBudget.Ratio, s.RetryBudget.Window = true, 2, 0.25, 1
	r := newRunner(t, s, servers(3)...)
	var requests, retries []float64
	var queue []decision.Send
	for range 400 {
		_, ev := r.query(0, 1)
		requests = append(requests, r.now, r.now)
		queue = append(queue, sends(r.handle(ev...))...)
		for len(queue) > 0 {
			snd := queue[0]
			if r.attempts[snd.ID] > 0 {
				retries = append(retries, r.now)
			}
			r.attempts[snd.ID]++
			queue = append(queue[1:],
				sends(r.handle(finished(snd.ID, r.attempts[snd.ID]-1, snd.Server, decision.Error, 0)))...)
		}
		queue = sends(r.handleAt(r.now + 0.0625)) // a sixteenth: sixteen steps are exactly one window
	}
	if len(retries) < 50 {
		t.Fatalf("only %d retries: the budget is not used", len(retries))
	}
	for i, at := range retries {
		in := func(list []float64) (n int) {
			for _, x := range list {
				if x > at-s.RetryBudget.Window && x <= at {
					n++
				}
			}
			return n
		}
		used := in(retries[:i+1])
		if allowed := float64(s.RetryBudget.Min) + s.RetryBudget.Ratio*float64(in(requests)); float64(used) > allowed {
			t.Fatalf("at %g: %d retries in the window, allowed %g", at, used, allowed)
		}
	}
}
