package decision_test

import (
	"testing"

	"mothrouter/internal/decision"
)

func TestHedgesOnlyWhereAllowed(t *testing.T) {
	for _, hedging := range []bool{false, true} {
		s := settings()
		s.HedgingAllowed = hedging
		r := newRunner(t, s, servers(3)...)
		r.answerQueries(40, 0.05)
		_, ev := r.query(0, 1)
		first := sends(r.handle(ev...))[0]
		got := r.handleAt(r.now + 0.5) // ten times the usual, and the server is silent
		if !hedging {                  // the attempt is given up first, and only its end lets another go
			if len(got) != 1 || got[0] != (decision.Cancel{ID: first.ID}) {
				t.Fatalf("%v, want the running attempt cancelled", got)
			}
			if again := r.handleAt(r.now + 0.01); len(again) != 0 {
				t.Errorf("%v before the cancelled attempt has ended", again)
			}
			got = r.handle(finished(first.ID, 0, first.Server, decision.Cancelled, 0.5))
		}
		if n := len(sends(got)); n != 1 {
			t.Fatalf("hedging allowed %v: %v, want one more attempt", hedging, got)
		}
		if sends(got)[0].Server == first.Server {
			t.Error("the other attempt went to the server that is silent")
		}
	}
}

// All servers of a replica set stall: retries must not add to their load, and queries are rejected until they answer.
func TestNoRetriesIntoASilentReplicaSet(t *testing.T) {
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
					srv := serverOf(out, a.ID, a.Attempt)
					next = append(next, finished(a.ID, a.Attempt, srv, decision.Cancelled, 0.3))
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
		t.Errorf("%d parts sent to a group that answers nothing in 4 s, want at most 33 of 120", attempts)
	}
	if rejected < 20 {
		t.Errorf("%d of 40 queries rejected, want at least 20", rejected)
	}
}

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

// An attempt that its server has long overtaken is lost: it is cancelled for another, once, where the class is idempotent,
// and left alone where it is not.
func TestOvertakenAttemptIsCancelled(t *testing.T) {
	for _, idempotency := range []decision.Idempotency{decision.Idempotent, decision.NonIdempotent} {
		s := settings()
		s.Classes[0].Idempotency = idempotency
		r := newRunner(t, s, servers(1)...) // one server: it answers everything else
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
			t.Errorf("idempotency %v: cancelled %d times, want %d", idempotency, cancelled, want)
		}
	}
}

// Where some of the parts make a complete answer, a spare part replaces one whose server stays silent.
func TestSparePartsReplaceSilentOnes(t *testing.T) {
	s := settings()
	s.Classes[0].CompletenessThreshold, s.Classes[0].MinCompleteness = 0.5, 0.5
	s.HedgingAllowed = false
	r := newRunner(t, s, servers(12)...)
	r.answerQueries(60, 0.05)
	_, ev := r.query(0, 4)
	out := sends(r.handle(ev...))
	if len(out) != 2 {
		t.Fatalf("%d parts sent, want 2 of 4", len(out))
	}
	if n := len(sends(r.handleAt(r.now+0.04, finished(out[0].ID, 0, out[0].Server, decision.OK, 0.04)))); n != 0 {
		t.Fatalf("%d spare parts sent while the other may come in time, want 0", n)
	}
	spare := sends(r.handleAt(r.now + 0.02))
	if len(spare) != 1 || spare[0].ID == out[1].ID {
		t.Fatalf("the other is late: %v sent, want one spare part", spare)
	}
}

// While too few answers are known to say when a hedge is due, a part in flight requests no timers in between.
func TestNoTimerStormBeforeFirstAnswer(t *testing.T) {
	s := settings()
	s.HedgingAllowed = true
	r := newRunner(t, s, servers(3)...)
	_, ev := r.query(0, 1)
	r.handle(ev...)
	for range 20 {
		r.now += s.Tick
		for _, a := range r.p.Handle(r.now, []decision.Event{decision.TimerFired{Token: 1}}) {
			if timer, ok := a.(decision.SetTimer); ok && timer.At <= r.now {
				t.Fatal("a timer for at once, though nothing is due")
			}
		}
	}
}
