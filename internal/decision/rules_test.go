package decision_test

import (
	"math"
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
				r := newRig(t, s, servers(2)...)
				start := r.now
				id, ev := r.query(0, 3)
				queue := r.handle(ev...)
				var got []decision.Action
				for r.now < start+2.5 {
					answers := finals(queue)
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
							next = append(next, ended(snd.ID, r.attempts[snd.ID], snd.Server, c.status, 0.01))
						}
						r.attempts[snd.ID]++
					}
					queue = r.at(r.now+0.01, next...)
				}
				if len(got) != 1 {
					t.Fatalf("final answers of query %d: %v, want exactly one", id, got)
				}
			})
		}
	}
}

func TestClientDisconnectedEndsWithoutResponse(t *testing.T) {
	r := newRig(t, settings(), servers(2)...)
	id, ev := r.query(0, 2)
	r.handle(ev...)
	got := r.handle(decision.ClientDisconnected{ID: id})
	if len(finals(got)) != 0 || len(got) != 2 {
		t.Errorf("after the client left: %v, want two cancels only", got)
	}
	if got := r.at(r.now+3, decision.ClientDisconnected{ID: id}); len(got) != 0 {
		t.Errorf("a second notice led to %v", got)
	}
}

func TestRetriesFollowIdempotency(t *testing.T) {
	cases := []struct {
		name   string
		repeat decision.Idempotency
		status decision.Status
		after  float64 // time from the send to the outcome
		resend bool
		refuse bool // the final answer may be a refusal
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
			s.Classes[0].Idempotency, s.Classes[0].IdempotencyWindow = c.repeat, 0.3
			r := newRig(t, s, servers(2)...)
			_, ev := r.query(0, 1)
			first := sends(r.handle(ev...))[0]
			got := r.at(r.now+c.after, ended(first.ID, 0, first.Server, c.status, c.after))
			if again := len(sends(got)) == 1; again != c.resend {
				t.Fatalf("sent again: %v, want %v", again, c.resend)
			}
			n := 1
			for len(finals(got)) == 0 {
				again := sends(got)
				if len(again) != 1 || n > 3 {
					t.Fatalf("neither a send nor a final answer: %v", got)
				}
				got = r.at(r.now+0.01, ended(again[0].ID, n, again[0].Server, c.status, 0.01))
				n++
			}
			_, refused := finals(got)[0].(decision.Reject)
			if refused != c.refuse {
				t.Errorf("final answer %v, want a refusal: %v", finals(got)[0], c.refuse)
			}
		})
	}
}

func TestNonIdempotentQueryInFlightFailsAtItsEnd(t *testing.T) {
	s := settings()
	s.Classes[0].Idempotency = decision.NonIdempotent
	r := newRig(t, s, servers(2)...)
	_, ev := r.query(0, 1)
	r.handle(ev...)
	got := finals(r.at(r.now + 1.5))
	if len(got) != 1 {
		t.Fatalf("final answers %v, want one", got)
	}
	if _, ok := got[0].(decision.Fail); !ok {
		t.Errorf("final answer %T, want Fail: the part may have run", got[0])
	}
}

func TestDrainingAndRemovedServersGetNoAttempts(t *testing.T) {
	for _, c := range []struct {
		name string
		news decision.EndpointUpdate
	}{
		{"draining", decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", State: decision.Draining}}}},
		{"gone", decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", State: decision.Removed}}}},
		{"missing from a full list", decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: servers(2)[1:]}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, settings(), servers(2)...)
			r.handle(c.news)
			for range 50 {
				_, ev := r.query(0, 1)
				for _, snd := range sends(r.handle(ev...)) {
					if snd.Server != "s1" {
						t.Fatalf("sent to %s", snd.Server)
					}
					r.at(r.now+0.01, ended(snd.ID, 0, snd.Server, decision.OK, 0.01))
				}
			}
		})
	}
}

func TestPolledListIsPolledAgain(t *testing.T) {
	s := settings()
	s.PollEndpoints, s.PollInterval = true, 10
	p := decision.New(s, 1)
	watches := func(now float64, e ...decision.Event) (n int) {
		for _, a := range p.Handle(now, e) {
			if w, ok := a.(decision.WatchEndpoints); ok && w.On {
				n++
			}
		}
		return n
	}
	if watches(5, decision.EndpointUpdate{Mode: decision.CachedUpdate, Servers: servers(2)}) != 1 {
		t.Fatal("no subscription at the start")
	}
	if watches(5.1, decision.EndpointUpdate{Mode: decision.FailedUpdate}) != 0 {
		t.Error("asked again at once after a failure")
	}
	if watches(8.5) != 1 {
		t.Error("not asked again within a third of the time allowed")
	}
	if watches(8.6, decision.EndpointUpdate{Mode: decision.DeltaUpdate})+watches(60) != 0 {
		t.Error("asked again although subscribed")
	}
	if watches(61, decision.EndpointUpdate{Mode: decision.FailedUpdate})+watches(65) != 1 {
		t.Error("not asked again after the subscription broke")
	}
}

func TestSlowStartBudgetHoldsForOneBroker(t *testing.T) {
	s := settings()
	r := newRig(t, s, servers(4)...)
	r.warm(200, 0.02)
	cold := decision.Server{ID: "s0", Started: r.now}
	r.handle(decision.EndpointUpdate{Servers: []decision.Server{cold}})
	start, toCold, toAll := r.now, 0, 0
	for r.now < start+1 {
		_, ev := r.query(0, 1)
		for _, snd := range sends(r.handle(ev...)) {
			toAll++
			if snd.Server == "s0" {
				toCold++
			}
			r.at(r.now+0.02, ended(snd.ID, 0, snd.Server, decision.OK, 0.02))
		}
	}
	// Warm servers were seen to take a quarter of some 50 a second each; the cold one has a quarter of that.
	limit := s.SlowStart.OverloadFactor * (s.SlowStart.InitialFraction + 0.75*1/s.SlowStart.Duration) * 50 / 4
	if float64(toCold) > limit {
		t.Errorf("%d of %d parts went to the cold server in its first second, limit %g", toCold, toAll, limit)
	}
}

func TestPartsWaitWhileAllReplicasWarmUp(t *testing.T) {
	s0, s1 := decision.Server{ID: "s0", Started: 99.9}, decision.Server{ID: "s1", Started: 99.9}
	r := newRig(t, settings(), s0, s1)
	_, ev := r.query(0, 8)
	if n := len(sends(r.handle(ev...))); n > 4 {
		t.Errorf("%d parts sent at once to two cold servers of unknown capacity", n)
	}
	r.at(r.now + 0.9)
	if got := finals(r.at(r.now + 0.5)); len(got) != 1 {
		t.Errorf("final answers %v, want one", got)
	}
}

func TestResponsesAreMarkedCompleteOnlyIfTheyAre(t *testing.T) {
	cases := []struct {
		name        string
		need, floor float64
		in, parts   int
		want        decision.Action // with ID 0; nil: no answer before the end
	}{
		{"whole", 1, 1, 4, 4, decision.Respond{Complete: true}},
		{"all needed, one missing", 1, 1, 3, 4, decision.Reject{}},
		{"partial at its floor", 1, 0.5, 2, 4, decision.Respond{}},
		{"partial under its floor", 1, 0.5, 1, 4, decision.Reject{}},
		{"need under one", 0.5, 0.5, 2, 4, decision.Respond{Complete: true}},
		{"thirds add up", 1, 1, 3, 3, decision.Respond{Complete: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.Classes[0].CompletenessThreshold, s.Classes[0].MinCompleteness = c.need, c.floor
			r := newRig(t, s, servers(3)...)
			id, ev := r.query(0, c.parts)
			out := sends(r.handle(ev...))
			var got []decision.Action
			for i := range c.in {
				got = append(got, finals(r.handle(ended(out[i].ID, 0, out[i].Server, decision.OK, 0)))...)
			}
			got = append(got, finals(r.at(r.now+1))...)
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

func TestSecondPhase(t *testing.T) {
	for _, c := range []struct {
		name        string
		first, then int // parts in of four, then of two
		whole       bool
		answered    bool
	}{
		{"both whole", 4, 2, true, true},
		{"first in part", 2, 2, false, true},
		{"second in part", 4, 1, false, true},
		{"second empty", 4, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.Classes[0].MinCompleteness, s.Classes[0].SecondPhaseFanout, s.Classes[0].LateValue = 0.5, 2, 0.5
			r := newRig(t, s, servers(3)...)
			id, ev := r.query(0, 4)
			out := sends(r.handle(ev...))
			var got []decision.Action
			for i := range c.first {
				got = append(got, finals(r.handle(ended(out[i].ID, 0, out[i].Server, decision.OK, 0)))...)
			}
			if c.first < 4 {
				got = append(got, finals(r.at(r.now+1))...)
			}
			if len(got) != 1 || got[0] != (decision.Respond{ID: id, Complete: c.first == 4}) {
				t.Fatalf("first answer %v", got)
			}
			out = sends(r.at(r.now+0.01,
				decision.Part{ID: id + 50, QueryNumber: r.number, Weight: 0.5},
				decision.Part{ID: id + 51, QueryNumber: r.number, Weight: 0.5}))
			if len(out) != 2 {
				t.Fatalf("second step sent %d parts, want 2", len(out))
			}
			got = nil
			for i := range c.then {
				got = append(got, finals(r.handle(ended(out[i].ID, 0, out[i].Server, decision.OK, 0)))...)
			}
			got = append(got, finals(r.at(r.now+2))...)
			if len(got) != 1 {
				t.Fatalf("final answers %v, want one", got)
			}
			a, ok := got[0].(decision.Respond)
			if ok != c.answered || ok && a.Complete != c.whole {
				t.Errorf("final answer %v, want answered %v, whole %v", got[0], c.answered, c.whole)
			}
		})
	}
}

func TestNonIdempotentQueryIsNotRejectedAfterItsFirstPhase(t *testing.T) {
	s := settings()
	s.Classes[0].Idempotency, s.Classes[0].SecondPhaseFanout = decision.NonIdempotent, 1
	r := newRig(t, s, servers(2)...)
	id, ev := r.query(0, 1)
	out := sends(r.handle(ev...))
	r.handle(ended(out[0].ID, 0, out[0].Server, decision.OK, 0))
	r.handle(decision.Part{ID: id + 50, QueryNumber: r.number, Weight: 1})
	r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate}) // no server is left
	if got := finals(r.at(r.now + 1)); len(got) != 1 || got[0] != (decision.Fail{ID: id}) {
		t.Errorf("final answers %v, want one Fail: the first step has run", got)
	}
}

func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	s := settings()
	s.RetryBudget.Enabled, s.RetryBudget.Min, s.RetryBudget.Ratio, s.RetryBudget.Window = true, 2, 0.25, 1
	r := newRig(t, s, servers(3)...)
	var taken, extra []float64
	var queue []decision.Send
	for range 400 {
		_, ev := r.query(0, 1)
		taken = append(taken, r.now, r.now)
		queue = append(queue, sends(r.handle(ev...))...)
		for len(queue) > 0 {
			snd := queue[0]
			if r.attempts[snd.ID] > 0 {
				extra = append(extra, r.now)
			}
			r.attempts[snd.ID]++
			queue = append(queue[1:],
				sends(r.handle(ended(snd.ID, r.attempts[snd.ID]-1, snd.Server, decision.Error, 0)))...)
		}
		queue = sends(r.at(r.now + 0.0625)) // a sixteenth: sixteen steps are exactly one window
	}
	if len(extra) < 50 {
		t.Fatalf("only %d further attempts: the budget is not used", len(extra))
	}
	for i, at := range extra {
		in := func(list []float64) (n int) {
			for _, x := range list {
				if x > at-s.RetryBudget.Window && x <= at {
					n++
				}
			}
			return n
		}
		used := in(extra[:i+1])
		if allowed := float64(s.RetryBudget.Min) + s.RetryBudget.Ratio*float64(in(taken)); float64(used) > allowed {
			t.Fatalf("at %g: %d further attempts in the window, allowed %g", at, used, allowed)
		}
	}
}

func TestHedgesOnlyWhereAllowed(t *testing.T) {
	for _, copies := range []bool{false, true} {
		s := settings()
		s.HedgingAllowed = copies
		r := newRig(t, s, servers(3)...)
		r.warm(40, 0.05)
		_, ev := r.query(0, 1)
		first := sends(r.handle(ev...))[0]
		got := r.at(r.now + 0.5) // ten times the usual, and the server is silent
		if !copies {             // the attempt is given up first, and only its end lets another go
			if len(got) != 1 || got[0] != (decision.Cancel{ID: first.ID}) {
				t.Fatalf("%v, want the running attempt cancelled", got)
			}
			if again := r.at(r.now + 0.01); len(again) != 0 {
				t.Errorf("%v before the cancelled attempt has ended", again)
			}
			got = r.handle(ended(first.ID, 0, first.Server, decision.Cancelled, 0.5))
		}
		if n := len(sends(got)); n != 1 {
			t.Fatalf("copies allowed %v: %v, want one more attempt", copies, got)
		}
		if sends(got)[0].Server == first.Server {
			t.Error("the other attempt went to the server that is silent")
		}
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	run := func(seed uint64) (all []decision.Action) {
		r := newRig(t, settings(), servers(5)...)
		r.p = decision.New(settings(), seed)
		r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: servers(5)})
		for range 50 {
			_, ev := r.query(0, 4)
			got := r.handle(ev...)
			all = append(all, got...)
			for _, snd := range sends(got) {
				all = append(all, r.at(r.now+0.01, ended(snd.ID, 0, snd.Server, decision.OK, 0.01))...)
			}
		}
		return all
	}
	if !reflect.DeepEqual(run(3), run(3)) {
		t.Error("equal seeds and events gave different actions")
	}
	if reflect.DeepEqual(run(3), run(4)) {
		t.Error("the seed has no effect")
	}
}

func TestDrawIsProportionalToFitness(t *testing.T) {
	s := settings()
	s.ReportMode = decision.ReportPiggyback
	busy := []float64{0, 0.2, 0.5}
	for _, batch := range []int{1, 8} {
		s.MaxPartsPerCall = batch
		r := newRig(t, s, servers(3)...)
		load := func(server string) decision.LoadReport {
			l := decision.NoLoadReport
			l.Utilization, l.QueueLength = busy[server[1]-'0'], 0
			return l
		}
		count, together, n := map[string]float64{}, 0, 4000
		for i := range n {
			if i == 500 {
				r.now += 11 // the table is rebuilt from what came so far
				r.handle()
				clear(count)
				together = 0
			}
			_, ev := r.query(0, 2)
			out := sends(r.handle(ev...))
			if out[0].Server == out[1].Server {
				together++
			}
			for _, snd := range out {
				count[snd.Server]++
				e := ended(snd.ID, 0, snd.Server, decision.OK, 0)
				e.LoadReport = load(snd.Server)
				r.handle(e)
			}
		}
		if batch == 1 {
			continue // parts of one turn see each other in flight: only the first is plain
		}
		sum := 0.0
		for _, b := range busy {
			sum += math.Pow(1.02, -100*b)
		}
		for i, b := range busy {
			want := math.Pow(1.02, -100*b) / sum
			got := count[servers(3)[i].ID] / float64(2*(n-500))
			if math.Abs(got-want) > 0.03 {
				t.Errorf("busy %g: share %.3f, want %.3f", b, got, want)
			}
		}
		if together != n-500 {
			t.Errorf("%d of %d pairs of one shard shared a call, want all", together, n-500)
		}
	}
}

func TestTriedReplicasWaitForTheOthers(t *testing.T) {
	s := settings()
	s.MaxAttempts = 5
	r := newRig(t, s, servers(3)...)
	for range 30 {
		_, ev := r.query(0, 1)
		queue := sends(r.handle(ev...))
		var order []string
		asked := map[string]float64{}
		for n := 0; len(queue) > 0; n++ {
			last := queue[0]
			// One that failed at once is not asked again at once: that would use up the attempts in a moment.
			if r.now < asked[last.Server]+0.02 {
				t.Fatalf("attempt %d goes to a replica that was asked just now", n)
			}
			order, asked[last.Server] = append(order, last.Server), r.now
			queue = sends(r.at(r.now+0.001, ended(last.ID, n, last.Server, decision.Error, 0)))
			if len(queue) == 0 {
				queue = sends(r.at(r.now + 0.02))
			}
		}
		if len(order) != 5 {
			t.Fatalf("%d attempts, want the limit of 5", len(order))
		}
		if order[0] == order[1] || order[1] == order[2] || order[0] == order[2] {
			t.Fatalf("a tried replica was drawn before all were tried: %v", order)
		}
		r.now += 10
	}
}

func TestPulledReportsAreAskedForEveryTenSeconds(t *testing.T) {
	s := settings()
	s.ReportMode, s.HealthChecksAllowed = decision.ReportPull, true
	p := decision.New(s, 1)
	probes := func(now float64, e ...decision.Event) (n int) {
		for _, a := range p.Handle(now, e) {
			if _, ok := a.(decision.CheckHealth); ok {
				n++
			}
		}
		return n
	}
	if n := probes(0, decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: servers(4)}); n != 4 {
		t.Errorf("%d probes at the start, want 4", n)
	}
	if n := probes(9.9); n != 0 {
		t.Errorf("%d probes before ten seconds, want none", n)
	}
	if n := probes(10); n != 4 {
		t.Errorf("%d probes after ten seconds, want 4", n)
	}
}
