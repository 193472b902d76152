package decision_test

import (
	"testing"

	"mothrouter/internal/decision"
)

func TestRetriesRespectIdempotency(t *testing.T) {
	cases := []struct {
		name        string
		idempotency decision.Idempotency
		status      decision.Status
		after       float64 // time from the send to the outcome
		retried     bool
		rejects     bool // whether the final answer is a Reject; if not, it is a Fail
	}{
		{"non-idempotent, overloaded", decision.NonIdempotent, decision.Overloaded, 0.1, true, true},
		{"non-idempotent, unreachable", decision.NonIdempotent, decision.Unreachable, 0.1, true, true},
		{"non-idempotent, not sent", decision.NonIdempotent, decision.NotSent, 0.1, true, true},
		{"non-idempotent, error", decision.NonIdempotent, decision.Error, 0.1, false, false},
		{"non-idempotent, reset", decision.NonIdempotent, decision.Reset, 0.1, false, false},
		{"non-idempotent, timed out", decision.NonIdempotent, decision.TimedOut, 0.1, false, false},
		{"non-idempotent, cancelled", decision.NonIdempotent, decision.Cancelled, 0.1, false, false},
		{"idempotent with key, error within the window", decision.IdempotentWithKey, decision.Error, 0.29, true, false},
		{"idempotent with key, error after the window", decision.IdempotentWithKey, decision.Error, 0.31, false, false},
		{"idempotent with key, unreachable after the window", decision.IdempotentWithKey, decision.Unreachable, 0.31, true, true},
		{"idempotent, error", decision.Idempotent, decision.Error, 0.31, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cfg := settings()
			cfg.Classes[0].Idempotency, cfg.Classes[0].IdempotencyWindow = c.idempotency, 0.3
			r := newRunner(t, cfg, servers(2)...)
			_, ev := r.query(0, 1)
			first := sends(r.handle(ev...))[0]
			got := r.handleAt(r.now+c.after, finished(first.ID, 0, first.Server, c.status, c.after))
			if retried := len(sends(got)) == 1; retried != c.retried {
				t.Fatalf("retried: %v, want %v", retried, c.retried)
			}
			n := 1
			for len(finalAnswers(got)) == 0 {
				retries := sends(got)
				if len(retries) != 1 || n > 3 {
					t.Fatalf("actions %v after attempt %d, want one Send or a final answer", got, n)
				}
				got = r.handleAt(r.now+0.01, finished(retries[0].ID, n, retries[0].Server, c.status, 0.01))
				n++
			}
			_, rejected := finalAnswers(got)[0].(decision.Reject)
			if rejected != c.rejects {
				t.Errorf("final answer %v, want Reject: %v", finalAnswers(got)[0], c.rejects)
			}
		})
	}
}

func TestNonIdempotentQueryInFlightFailsAtObjective(t *testing.T) {
	cfg := settings()
	cfg.Classes[0].Idempotency = decision.NonIdempotent
	r := newRunner(t, cfg, servers(2)...)
	_, ev := r.query(0, 1)
	r.handle(ev...)
	got := finalAnswers(r.handleAt(r.now + 1.5))
	if len(got) != 1 {
		t.Fatalf("final answers %v, want one", got)
	}
	if _, ok := got[0].(decision.Fail); !ok {
		t.Errorf("final answer %T, want Fail, since the part may have been executed", got[0])
	}
}

func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	cfg := settings()
	cfg.RetryBudget.Enabled, cfg.RetryBudget.Min, cfg.RetryBudget.Ratio, cfg.RetryBudget.Window = true, 2, 0.25, 1
	r := newRunner(t, cfg, servers(3)...)
	var requests, retries []float64
	var queue []decision.Send
	for range 400 {
		_, ev := r.query(0, 1)
		requests = append(requests, r.now, r.now)
		queue = append(queue, sends(r.handle(ev...))...)
		for len(queue) > 0 {
			send := queue[0]
			if r.attempts[send.ID] > 0 {
				retries = append(retries, r.now)
			}
			r.attempts[send.ID]++
			queue = append(queue[1:],
				sends(r.handle(finished(send.ID, r.attempts[send.ID]-1, send.Server, decision.Error, 0)))...)
		}
		queue = sends(r.handleAt(r.now + 0.0625)) // 1/16 s, so that 16 steps are exactly one window
	}
	if len(retries) < 50 {
		t.Fatalf("%d retries, want at least 50, so that the budget limits them", len(retries))
	}
	for i, at := range retries {
		countInWindow := func(times []float64) (n int) {
			for _, sentAt := range times {
				if sentAt > at-cfg.RetryBudget.Window && sentAt <= at {
					n++
				}
			}
			return n
		}
		used := countInWindow(retries[:i+1])
		allowed := float64(cfg.RetryBudget.Min) + cfg.RetryBudget.Ratio*float64(countInWindow(requests))
		if float64(used) > allowed {
			t.Fatalf("at %g s: %d retries in the window, want at most %g", at, used, allowed)
		}
	}
}
