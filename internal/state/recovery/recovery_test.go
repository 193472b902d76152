package recovery_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/decision"
	"mothrouter/internal/state/recovery"
	"mothrouter/internal/state/snapshot"
)

// newSnapshot is a snapshot written at 1000 by one that saw a quick, a slow and a failing server, and one that is cold.
func newSnapshot() *snapshot.Snapshot {
	l := recovery.NewCollector()
	l.UpdateEndpoints(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: []decision.Server{
		{ID: "quick"}, {ID: "slow"}, {ID: "fails"}, {ID: "cold", Started: 995}, {ID: "left"}}})
	for i := range 100 {
		now := 990 + 0.1*float64(i)
		l.RecordOutcome(now, "quick", decision.OK, 0.01, decision.LoadReport{Utilization: 0.2})
		l.RecordOutcome(now, "slow", decision.OK, 0.08, decision.NoLoadReport)
		l.RecordOutcome(now, "fails", decision.Error, 0.001, decision.NoLoadReport)
		l.RecordOutcome(now, "cold", decision.OK, 0.02, decision.NoLoadReport)
		l.RecordOutcome(now, "left", decision.OK, 0.02, decision.NoLoadReport)
		l.RecordOutcome(now, "unheard-of", decision.OK, 0.02, decision.NoLoadReport)
	}
	return l.Snapshot(1000)
}

var endpoints = []decision.Server{{ID: "quick"}, {ID: "slow"}, {ID: "fails"}, {ID: "cold", Started: 995}}

func restore(s *snapshot.Snapshot, list []decision.Server, now float64) (m map[string]decision.PeerObservation, fleet *decision.RestoredState) {
	m = map[string]decision.PeerObservation{}
	for _, e := range recovery.Restore(s, list, now) {
		switch e := e.(type) {
		case decision.PeerObservation:
			m[e.Server] = e
		case decision.RestoredState:
			fleet = &e
		}
	}
	return m, fleet
}

func TestRestoreOfRecentSnapshot(t *testing.T) {
	s := newSnapshot()
	require.Len(t, s.Servers, 5, "nothing of a server that no list named")
	m, fleet := restore(s, endpoints, 1001)
	require.NotNil(t, fleet)
	require.InDelta(t, s.PeakThroughput, fleet.PeakThroughput, 0.05*s.PeakThroughput)
	require.Zero(t, m["quick"].ServiceTime, "that it was quick is not told")
	require.Greater(t, m["slow"].ServiceTime, 0.06)
	require.Greater(t, m["fails"].FailureRatio*m["fails"].Weight, 0.9)
	require.Zero(t, m["slow"].Weight)
	require.Equal(t, 0.2, m["quick"].LoadReport.Utilization)
	require.NotContains(t, m, "left", "no longer on the list")
}

// A belief that a server is well fades faster than one that it is ill.
func TestRestoreDecaysHealthFasterThanFaults(t *testing.T) {
	s := newSnapshot()
	m, fleet := restore(s, endpoints, 1020)
	require.NotContains(t, m, "quick", "its report is worth no word any more")
	require.Greater(t, m["slow"].ServiceTime, s.ServiceTime)
	require.InDelta(t, 0.5, m["fails"].Weight, 0.02)
	require.Less(t, fleet.PeakThroughput, 0.7*s.PeakThroughput)
	m, fleet = restore(s, endpoints, 1200)
	require.Empty(t, m)
	require.Nil(t, fleet)
}

// Nothing holds of a server that has started since, has gone cold, drains, or came back as another process.
func TestStateOfAnotherProcessIsDiscarded(t *testing.T) {
	s := newSnapshot()
	for what, e := range map[string]decision.Server{
		"restarted":               {ID: "slow", Started: 1000.5},
		"back under its old name": {ID: "cold", Started: 1001},
		"of an older start":       {ID: "cold", Started: 900},
		"drains":                  {ID: "slow", State: decision.Draining},
		"gone":                    {ID: "slow", State: decision.Removed},
	} {
		m, _ := restore(s, []decision.Server{e}, 1001)
		require.Empty(t, m, what)
	}
	l := recovery.NewCollector() // nor while it learns
	l.UpdateEndpoints(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: []decision.Server{{ID: "a"}, {ID: "b"}}})
	l.RecordOutcome(10, "a", decision.OK, 0.01, decision.NoLoadReport)
	l.RecordOutcome(10, "b", decision.OK, 0.01, decision.NoLoadReport)
	l.UpdateEndpoints(decision.EndpointUpdate{Servers: []decision.Server{{ID: "a", Started: 11}, {ID: "b", State: decision.Removed}}})
	require.Empty(t, l.Snapshot(12).Servers)
}

// A server that hangs is remembered by what was given up there; a slow one that answers meanwhile is not ill for it.
func TestCollectorRecordsHangingServerAsFailing(t *testing.T) {
	l := recovery.NewCollector()
	l.UpdateEndpoints(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: []decision.Server{{ID: "well"}, {ID: "hangs"}, {ID: "slow"}}})
	for i := range 30 {
		now := 100 + 0.1*float64(i)
		l.RecordOutcome(now, "well", decision.OK, 0.01, decision.NoLoadReport)
		l.RecordOutcome(now, "slow", decision.OK, 0.2, decision.NoLoadReport)
		l.RecordOutcome(now+0.01, "slow", decision.Cancelled, 0.2, decision.NoLoadReport)
		l.RecordOutcome(now, "hangs", decision.TimedOut, 0.4, decision.NoLoadReport)
		l.RecordOutcome(now, "well", decision.Cancelled, 0.005, decision.NoLoadReport) // no longer needed
	}
	m, _ := restore(l.Snapshot(103), []decision.Server{{ID: "well"}, {ID: "hangs"}, {ID: "slow"}}, 103.5)
	require.Greater(t, m["hangs"].Weight*m["hangs"].FailureRatio, 0.9)
	require.Zero(t, m["slow"].Weight)
	require.Zero(t, m["well"].Weight)
}

func TestSnapshotTimesAheadOfClock(t *testing.T) {
	s := newSnapshot()
	require.ErrorIs(t, recovery.CheckAge(s, 990), recovery.ErrFuture)
	require.Empty(t, recovery.Restore(s, endpoints, 990))
	require.ErrorIs(t, recovery.CheckAge(s, 1000+recovery.MaxAge+1), recovery.ErrStale)
	require.NoError(t, recovery.CheckAge(s, 999.8), "within what clocks differ")
	s.Servers[0].FailureRatioAt, s.Servers[0].ServiceTimeAt, s.Servers[0].LoadReportedAt = 5000, 5000, 5000 // times from the future
	for _, e := range recovery.Restore(s, endpoints, 1100) {
		if h, ok := e.(decision.PeerObservation); ok && h.Server == s.Servers[0].ID {
			require.Equal(t, decision.NoLoadReport, h.LoadReport)
			require.Less(t, h.Weight, 0.1)
		}
	}
}

// Whatever a file says and whenever it is read: weights and shares stay in bounds, only ready servers of the same
// start are spoken of, no time lies in the future, and an older file is never worth more.
func TestRestoreIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		num := func(name string) float64 { return rapid.Float64Range(0, 2000).Draw(t, name) }
		s := &snapshot.Snapshot{WrittenAt: num("written"), ServiceTime: num("pace"), PeakThroughput: num("peak")}
		for _, id := range []string{"a", "b", "c"} {
			s.Servers = append(s.Servers, snapshot.Server{ID: id, Started: num("started"), ServiceTime: num("p"), ServiceTimeAt: num("pa"),
				FailureRatio: rapid.Float64Range(0, 1).Draw(t, "failed"), FailureRatioAt: num("fa"), LoadReportedAt: num("la"), LoadReport: decision.LoadReport{Utilization: 1}})
		}
		list := []decision.Server{{ID: "a", Started: s.Servers[0].Started}, {ID: "b", Started: num("other")},
			{ID: "c", Started: s.Servers[2].Started, State: decision.Draining}}
		now := num("now")
		for _, e := range recovery.Restore(s, list, now) {
			switch e := e.(type) {
			case decision.RestoredState:
				if !(e.PeakThroughput <= s.PeakThroughput && e.ServiceTime == s.ServiceTime) {
					t.Fatalf("%+v of %+v", e, s)
				}
			case decision.PeerObservation:
				same := e.Server == "a" || e.Server == "b" && list[1].Started == s.Servers[1].Started
				if !same || e.Weight < 0 || e.Weight > 1 || e.FailureRatio < 0 || e.FailureRatio > 1 || e.At > now || e.LoadReportedAt > now+0.5 || e.ServiceTime < 0 {
					t.Fatalf("%+v of %+v at %g", e, s, now)
				}
			}
		}
		young, _ := restore(s, list, s.WrittenAt+1)
		old, _ := restore(s, list, s.WrittenAt+30)
		for id, o := range old {
			if y, ok := young[id]; ok && o.Weight > y.Weight {
				t.Fatalf("%s is worth more when older: %+v, %+v", id, y, o)
			}
		}
	})
}

// A server that was remembered as well or ill: the first news of its own outweighs either.
func TestOwnObservationsOutweighRestoredState(t *testing.T) {
	for _, remembered := range []float64{0.01, 0.3} {
		set := decision.Settings{Classes: []decision.Class{{LatencyObjective: 1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1}}, Brokers: 1, ReplicaSets: 1,
			ReplicationFactor: 1, MaxPartsPerCall: 1, MaxAttempts: 3, Tick: 0.005, CancelAllowed: true}
		news := decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: []decision.Server{{ID: "a"}, {ID: "b"}}}
		l := recovery.NewCollector()
		l.UpdateEndpoints(news)
		for i := range 50 {
			l.RecordOutcome(100+0.1*float64(i), "a", decision.OK, remembered, decision.NoLoadReport)
			l.RecordOutcome(100+0.1*float64(i), "b", decision.OK, 0.02, decision.NoLoadReport)
		}
		p, now := decision.New(set, 3), 108.0
		p.Handle(now, append([]decision.Event{news}, recovery.Restore(l.Snapshot(105), news.Servers, now)...))
		toA := 0
		for i := range 200 { // now both take what the other took
			now += 0.3
			q := decision.RequestID(10 * (i + 1))
			for _, a := range p.Handle(now, []decision.Event{decision.Query{ID: q, Number: int64(q), Parts: 1, Deadline: now + 2},
				decision.Part{ID: q + 1, QueryNumber: int64(q), Weight: 1}}) {
				if s, ok := a.(decision.Send); ok {
					latency := 0.02
					if s.Server == "a" && remembered < 0.1 {
						latency = 0.3
					}
					if s.Server == "a" {
						toA++
					}
					now += latency
					p.Handle(now, []decision.Event{decision.AttemptFinished{ID: s.ID, Server: s.Server, Latency: latency, PartConcluded: true, LoadReport: decision.NoLoadReport}})
				}
			}
		}
		if remembered < 0.1 {
			require.Less(t, toA, 30, "once quick, now slow")
		} else {
			require.Greater(t, toA, 60, "once slow, now as good as the other")
		}
	}
}

// In the middle of a fault of the whole fleet all servers look ill. A broker that remembers so still serves: what all
// share tells nothing between two holders, and the first answers outweigh it.
func TestRestoredFleetWideFaultDoesNotStopSending(t *testing.T) {
	set := decision.Settings{Classes: []decision.Class{{LatencyObjective: 1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1}}, Brokers: 1, ReplicaSets: 1,
		ReplicationFactor: 1, MaxPartsPerCall: 1, MaxAttempts: 3, Tick: 0.005, CancelAllowed: true}
	l := recovery.NewCollector()
	news := decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: []decision.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	l.UpdateEndpoints(news)
	for i := range 60 {
		for _, s := range news.Servers {
			l.RecordOutcome(100+0.1*float64(i), s.ID, decision.Reset, 0.001, decision.NoLoadReport)
		}
	}
	p := decision.New(set, 1)
	now := 107.0
	p.Handle(now, append([]decision.Event{news}, recovery.Restore(l.Snapshot(106), news.Servers, now)...))
	served := 0
	for i := range 30 {
		now += 0.02
		q := decision.RequestID(10 * (i + 1))
		for _, a := range p.Handle(now, []decision.Event{decision.Query{ID: q, Number: int64(q), Parts: 1, Deadline: now + 2},
			decision.Part{ID: q + 1, QueryNumber: int64(q), Weight: 1}}) {
			if s, ok := a.(decision.Send); ok {
				served++
				p.Handle(now+0.01, []decision.Event{decision.AttemptFinished{ID: s.ID, Server: s.Server, Latency: 0.01, PartConcluded: true, LoadReport: decision.NoLoadReport}})
			}
		}
	}
	require.GreaterOrEqual(t, served, 29)
}
