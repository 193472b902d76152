package decision_test

import (
	"testing"

	"mothrouter/internal/decision"
)

// Each test stands for a failure that was met; it fails without the defence that answers it.

// A whole group stalls: repeats must not feed it, and its queries are refused until it answers again.
func TestNoRetriesIntoASilentReplicaSet(t *testing.T) {
	r := newRig(t, settings(), servers(3)...)
	r.warm(60, 0.05)
	toJam, refused := 0, 0
	var out []decision.Send
	for range 40 {
		_, ev := r.query(0, 3)
		actions := r.at(r.now+0.1, ev...)
		for len(actions) > 0 {
			var next []decision.Event
			for _, a := range actions {
				switch a := a.(type) {
				case decision.Send:
					toJam++
					out = append(out, a)
				case decision.Cancel:
					srv := serverOf(out, a.ID, a.Attempt)
					next = append(next, ended(a.ID, a.Attempt, srv, decision.Cancelled, 0.3))
				case decision.Reject:
					refused++
				}
			}
			actions = nil
			if len(next) > 0 {
				actions = r.handle(next...)
			}
		}
	}
	if toJam > 33 {
		t.Errorf("%d parts sent to a group that answers nothing in 4 s, want at most 33 of 120", toJam)
	}
	if refused < 20 {
		t.Errorf("%d of 40 queries refused, want at least 20", refused)
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

// share counts where single parts go when every server answers as the table of behaviour says.
func share(r *rig, n int, answer func(decision.Send) decision.Event) map[string]int {
	count := map[string]int{}
	for range n {
		_, ev := r.query(0, 1)
		out := sends(r.at(r.now+0.02, ev...))
		for k := 0; len(out) > 0; k++ {
			count[out[0].Server]++
			e := answer(out[0])
			if e == nil {
				break
			}
			end := e.(decision.AttemptFinished)
			end.Attempt = k
			out = sends(r.at(r.now+0.005, end))
		}
	}
	return count
}

// A server that fails fast shows a short queue and would win parts.
func TestFailingServerLosesWeight(t *testing.T) {
	for _, st := range []decision.Status{decision.Error, decision.Overloaded, decision.Unreachable,
		decision.Reset} {
		r := newRig(t, settings(), servers(3)...)
		r.warm(60, 0.05)
		answer := func(s decision.Send) decision.Event {
			if s.Server == "s0" {
				return ended(s.ID, 0, s.Server, st, 0.001)
			}
			return ended(s.ID, 0, s.Server, decision.OK, 0.05)
		}
		share(r, 30, answer)
		if got := share(r, 100, answer)["s0"]; got > 10 {
			t.Errorf("status %d: %d of 100 parts went to the failing server, want at most 10", st, got)
		}
	}
}

// A hung server sends no figures: its last good fitness stands in the table.
func TestSilentServerLosesWeight(t *testing.T) {
	r := newRig(t, settings(), servers(3)...)
	r.warm(60, 0.05)
	answer := func(s decision.Send) decision.Event {
		if s.Server == "s0" {
			return nil
		}
		return ended(s.ID, 0, s.Server, decision.OK, 0.05)
	}
	if got := share(r, 200, answer)["s0"]; got > 20 {
		t.Errorf("%d of 200 parts went to the silent server, want at most 20", got)
	}
}

// Clients leave long before their stated deadline: the answer in part must come while they still wait.
func TestResponsesPrecedeClientTimeouts(t *testing.T) {
	s := settings()
	s.Classes[0].MinCompleteness = 0.5
	r := newRig(t, s, servers(3)...)
	r.warm(60, 0.05)
	for range 10 {
		id, ev := r.query(0, 2)
		out := sends(r.handle(ev...))
		if len(out) != 2 || len(finals(r.at(r.now+0.4))) > 0 {
			t.Fatalf("%d parts sent, want 2 and no final answer within 0.4 s", len(out))
		}
		r.handle(decision.ClientDisconnected{ID: id}, ended(out[0].ID, 0, out[0].Server, decision.OK, 0.1),
			ended(out[1].ID, 0, out[1].Server, decision.Cancelled, 0.4))
		r.now += 5 // long enough for the parts that were cancelled to be forgotten
	}
	id, ev := r.query(0, 2)
	out := sends(r.handle(ev...))
	if len(out) != 2 {
		t.Fatalf("%d parts sent, want 2", len(out))
	}
	r.at(r.now+0.1, ended(out[0].ID, 0, out[0].Server, decision.OK, 0.1))
	got := finals(r.at(r.now + 0.29))
	if len(got) != 1 || got[0] != (decision.Respond{ID: id}) {
		t.Errorf("just before clients leave: %v, want an answer in part", got)
	}
}

// Every server fails most attempts: no query is refused for it, since no server is worse than its peers.
func TestFleetWideErrorsRejectNoQuery(t *testing.T) {
	r := newRig(t, settings(), servers(3)...)
	r.warm(60, 0.05)
	_, held := r.query(0, 3)
	r.handle(held...) // these stay out, so that the group is never idle
	refused := 0
	for i := range 60 {
		_, ev := r.query(0, 1)
		out := sends(r.at(r.now+0.005, ev...))
		if len(out) == 0 {
			refused++
			continue
		}
		for k := 0; len(out) > 0; k++ {
			st := decision.Error
			if k == 2 || i%10 == 0 {
				st = decision.OK
			}
			out = sends(r.handle(ended(out[0].ID, k, out[0].Server, st, 0.02)))
		}
	}
	if refused > 0 {
		t.Errorf("%d of 60 queries refused, want none", refused)
	}
}

// A restarted process owes nothing for its predecessor: it must not stay condemned for its predecessor's end.
func TestRestartResetsFailureRatio(t *testing.T) {
	s := settings()
	s.SlowStart.Duration = 0
	r := newRig(t, s, servers(3)...)
	share(r, 60, func(snd decision.Send) decision.Event {
		if snd.Server == "s0" {
			return ended(snd.ID, 0, snd.Server, decision.Unreachable, 0.001)
		}
		return ended(snd.ID, 0, snd.Server, decision.OK, 0.01)
	})
	r.handle(decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", Started: r.now}}})
	first := share(r, 12, func(snd decision.Send) decision.Event {
		return ended(snd.ID, 0, snd.Server, decision.OK, 0.01)
	})
	if first["s0"] < 2 {
		t.Errorf("%d of the first 12 parts went to the restarted server, want at least 2", first["s0"])
	}
}

// Where crossing zones has a price, parts stay near; where it has none, zones do not matter.
func TestPartsStayInZoneWhereCrossingCosts(t *testing.T) {
	for _, c := range []struct {
		price    float64
		min, max int
	}{{0, 120, 180}, {0.04, 8, 50}} {
		s := settings()
		s.CrossZoneCost = c.price
		list := servers(2)
		list[1].Zone = 1
		got := share(newRig(t, s, list...), 300, func(snd decision.Send) decision.Event {
			return ended(snd.ID, 0, snd.Server, decision.OK, 0.01)
		})["s1"]
		if got < c.min || got > c.max {
			t.Errorf("price %g: %d of 300 parts crossed zones, want %d to %d", c.price, got, c.min, c.max)
		}
	}
}

// A broker of many sees little of each server: one long answer must tell, and be forgotten again.
func TestSlowServerLosesWeightForAWhile(t *testing.T) {
	r := newRig(t, settings(), servers(3)...)
	slow := 1.0
	answer := func(s decision.Send) decision.Event {
		if s.Server == "s0" {
			return ended(s.ID, 0, s.Server, decision.OK, 0.05*slow)
		}
		return ended(s.ID, 0, s.Server, decision.OK, 0.05)
	}
	rare := func(n int) int {
		count := 0
		for range n {
			r.now++
			count += share(r, 1, answer)["s0"]
		}
		return count
	}
	rare(30)
	slow = 8
	if got := rare(100); got > 15 {
		t.Errorf("%d of 100 parts went to the slow server, want at most 15", got)
	}
	slow = 1
	rare(60)
	if got := rare(150); got < 30 {
		t.Errorf("%d of 150 parts went to the server after it had recovered, want at least 30", got)
	}
}

// Where all replicas of a shard answer slowly, for others' parts too, few queries are let through on trial.
func TestSlowShardIsRejectedDespiteIdleBroker(t *testing.T) {
	s := settings()
	s.ReplicaSets = 2
	list := servers(4)
	list[2].ReplicaSet, list[3].ReplicaSet = 1, 1
	r := newRig(t, s, list...)
	refused := 0
	for i := range 120 {
		_, ev := r.query(0, 1)
		took := 0.05
		if i%2 == 1 {
			pt := ev[1].(decision.Part)
			pt.Shard, took = 1, 0.9
			ev[1] = pt
		}
		out := sends(r.at(r.now+0.5, ev...))
		if len(out) == 0 && i >= 40 {
			refused++
			if i%2 == 0 {
				t.Fatal("a query of the quick shard was refused")
			}
		}
		for _, snd := range out {
			r.at(r.now+took, ended(snd.ID, 0, snd.Server, decision.OK, took))
		}
	}
	if refused < 20 || refused == 40 {
		t.Errorf("%d of 40 queries of the slow shard refused, want most and not all", refused)
	}
}

// Ninety brokers with a part each for a cold server: together they must stay under what makes it fall over,
// and still use it.
func TestBrokersShareSlowStartBudget(t *testing.T) {
	const brokers, warmRate = 90, 12 // warmRate: parts a second that each warm server answers, to all brokers
	s := settings()
	s.Brokers, s.ReplicaSets = brokers, 2
	toCold, windows := 0, 4
	for m := range brokers {
		r := newRig(t, s, servers(4)...)
		r.p = decision.New(s, uint64(m))
		r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: servers(4)})
		for range 60 { // this broker's share of what four servers answer
			_, ev := r.query(0, 1)
			for _, snd := range sends(r.handle(ev...)) {
				r.at(r.now+brokers/4.0/warmRate, ended(snd.ID, 0, snd.Server, decision.OK, 0.02))
			}
		}
		r.handle(decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", ReplicaSet: 1, Started: r.now}}})
		for range 40 * windows { // a query whenever it likes, in each fall window
			_, ev := r.query(0, 1)
			pt := ev[1].(decision.Part)
			pt.Shard = 1
			ev[1] = pt
			for _, snd := range sends(r.at(r.now+s.SlowStart.OverloadWindow/40, ev...)) {
				toCold++
				r.handle(ended(snd.ID, 0, snd.Server, decision.OK, 0.02))
			}
		}
	}
	limit := s.SlowStart.OverloadFactor * (s.SlowStart.InitialFraction + 0.75*4/s.SlowStart.Duration) * warmRate
	if got := float64(toCold) / float64(windows); got > limit || got < limit/4 {
		t.Errorf("%g parts in a fall window to a cold server, want %g to %g", got, limit/4, limit)
	}
}

// A jam has the queries of all shards refused; when it has passed, nothing but time can tell, since queries of
// many parts are never let through part by part.
func TestRejectionEndsAfterOverload(t *testing.T) {
	r := newRig(t, settings(), servers(120)...)
	ask := func(took float64) (sent bool) { // as a whole
		_, ev := r.query(0, 40)
		out := sends(r.at(r.now+0.5, ev...))
		n := 0
		for len(out) > 0 { // those that go ahead, then the others
			var back []decision.Event
			for _, snd := range out {
				back = append(back, ended(snd.ID, 0, snd.Server, decision.OK, took))
			}
			n += len(out)
			out = sends(r.at(r.now+took, back...))
		}
		return n >= 40
	}
	jammed := false
	for range 20 {
		jammed = !ask(0.95) || jammed
	}
	if !jammed {
		t.Fatal("nothing was refused in the jam")
	}
	r.now += 30
	for range 3 {
		if !ask(0.05) {
			t.Error("a query was refused 30 s after the jam")
		}
	}
}

// A query whose parts all bring down the servers that begin them is given up, its client's repeats are turned
// away before they cost a server, and the class's next query sends one part ahead.
func TestPoisonQueryIsQuarantined(t *testing.T) {
	r := newRig(t, settings(), servers(12)...)
	r.warm(60, 0.05)
	id, ev := r.query(0, 6)
	out := sends(r.handle(ev...))
	if len(out) != 6 {
		t.Fatalf("%d parts sent, want 6", len(out))
	}
	var resets []decision.Event
	for _, snd := range out {
		resets = append(resets, ended(snd.ID, 0, snd.Server, decision.Reset, 0.02))
	}
	actions := r.at(r.now+0.02, resets...)
	if got := finals(actions); len(got) != 1 || got[0] != (decision.Reject{ID: id}) || len(sends(actions)) > 0 {
		t.Errorf("all parts broke their servers: %v, want a refusal and no further send", actions)
	}
	id, ev = r.query(0, 6)
	actions = r.at(r.now+0.1, ev...)
	if got := finals(actions); len(got) != 1 || got[0] != (decision.Reject{ID: id}) || len(sends(actions)) > 0 {
		t.Errorf("its repeat: %v, want a refusal and no send", actions)
	}
	_, ev = r.query(0, 5)
	ahead := sends(r.at(r.now+0.1, ev...))
	if len(ahead) != 1 {
		t.Fatalf("%d parts sent ahead, want 1", len(ahead))
	}
	rest := sends(r.at(r.now+0.05, ended(ahead[0].ID, 0, ahead[0].Server, decision.OK, 0.05)))
	if len(rest) != 4 {
		t.Errorf("%d parts sent after the first was answered, want 4", len(rest))
	}
	_, ev = r.query(0, 5)
	if n := len(sends(r.at(r.now+0.1, ev...))); n != 1 {
		t.Fatalf("%d parts sent ahead, want 1", n)
	}
	if n := len(sends(r.at(r.now + 0.35))); n != 4 {
		t.Errorf("%d parts sent once the first took too long, want 4", n)
	}
}

// Half of the servers break connections off before any work: that tells of them, not of the query.
func TestResetsAloneDoNotQuarantineAQuery(t *testing.T) {
	s := settings()
	s.MaxAttempts = 6
	r := newRig(t, s, servers(12)...)
	r.warm(60, 0.05)
	_, ev := r.query(0, 6)
	out := sends(r.handle(ev...))
	var events []decision.Event
	for i, snd := range out {
		if i < 3 {
			events = append(events, ended(snd.ID, 0, snd.Server, decision.Reset, 0.002))
		}
	}
	actions := r.at(r.now+0.005, events...)
	if got := finals(actions); len(got) > 0 {
		t.Fatalf("three of six parts broken off, three still out: %v, want no final answer", got)
	}
	again := len(sends(actions))
	events = nil
	for _, snd := range out[3:] {
		events = append(events, ended(snd.ID, 0, snd.Server, decision.OK, 0.05))
	}
	if again += len(sends(r.at(r.now+0.05, events...))); again != 3 {
		t.Errorf("%d parts sent again once the others were answered, want 3", again)
	}
}

// Where a share of the parts makes a whole answer, a spare part stands in for one whose server stays silent.
func TestSparePartsReplaceSilentOnes(t *testing.T) {
	s := settings()
	s.Classes[0].CompletenessThreshold, s.Classes[0].MinCompleteness = 0.5, 0.5
	s.HedgingAllowed = false
	r := newRig(t, s, servers(12)...)
	r.warm(60, 0.05)
	_, ev := r.query(0, 4)
	out := sends(r.handle(ev...))
	if len(out) != 2 {
		t.Fatalf("%d parts sent, want 2 of 4", len(out))
	}
	if n := len(sends(r.at(r.now+0.04, ended(out[0].ID, 0, out[0].Server, decision.OK, 0.04)))); n != 0 {
		t.Fatalf("%d spare parts sent while the other may come in time, want 0", n)
	}
	spare := sends(r.at(r.now + 0.02))
	if len(spare) != 1 || spare[0].ID == out[1].ID {
		t.Fatalf("the other is late: %v sent, want one spare part", spare)
	}
}

// Attempts that never end but are cancelled with their query tell of their server all the same.
func TestCancelledAttemptsRaiseServiceTime(t *testing.T) {
	r := newRig(t, settings(), servers(3)...)
	r.warm(60, 0.05)
	toSilent := 0
	for range 60 {
		r.now += 4 // long enough for cancelled parts to leave the queue
		id, ev := r.query(0, 1)
		out := sends(r.handle(ev...))
		if len(out) != 1 {
			t.Fatalf("%d parts sent, want 1", len(out))
		}
		if out[0].Server != "s0" {
			r.at(r.now+0.05, ended(out[0].ID, 0, out[0].Server, decision.OK, 0.05))
			continue
		}
		toSilent++
		r.at(r.now+0.7, decision.ClientDisconnected{ID: id},
			ended(out[0].ID, 0, "s0", decision.Cancelled, 0.7))
	}
	if toSilent > 12 {
		t.Errorf("%d of 60 parts went to the server that never answers, want at most 12", toSilent)
	}
}

// While too few answers are known to tell when a copy is due, a running part asks for no timers in between.
func TestNoTimerStormBeforeFirstAnswer(t *testing.T) {
	s := settings()
	s.HedgingAllowed = true
	r := newRig(t, s, servers(3)...)
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

// zoned are servers of one cell in two zones by turns.
func zoned(n int) []decision.Server {
	list := servers(n)
	for i := range list {
		list[i].Zone = i % 2
	}
	return list
}

// A zone is cut off from this broker: its servers that were not met yet are avoided too, though half of the fleet
// fails and the median server with it.
func TestFailingZoneLosesWeight(t *testing.T) {
	s := settings()
	s.MaxAttempts, s.HealthChecksAllowed = 1, false
	r := newRig(t, s, zoned(300)...)
	answer := func(s decision.Send) decision.Event {
		if int(s.Server[len(s.Server)-1]-'0')%2 == 1 {
			return ended(s.ID, 0, s.Server, decision.Reset, 0.002)
		}
		return ended(s.ID, 0, s.Server, decision.OK, 0.05)
	}
	share(r, 40, answer)
	failed := 0
	for server, n := range share(r, 100, answer) {
		if int(server[len(server)-1]-'0')%2 == 1 {
			failed += n
		}
	}
	if failed > 15 {
		t.Errorf("%d of 100 parts went to the zone that fails, want at most 15", failed)
	}
}

// Probes look for sound servers while attempts fail often, and only then; they count like attempts.
func TestDisconnectsTriggerHealthChecks(t *testing.T) {
	s := settings()
	s.MaxAttempts, s.HealthChecksAllowed = 1, true
	for _, st := range []decision.Status{decision.OK, decision.Reset} {
		r := newRig(t, s, servers(100)...)
		probed := map[string]bool{}
		parts := map[string]int{}
		for i := range 200 {
			_, ev := r.query(0, 1)
			actions := r.at(r.now+0.05, ev...)
			for _, a := range actions {
				switch a := a.(type) {
				case decision.CheckHealth:
					probed[a.Server] = true
					status := decision.OK
					if a.Server < "s7" { // seven in ten
						status = st
					}
					r.handle(decision.HealthChecked{Server: a.Server, Status: status, LoadReport: decision.NoLoadReport})
				case decision.Send:
					status := decision.OK
					if a.Server < "s7" {
						status = st
					}
					if i >= 100 {
						parts[a.Server]++
					}
					r.handle(ended(a.ID, 0, a.Server, status, 0.01))
				}
			}
		}
		if st == decision.OK && len(probed) > 0 {
			t.Errorf("%d servers probed while all is well, want none", len(probed))
		}
		if st != decision.OK && len(probed) < 20 {
			t.Errorf("%d servers probed while most of them fail, want at least 20", len(probed))
		}
		failed := 0
		for server, n := range parts {
			if server < "s7" {
				failed += n
			}
		}
		if st != decision.OK && failed > 20 {
			t.Errorf("%d of 100 parts went to failing servers, want at most 20", failed)
		}
	}
}

// Not all can be served: queries worth several times more a part keep a wider margin, where the worth goes by
// the query; where it goes by work, no class goes first.
func TestPriorityWidensAdmissionMargin(t *testing.T) {
	for _, byWork := range []bool{false, true} {
		s := settings()
		s.WeightByWork = byWork
		s.Classes = []decision.Class{
			{LatencyObjective: 1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1, PriorityWeight: 1}, {LatencyObjective: 1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1, PriorityWeight: 3},
		}
		r := newRig(t, s, servers(3)...)
		refused := [2]int{}
		for i := range 200 {
			class, parts := i%2, 4-3*(i%2)
			_, ev := r.query(class, parts)
			actions := r.at(r.now+0.05, ev...)
			var done []decision.Event
			for _, snd := range sends(actions) {
				done = append(done, ended(snd.ID, 0, snd.Server, decision.OK, 0.9))
			}
			if i >= 100 {
				refused[class] += len(finals(actions))
			}
			r.at(r.now+0.9, done...)
		}
		if byWork && (refused[0] < 25 || refused[1] < 25) || !byWork && (refused[0] < 25 || refused[1] > refused[0]/2) {
			t.Errorf("by work %v: %d of 50 cheap and %d of 50 worthy queries refused", byWork, refused[0], refused[1])
		}
	}
}

// A release in a deployment of one zone: what failed at the old servers is not held against the new ones.
func TestNewServersOfASingleZoneKeepWeight(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	r := newRig(t, s, servers(40)...)
	share(r, 40, func(s decision.Send) decision.Event {
		return ended(s.ID, 0, s.Server, decision.Reset, 0.002)
	})
	sound := decision.Server{ID: "sound"}
	ok := func(s decision.Send) decision.Event { return ended(s.ID, 0, s.Server, decision.OK, 0.005) }
	r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: []decision.Server{sound}})
	share(r, 5, ok)
	list := []decision.Server{sound}
	for _, n := range []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"} {
		list = append(list, decision.Server{ID: n})
	}
	r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: list})
	if got := share(r, 20, ok)["sound"]; got > 6 {
		t.Errorf("%d of 20 parts went to the one server known, want at most 6: ten new ones are as good", got)
	}
}

// One connection of a server may fall silent while the others go on. What was lost on it must not count as the
// server's silence for as long as it answers what is sent since, or its shards' queries are refused.
func TestLostAttemptsAreNotSilence(t *testing.T) {
	r := newRig(t, settings(), servers(2)...)
	r.warm(60, 0.02)
	_, ev := r.query(0, 2) // both parts are lost
	lost := sends(r.handle(ev...))
	if len(lost) != 2 {
		t.Fatalf("%d sends", len(lost))
	}
	r.warm(20, 0.02)
	r.now += 0.2 // and then nobody asks for a while
	_, ev = r.query(0, 1)
	if out := r.handle(ev...); len(finals(out)) != 0 || len(sends(out)) != 1 {
		t.Errorf("%v, want the part sent", out)
	}
}

// An attempt that its server has passed over for long is lost: it is given up for another, once, where a repeat
// is safe, and left alone where it is not.
func TestOvertakenAttemptIsCancelled(t *testing.T) {
	for _, repeat := range []decision.Idempotency{decision.Idempotent, decision.NonIdempotent} {
		s := settings()
		s.Classes[0].Idempotency = repeat
		r := newRig(t, s, servers(1)...) // one server: it answers everything else
		r.warm(40, 0.02)
		_, ev := r.query(0, 1)
		first := sends(r.handle(ev...))[0]
		cancelled := 0
		for range 10 {
			_, ev := r.query(0, 1)
			out := r.handle(ev...)
			r.now += 0.02
			for _, other := range sends(out) {
				out = append(out, r.handle(ended(other.ID, 0, other.Server, decision.OK, 0.02))...)
			}
			for _, a := range out {
				if c, ok := a.(decision.Cancel); ok && c.ID == first.ID {
					cancelled++
				}
			}
		}
		if want := map[decision.Idempotency]int{decision.Idempotent: 1}[repeat]; cancelled != want {
			t.Errorf("repeat %v: cancelled %d times, want %d", repeat, cancelled, want)
		}
	}
}

// Clients that leave sooner than parts take cannot be served: the others must not be refused for them.
func TestImmediateDisconnectsSetNoObjective(t *testing.T) {
	r := newRig(t, settings(), servers(3)...)
	r.warm(40, 0.05)
	for range 12 {
		id, ev := r.query(0, 1)
		out := sends(r.handle(ev...))
		if len(out) != 1 {
			t.Fatal("a query was refused for the clients that left before")
		}
		r.at(r.now+0.001, decision.ClientDisconnected{ID: id}, ended(out[0].ID, 0, out[0].Server, decision.Cancelled, 0.001))
		r.now += 4
	}
	_, ev := r.query(0, 1)
	if out := r.handle(ev...); len(finals(out)) != 0 || len(sends(out)) != 1 {
		t.Errorf("%v, want the part sent", out)
	}
}
