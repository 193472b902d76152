package decision_test

import (
	"testing"

	"mothrouter/internal/decision"
)

func TestHedgesOnlyIfAllowed(t *testing.T) {
	for _, hedging := range []bool{false, true} {
		cfg := settings()
		cfg.HedgingAllowed = hedging
		r := newRunner(t, cfg, servers(3)...)
		r.answerQueries(40, 0.05)
		_, ev := r.query(0, 1)
		first := sends(r.handle(ev...))[0]
		got := r.handleAt(r.now + 0.5) // ten times the latency of other attempts
		if !hedging {                  // the attempt is cancelled, and retried only once its outcome is known
			if len(got) != 1 || got[0] != (decision.Cancel{ID: first.ID}) {
				t.Fatalf("actions %v, want the attempt in flight cancelled", got)
			}
			if actions := r.handleAt(r.now + 0.01); len(actions) != 0 {
				t.Errorf("actions %v before the outcome of the cancelled attempt, want none", actions)
			}
			got = r.handle(finished(first.ID, 0, first.Server, decision.Cancelled, 0.5))
		}
		if n := len(sends(got)); n != 1 {
			t.Fatalf("HedgingAllowed %v: actions %v, want one Send", hedging, got)
		}
		if sends(got)[0].Server == first.Server {
			t.Errorf("HedgingAllowed %v: second attempt sent to %s again, which has not answered", hedging, first.Server)
		}
	}
}

// If all servers of a replica set stall, retries must not add to their load, and queries are rejected until they answer.
func TestNoRetriesToStalledReplicaSet(t *testing.T) {
	r := newRunner(t, settings(), servers(3)...)
	r.answerQueries(60, 0.05)
	attempts, rejected := 0, 0
	var out []decision.Send
	for range 40 {
		_, ev := r.query(0, 3)
		actions := r.handleAt(r.now+0.1, ev...)
		for len(actions) > 0 {
			var next []decision.Event
			for _, a := range actions {
				switch a := a.(type) {
				case decision.Send:
					attempts++
					out = append(out, a)
				case decision.Cancel:
					server := serverOf(out, a.ID, a.Attempt)
					next = append(next, finished(a.ID, a.Attempt, server, decision.Cancelled, 0.3))
				case decision.Reject:
					rejected++
				}
			}
			actions = nil
			if len(next) > 0 {
				actions = r.handle(next...)
			}
		}
	}
	if attempts > 33 {
		t.Errorf("%d attempts sent to a stalled replica set in 4 s, want at most 33 for 120 parts", attempts)
	}
	if rejected < 20 {
		t.Errorf("%d of 40 queries rejected, want at least 20", rejected)
	}
}

// serverOf returns the server to which an attempt of a part was sent.
func serverOf(out []decision.Send, id decision.RequestID, attempt int) string {
	for _, s := range out {
		if s.ID == id {
			if attempt == 0 {
				return s.Server
			}
			attempt--
		}
	}
	return ""
}

// If a server answers much later attempts first, an attempt is assumed lost. It is cancelled once, to be retried, if the class
// is idempotent, and is not cancelled otherwise.
func TestOvertakenAttemptIsCancelled(t *testing.T) {
	for _, idempotency := range []decision.Idempotency{decision.Idempotent, decision.NonIdempotent} {
		cfg := settings()
		cfg.Classes[0].Idempotency = idempotency
		r := newRunner(t, cfg, servers(1)...) // the only server answers all attempts except the first
		r.answerQueries(40, 0.02)
		_, ev := r.query(0, 1)
		first := sends(r.handle(ev...))[0]
		cancelled := 0
		for range 10 {
			_, ev := r.query(0, 1)
			out := r.handle(ev...)
			r.now += 0.02
			for _, other := range sends(out) {
				out = append(out, r.handle(finished(other.ID, 0, other.Server, decision.OK, 0.02))...)
			}
			for _, a := range out {
				if c, ok := a.(decision.Cancel); ok && c.ID == first.ID {
					cancelled++
				}
			}
		}
		if want := map[decision.Idempotency]int{decision.Idempotent: 1}[idempotency]; cancelled != want {
			t.Errorf("idempotency %v: %d Cancel actions, want %d", idempotency, cancelled, want)
		}
	}
}

// If a complete answer does not need all parts, a part that has not been sent replaces one that is late.
func TestUnsentPartReplacesLatePart(t *testing.T) {
	cfg := settings()
	cfg.Classes[0].CompletenessThreshold, cfg.Classes[0].MinCompleteness = 0.5, 0.5
	cfg.HedgingAllowed = false
	r := newRunner(t, cfg, servers(12)...)
	r.answerQueries(60, 0.05)
	_, ev := r.query(0, 4)
	out := sends(r.handle(ev...))
	if len(out) != 2 {
		t.Fatalf("%d parts sent, want 2 of 4", len(out))
	}
	if n := len(sends(r.handleAt(r.now+0.04, finished(out[0].ID, 0, out[0].Server, decision.OK, 0.04)))); n != 0 {
		t.Fatalf("%d more parts sent before the other part is late, want 0", n)
	}
	substitutes := sends(r.handleAt(r.now + 0.02))
	if len(substitutes) != 1 || substitutes[0].ID == out[1].ID {
		t.Fatalf("sent %v when part %d was late, want one other part", substitutes, out[1].ID)
	}
}

// As long as there are too few latencies to determine when a hedge is due, a part in flight must not request immediate timers.
func TestNoTimerStormBeforeFirstAnswer(t *testing.T) {
	cfg := settings()
	cfg.HedgingAllowed = true
	r := newRunner(t, cfg, servers(3)...)
	_, ev := r.query(0, 1)
	r.handle(ev...)
	for range 20 {
		r.now += cfg.Tick
		for _, a := range r.p.Handle(r.now, []decision.Event{decision.TimerFired{Token: 1}}) {
			if timer, ok := a.(decision.SetTimer); ok && timer.At <= r.now {
				t.Fatalf("timer set for %g s at %g s, although nothing is due", timer.At, r.now)
			}
		}
	}
}
