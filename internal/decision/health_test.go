package decision_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/decision"
)

// countSends runs n queries of one part and returns the number of attempts by server. answer returns the outcome of an attempt,
// or nil to leave it in flight.
func countSends(r *runner, n int, answer func(decision.Send) decision.Event) map[string]int {
	sendsByServer := map[string]int{}
	for range n {
		_, ev := r.query(0, 1)
		out := sends(r.handleAt(r.now+0.02, ev...))
		for attempt := 0; len(out) > 0; attempt++ {
			sendsByServer[out[0].Server]++
			event := answer(out[0])
			if event == nil {
				break
			}
			outcome := event.(decision.AttemptFinished)
			outcome.Attempt = attempt
			out = sends(r.handleAt(r.now+0.005, outcome))
		}
	}
	return sendsByServer
}

// A server that fails fast has a short queue, which must not attract parts.
func TestFailingServerLosesWeight(t *testing.T) {
	for _, status := range []decision.Status{decision.Error, decision.Overloaded, decision.Unreachable,
		decision.Reset} {
		r := newRunner(t, settings(), servers(3)...)
		r.answerQueries(60, 0.05)
		answer := func(s decision.Send) decision.Event {
			if s.Server == "s0" {
				return finished(s.ID, 0, s.Server, status, 0.001)
			}
			return finished(s.ID, 0, s.Server, decision.OK, 0.05)
		}
		countSends(r, 30, answer)
		if got := countSends(r, 100, answer)["s0"]; got > 10 {
			t.Errorf("status %d: %d of 100 parts went to the failing server, want at most 10", status, got)
		}
	}
}

// A hung server sends no load reports, so that its fitness stays as it was before.
func TestHungServerLosesWeight(t *testing.T) {
	r := newRunner(t, settings(), servers(3)...)
	r.answerQueries(60, 0.05)
	answer := func(s decision.Send) decision.Event {
		if s.Server == "s0" {
			return nil
		}
		return finished(s.ID, 0, s.Server, decision.OK, 0.05)
	}
	if got := countSends(r, 200, answer)["s0"]; got > 20 {
		t.Errorf("%d of 200 parts went to the hung server, want at most 20", got)
	}
}

// One connection of a server may hang while its other connections work. Attempts lost on it must not count as a stall as long
// as the server answers later attempts. Otherwise queries of its shards are rejected.
func TestLostAttemptsDoNotCountAsStall(t *testing.T) {
	r := newRunner(t, settings(), servers(2)...)
	r.answerQueries(60, 0.02)
	_, ev := r.query(0, 2) // both parts are lost
	lost := sends(r.handle(ev...))
	if len(lost) != 2 {
		t.Fatalf("%d parts sent, want 2", len(lost))
	}
	r.answerQueries(20, 0.02)
	r.now += 0.2 // no query arrives for a while
	_, ev = r.query(0, 1)
	if out := r.handle(ev...); len(finalAnswers(out)) != 0 || len(sends(out)) != 1 {
		t.Errorf("actions %v, want one Send and no final answer", out)
	}
}

// In a large fleet of brokers, each broker rarely observes a server. Even a single slow answer must lower the server's weight,
// and its effect must fade.
func TestSlowServerLosesWeightUntilItRecovers(t *testing.T) {
	r := newRunner(t, settings(), servers(3)...)
	slowdown := 1.0 // of server s0
	answer := func(s decision.Send) decision.Event {
		if s.Server == "s0" {
			return finished(s.ID, 0, s.Server, decision.OK, 0.05*slowdown)
		}
		return finished(s.ID, 0, s.Server, decision.OK, 0.05)
	}
	sendsToSlow := func(n int) int { // of n queries, one per second
		count := 0
		for range n {
			r.now++
			count += countSends(r, 1, answer)["s0"]
		}
		return count
	}
	sendsToSlow(30)
	slowdown = 8
	if got := sendsToSlow(100); got > 15 {
		t.Errorf("%d of 100 parts went to the slow server, want at most 15", got)
	}
	slowdown = 1
	sendsToSlow(60)
	if got := sendsToSlow(150); got < 30 {
		t.Errorf("%d of 150 parts went to the recovered server, want at least 30", got)
	}
}

// Attempts that are cancelled because their client disconnects still show that their server is slow.
func TestCancelledAttemptsRaiseServiceTime(t *testing.T) {
	r := newRunner(t, settings(), servers(3)...)
	r.answerQueries(60, 0.05)
	toHung := 0
	for range 60 {
		r.now += 4 // so that cancelled parts no longer count towards the queue depth
		id, ev := r.query(0, 1)
		out := sends(r.handle(ev...))
		if len(out) != 1 {
			t.Fatalf("%d parts sent, want 1", len(out))
		}
		if out[0].Server != "s0" {
			r.handleAt(r.now+0.05, finished(out[0].ID, 0, out[0].Server, decision.OK, 0.05))
			continue
		}
		toHung++
		r.handleAt(r.now+0.7, decision.ClientDisconnected{ID: id},
			finished(out[0].ID, 0, "s0", decision.Cancelled, 0.7))
	}
	if toHung > 12 {
		t.Errorf("%d of 60 parts went to the hung server, want at most 12", toHung)
	}
}

// If all servers fail most attempts, no query must be rejected for that, since no server is worse than the others.
func TestFleetWideErrorsDoNotRejectQueries(t *testing.T) {
	r := newRunner(t, settings(), servers(3)...)
	r.answerQueries(60, 0.05)
	_, held := r.query(0, 3)
	r.handle(held...) // these parts remain in flight, so that the replica set is never idle
	rejected := 0
	for i := range 60 {
		_, ev := r.query(0, 1)
		out := sends(r.handleAt(r.now+0.005, ev...))
		if len(out) == 0 {
			rejected++
			continue
		}
		for attempt := 0; len(out) > 0; attempt++ {
			status := decision.Error
			if attempt == 2 || i%10 == 0 {
				status = decision.OK
			}
			out = sends(r.handle(finished(out[0].ID, attempt, out[0].Server, status, 0.02)))
		}
	}
	if rejected > 0 {
		t.Errorf("%d of 60 queries rejected, want none", rejected)
	}
}

// A restart of a server discards the failures of its previous process.
func TestRestartResetsFailureRatio(t *testing.T) {
	cfg := settings()
	cfg.SlowStart.Duration = 0
	r := newRunner(t, cfg, servers(3)...)
	countSends(r, 60, func(send decision.Send) decision.Event {
		if send.Server == "s0" {
			return finished(send.ID, 0, send.Server, decision.Unreachable, 0.001)
		}
		return finished(send.ID, 0, send.Server, decision.OK, 0.01)
	})
	r.handle(decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", StartedAt: r.now}}})
	first := countSends(r, 12, func(send decision.Send) decision.Event {
		return finished(send.ID, 0, send.Server, decision.OK, 0.01)
	})
	if first["s0"] < 2 {
		t.Errorf("%d of the first 12 parts went to the restarted server, want at least 2", first["s0"])
	}
}

// serversInTwoZones returns n servers of one replica set, alternately in zones 0 and 1.
func serversInTwoZones(n int) []decision.Server {
	list := servers(n)
	for i := range list {
		list[i].Zone = i % 2
	}
	return list
}

// If a zone is unreachable, servers in it that the broker has not used yet are avoided too, even if half of the fleet fails and
// the median failure ratio is high.
func TestFailingZoneLosesWeight(t *testing.T) {
	cfg := settings()
	cfg.MaxAttempts, cfg.HealthChecksAllowed = 1, false
	r := newRunner(t, cfg, serversInTwoZones(300)...)
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
		t.Errorf("%d of 100 parts went to the failing zone, want at most 15", failed)
	}
}

// In a deployment with a single zone, failures of servers that a rollout has replaced must not lower the weight of new servers.
func TestNewServersInSingleZoneKeepWeight(t *testing.T) {
	cfg := settings()
	cfg.MaxAttempts = 1
	r := newRunner(t, cfg, servers(40)...)
	countSends(r, 40, func(s decision.Send) decision.Event {
		return finished(s.ID, 0, s.Server, decision.Reset, 0.002)
	})
	healthy := decision.Server{ID: "healthy"}
	ok := func(s decision.Send) decision.Event { return finished(s.ID, 0, s.Server, decision.OK, 0.005) }
	r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: []decision.Server{healthy}})
	countSends(r, 5, ok)
	list := []decision.Server{healthy}
	for _, n := range []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"} {
		list = append(list, decision.Server{ID: n})
	}
	r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: list})
	if got := countSends(r, 20, ok)["healthy"]; got > 6 {
		t.Errorf("%d of 20 parts went to the known healthy server, want at most 6, since ten new servers are as good", got)
	}
}

// An observation by another worker lowers the weight of a failing server unless this worker has a newer observation. A later
// observation of its recovery restores the weight.
func TestPeerObservationChangesWeight(t *testing.T) {
	sendsToS0 := func(r *runner) (n int) { // of 100 parts
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
	receiveObservation := func(r *runner, at, failureRatio, weight float64) {
		r.handle(decision.PeerObservation{
			Server: "s0", At: at, FailureRatio: failureRatio, Weight: weight, LoadReport: decision.NoLoadReport,
		})
	}
	r := newRunner(t, settings(), servers(2)...)
	require.InDelta(t, 50, sendsToS0(r), 20)
	receiveObservation(r, r.now-0.05, 1, 0.75) // older than this worker's own observations
	require.InDelta(t, 50, sendsToS0(r), 20)
	r.now += 3
	receiveObservation(r, r.now, 1, 0.75)
	require.Less(t, sendsToS0(r), 10)
	receiveObservation(r, r.now+0.001, 0, 1)
	require.Greater(t, sendsToS0(r), 30)
	receiveObservation(r, r.now, 1, 1)
	r.handle(decision.PeerObservation{Server: "unknown", At: r.now, FailureRatio: 1, Weight: 1, LoadReport: decision.NoLoadReport})
	r.handle(decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", StartedAt: r.now + 1}}})
	receiveObservation(r, r.now, 1, 0.75) // of the server's previous process
	r.now += 30                           // past the slow start of the new process
	require.Greater(t, sendsToS0(r), 30)
}
