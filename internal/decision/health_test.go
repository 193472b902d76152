package decision_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/decision"
)

// countSends sends n queries of one part and returns the attempts by server. A nil outcome leaves an attempt open.
func countSends(r *runner, n int, answer func(decision.Send) decision.Event) map[string]int {
	count := map[string]int{}
	for range n {
		_, ev := r.query(0, 1)
		out := sends(r.handleAt(r.now+0.02, ev...))
		for k := 0; len(out) > 0; k++ {
			count[out[0].Server]++
			e := answer(out[0])
			if e == nil {
				break
			}
			end := e.(decision.AttemptFinished)
			end.Attempt = k
			out = sends(r.handleAt(r.now+0.005, end))
		}
	}
	return count
}

// A server that fails fast has a short queue and would attract parts.
func TestFailingServerLosesWeight(t *testing.T) {
	for _, st := range []decision.Status{decision.Error, decision.Overloaded, decision.Unreachable,
		decision.Reset} {
		r := newRunner(t, settings(), servers(3)...)
		r.answerQueries(60, 0.05)
		answer := func(s decision.Send) decision.Event {
			if s.Server == "s0" {
				return finished(s.ID, 0, s.Server, st, 0.001)
			}
			return finished(s.ID, 0, s.Server, decision.OK, 0.05)
		}
		countSends(r, 30, answer)
		if got := countSends(r, 100, answer)["s0"]; got > 10 {
			t.Errorf("status %d: %d of 100 parts went to the failing server, want at most 10", st, got)
		}
	}
}

// A hung server sends no load reports, and its last good fitness stands.
func TestSilentServerLosesWeight(t *testing.T) {
	r := newRunner(t, settings(), servers(3)...)
	r.answerQueries(60, 0.05)
	answer := func(s decision.Send) decision.Event {
		if s.Server == "s0" {
			return nil
		}
		return finished(s.ID, 0, s.Server, decision.OK, 0.05)
	}
	if got := countSends(r, 200, answer)["s0"]; got > 20 {
		t.Errorf("%d of 200 parts went to the silent server, want at most 20", got)
	}
}

// One connection of a server may hang while the others work. Attempts lost on it do not count as a stall while the server
// answers what is sent later, or queries of its shards are rejected.
func TestLostAttemptsAreNotSilence(t *testing.T) {
	r := newRunner(t, settings(), servers(2)...)
	r.answerQueries(60, 0.02)
	_, ev := r.query(0, 2) // both parts are lost
	lost := sends(r.handle(ev...))
	if len(lost) != 2 {
		t.Fatalf("%d sends", len(lost))
	}
	r.answerQueries(20, 0.02)
	r.now += 0.2 // and then no query arrives for a while
	_, ev = r.query(0, 1)
	if out := r.handle(ev...); len(finalAnswers(out)) != 0 || len(sends(out)) != 1 {
		t.Errorf("%v, want the part sent", out)
	}
}

// A broker of many sees little of each server: one slow answer must lower its weight, and be forgotten again.
func TestSlowServerLosesWeightForAWhile(t *testing.T) {
	r := newRunner(t, settings(), servers(3)...)
	slow := 1.0
	answer := func(s decision.Send) decision.Event {
		if s.Server == "s0" {
			return finished(s.ID, 0, s.Server, decision.OK, 0.05*slow)
		}
		return finished(s.ID, 0, s.Server, decision.OK, 0.05)
	}
	rare := func(n int) int {
		count := 0
		for range n {
			r.now++
			count += countSends(r, 1, answer)["s0"]
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

// Attempts that are cancelled with their query still show that their server is slow.
func TestCancelledAttemptsRaiseServiceTime(t *testing.T) {
	r := newRunner(t, settings(), servers(3)...)
	r.answerQueries(60, 0.05)
	toSilent := 0
	for range 60 {
		r.now += 4 // long enough for cancelled parts to leave the queue
		id, ev := r.query(0, 1)
		out := sends(r.handle(ev...))
		if len(out) != 1 {
			t.Fatalf("%d parts sent, want 1", len(out))
		}
		if out[0].Server != "s0" {
			r.handleAt(r.now+0.05, finished(out[0].ID, 0, out[0].Server, decision.OK, 0.05))
			continue
		}
		toSilent++
		r.handleAt(r.now+0.7, decision.ClientDisconnected{ID: id},
			finished(out[0].ID, 0, "s0", decision.Cancelled, 0.7))
	}
	if toSilent > 12 {
		t.Errorf("%d of 60 parts went to the server that never answers, want at most 12", toSilent)
	}
}

// Every server fails most attempts: no query is rejected for that, since no server is worse than its peers.
func TestFleetWideErrorsRejectNoQuery(t *testing.T) {
	r := newRunner(t, settings(), servers(3)...)
	r.answerQueries(60, 0.05)
	_, held := r.query(0, 3)
	r.handle(held...) // these stay out, so that the group is never idle
	rejected := 0
	for i := range 60 {
		_, ev := r.query(0, 1)
		out := sends(r.handleAt(r.now+0.005, ev...))
		if len(out) == 0 {
			rejected++
			continue
		}
		for k := 0; len(out) > 0; k++ {
			st := decision.Error
			if k == 2 || i%10 == 0 {
				st = decision.OK
			}
			out = sends(r.handle(finished(out[0].ID, k, out[0].Server, st, 0.02)))
		}
	}
	if rejected > 0 {
		t.Errorf("%d of 60 queries rejected, want none", rejected)
	}
}

// A new process does not inherit the failures of the previous one.
func TestRestartResetsFailureRatio(t *testing.T) {
	s := settings()
	s.SlowStart.Duration = 0
	r := newRunner(t, s, servers(3)...)
	countSends(r, 60, func(snd decision.Send) decision.Event {
		if snd.Server == "s0" {
			return finished(snd.ID, 0, snd.Server, decision.Unreachable, 0.001)
		}
		return finished(snd.ID, 0, snd.Server, decision.OK, 0.01)
	})
	r.handle(decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", Started: r.now}}})
	first := countSends(r, 12, func(snd decision.Send) decision.Event {
		return finished(snd.ID, 0, snd.Server, decision.OK, 0.01)
	})
	if first["s0"] < 2 {
		t.Errorf("%d of the first 12 parts went to the restarted server, want at least 2", first["s0"])
	}
}

// serversInTwoZones are servers of one cell in two zones by turns.
func serversInTwoZones(n int) []decision.Server {
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
	r := newRunner(t, s, serversInTwoZones(300)...)
	answer := func(s decision.Send) decision.Event {
		if int(s.Server[len(s.Server)-1]-'0')%2 == 1 {
			return finished(s.ID, 0, s.Server, decision.Reset, 0.002)
		}
		return finished(s.ID, 0, s.Server, decision.OK, 0.05)
	}
	countSends(r, 40, answer)
	failed := 0
	for server, n := range countSends(r, 100, answer) {
		if int(server[len(server)-1]-'0')%2 == 1 {
			failed += n
		}
	}
	if failed > 15 {
		t.Errorf("%d of 100 parts went to the zone that fails, want at most 15", failed)
	}
}

// A release in a deployment of one zone: what failed at the old servers is not held against the new ones.
func TestNewServersOfASingleZoneKeepWeight(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	r := newRunner(t, s, servers(40)...)
	countSends(r, 40, func(s decision.Send) decision.Event {
		return finished(s.ID, 0, s.Server, decision.Reset, 0.002)
	})
	sound := decision.Server{ID: "sound"}
	ok := func(s decision.Send) decision.Event { return finished(s.ID, 0, s.Server, decision.OK, 0.005) }
	r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: []decision.Server{sound}})
	countSends(r, 5, ok)
	list := []decision.Server{sound}
	for _, n := range []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"} {
		list = append(list, decision.Server{ID: n})
	}
	r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: list})
	if got := countSends(r, 20, ok)["sound"]; got > 6 {
		t.Errorf("%d of 20 parts went to the one server known, want at most 6: ten new ones are as good", got)
	}
}

// An observation of another loop moves the draw away from a failing server, unless this one has a newer observation, and
// a later recovery brings it back.
func TestPeerObservationMovesTheDraw(t *testing.T) {
	share := func(r *runner) (n int) { // of 100 parts, those that went to s0
		for range 100 {
			_, ev := r.query(0, 1)
			for _, s := range sends(r.handle(ev...)) {
				if s.Server == "s0" {
					n++
				}
				r.now += 0.001
				r.handle(finished(s.ID, 0, s.Server, decision.OK, 0.001))
			}
		}
		return n
	}
	receiveObservation := func(r *runner, at, failed, weight float64) {
		r.handle(decision.PeerObservation{Server: "s0", At: at, FailureRatio: failed, Weight: weight, LoadReport: decision.NoLoadReport})
	}
	r := newRunner(t, settings(), servers(2)...)
	require.InDelta(t, 50, share(r), 20)
	receiveObservation(r, r.now-0.05, 1, 0.75) // older than what was seen here
	require.InDelta(t, 50, share(r), 20)
	r.now += 3
	receiveObservation(r, r.now, 1, 0.75)
	require.Less(t, share(r), 10)
	receiveObservation(r, r.now+0.001, 0, 1)
	require.Greater(t, share(r), 30)
	receiveObservation(r, r.now, 1, 1)
	r.handle(decision.PeerObservation{Server: "unheard-of", At: r.now, FailureRatio: 1, Weight: 1, LoadReport: decision.NoLoadReport})
	r.handle(decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", Started: r.now + 1}}})
	receiveObservation(r, r.now, 1, 0.75) // of the process before
	r.now += 30                           // warm again
	require.Greater(t, share(r), 30)
}
