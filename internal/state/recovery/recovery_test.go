package recovery_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/decision"
	"mothrouter/internal/state/recovery"
	"mothrouter/internal/state/snapshot"
)

// newSnapshot returns a snapshot written at time 1000, of a fast, a slow, a failing and a recently started server and of one
// that is missing from endpoints.
func newSnapshot() *snapshot.Snapshot {
	collector := recovery.NewCollector()
	collector.UpdateEndpoints(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: []decision.Server{
		{ID: "fast"}, {ID: "slow"}, {ID: "failing"}, {ID: "new", StartedAt: 995}, {ID: "removed"}}})
	for i := range 100 {
		now := 990 + 0.1*float64(i)
		collector.RecordOutcome(now, "fast", decision.OK, 0.01, decision.LoadReport{Utilization: 0.2})
		collector.RecordOutcome(now, "slow", decision.OK, 0.08, decision.NoLoadReport)
		collector.RecordOutcome(now, "failing", decision.Error, 0.001, decision.NoLoadReport)
		collector.RecordOutcome(now, "new", decision.OK, 0.02, decision.NoLoadReport)
		collector.RecordOutcome(now, "removed", decision.OK, 0.02, decision.NoLoadReport)
		collector.RecordOutcome(now, "unlisted", decision.OK, 0.02, decision.NoLoadReport)
	}
	return collector.Snapshot(1000)
}

var endpoints = []decision.Server{{ID: "fast"}, {ID: "slow"}, {ID: "failing"}, {ID: "new", StartedAt: 995}}

// restore returns the events of recovery.Restore: the observations by server id, and the state of the fleet, if any.
func restore(s *snapshot.Snapshot, list []decision.Server, now float64) (
	observations map[string]decision.PeerObservation, fleet *decision.RestoredState) {
	observations = map[string]decision.PeerObservation{}
	for _, e := range recovery.Restore(s, list, now) {
		switch e := e.(type) {
		case decision.PeerObservation:
			observations[e.Server] = e
		case decision.RestoredState:
			fleet = &e
		}
	}
	return observations, fleet
}

func TestRestoreOfRecentSnapshot(t *testing.T) {
	s := newSnapshot()
	require.Len(t, s.Servers, 5, "no state of a server that was never listed")
	observations, fleet := restore(s, endpoints, 1001)
	require.NotNil(t, fleet)
	require.InDelta(t, s.PeakThroughput, fleet.PeakThroughput, 0.05*s.PeakThroughput)
	require.Zero(t, observations["fast"].ServiceTime, "a short service time is not restored")
	require.Greater(t, observations["slow"].ServiceTime, 0.06)
	require.Greater(t, observations["failing"].FailureRatio*observations["failing"].Weight, 0.9)
	require.Zero(t, observations["slow"].Weight)
	require.Equal(t, 0.2, observations["fast"].LoadReport.Utilization)
	require.NotContains(t, observations, "removed", "no longer listed")
}

// TestRestoreDecaysHealthFasterThanFaults restores a snapshot after 20 s, when load reports have expired but slow and failing
// servers still count, and after 200 s, when nothing does.
func TestRestoreDecaysHealthFasterThanFaults(t *testing.T) {
	s := newSnapshot()
	observations, fleet := restore(s, endpoints, 1020)
	require.NotContains(t, observations, "fast", "its load report is too old")
	require.Greater(t, observations["slow"].ServiceTime, s.ServiceTime)
	require.InDelta(t, 0.5, observations["failing"].Weight, 0.02)
	require.Less(t, fleet.PeakThroughput, 0.7*s.PeakThroughput)
	observations, fleet = restore(s, endpoints, 1200)
	require.Empty(t, observations)
	require.Nil(t, fleet)
}

// TestStateOfAnotherProcessIsDiscarded checks that neither Restore nor a Collector keeps state of a server that has restarted,
// is draining or was removed.
func TestStateOfAnotherProcessIsDiscarded(t *testing.T) {
	s := newSnapshot()
	for name, server := range map[string]decision.Server{
		"started after the snapshot":           {ID: "slow", StartedAt: 1000.5},
		"restarted under the same id":          {ID: "new", StartedAt: 1001},
		"started earlier than in the snapshot": {ID: "new", StartedAt: 900},
		"draining":                             {ID: "slow", State: decision.Draining},
		"removed":                              {ID: "slow", State: decision.Removed},
	} {
		observations, _ := restore(s, []decision.Server{server}, 1001)
		require.Empty(t, observations, name)
	}
	collector := recovery.NewCollector()
	collector.UpdateEndpoints(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: []decision.Server{{ID: "a"}, {ID: "b"}}})
	collector.RecordOutcome(10, "a", decision.OK, 0.01, decision.NoLoadReport)
	collector.RecordOutcome(10, "b", decision.OK, 0.01, decision.NoLoadReport)
	collector.UpdateEndpoints(decision.EndpointUpdate{Servers: []decision.Server{{ID: "a", StartedAt: 11}, {ID: "b", State: decision.Removed}}})
	require.Empty(t, collector.Snapshot(12).Servers)
}

// TestCollectorRecordsHangingServerAsFailing checks that abandoned attempts count as failures of a server that answers
// nothing, and not of a slow server that answers other attempts in the meantime.
func TestCollectorRecordsHangingServerAsFailing(t *testing.T) {
	collector := recovery.NewCollector()
	servers := []decision.Server{{ID: "healthy"}, {ID: "hanging"}, {ID: "slow"}}
	collector.UpdateEndpoints(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: servers})
	for i := range 30 {
		now := 100 + 0.1*float64(i)
		collector.RecordOutcome(now, "healthy", decision.OK, 0.01, decision.NoLoadReport)
		collector.RecordOutcome(now, "slow", decision.OK, 0.2, decision.NoLoadReport)
		collector.RecordOutcome(now+0.01, "slow", decision.Cancelled, 0.2, decision.NoLoadReport)
		collector.RecordOutcome(now, "hanging", decision.TimedOut, 0.4, decision.NoLoadReport)
		collector.RecordOutcome(now, "healthy", decision.Cancelled, 0.005, decision.NoLoadReport) // cancelled before it could answer
	}
	observations, _ := restore(collector.Snapshot(103), servers, 103.5)
	require.Greater(t, observations["hanging"].Weight*observations["hanging"].FailureRatio, 0.9)
	require.Zero(t, observations["slow"].Weight)
	require.Zero(t, observations["healthy"].Weight)
}

func TestSnapshotTimesAheadOfClock(t *testing.T) {
	s := newSnapshot()
	require.ErrorIs(t, recovery.CheckAge(s, 990), recovery.ErrFuture)
	require.Empty(t, recovery.Restore(s, endpoints, 990))
	require.ErrorIs(t, recovery.CheckAge(s, 1000+recovery.MaxAge+1), recovery.ErrStale)
	require.NoError(t, recovery.CheckAge(s, 999.8), "within clockSlack")
	s.Servers[0].FailureRatioAt, s.Servers[0].ServiceTimeAt, s.Servers[0].LoadReportedAt = 5000, 5000, 5000 // in the future
	for _, e := range recovery.Restore(s, endpoints, 1100) {
		if observation, ok := e.(decision.PeerObservation); ok && observation.Server == s.Servers[0].ID {
			require.Equal(t, decision.NoLoadReport, observation.LoadReport)
			require.Less(t, observation.Weight, 0.1)
		}
	}
}

// TestRestoreIsBounded restores random snapshots at random times: weights and ratios stay in bounds, only ready servers with
// the same start time are restored, no time is in the future, and no weight grows with the age of the snapshot.
func TestRestoreIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := func(name string) float64 { return rapid.Float64Range(0, 2000).Draw(t, name) }
		s := &snapshot.Snapshot{WrittenAt: number("written"), ServiceTime: number("service time"), PeakThroughput: number("peak")}
		for _, id := range []string{"a", "b", "c"} {
			s.Servers = append(s.Servers, snapshot.Server{
				ID:             id,
				StartedAt:      number("started"),
				ServiceTime:    number("server's service time"),
				ServiceTimeAt:  number("service time at"),
				FailureRatio:   rapid.Float64Range(0, 1).Draw(t, "failure ratio"),
				FailureRatioAt: number("failure ratio at"),
				LoadReportedAt: number("load reported at"),
				LoadReport:     decision.LoadReport{Utilization: 1},
			})
		}
		list := []decision.Server{
			{ID: "a", StartedAt: s.Servers[0].StartedAt},
			{ID: "b", StartedAt: number("other start")},
			{ID: "c", StartedAt: s.Servers[2].StartedAt, State: decision.Draining},
		}
		now := number("now")
		for _, e := range recovery.Restore(s, list, now) {
			switch e := e.(type) {
			case decision.RestoredState:
				if !(e.PeakThroughput <= s.PeakThroughput && e.ServiceTime == s.ServiceTime) {
					t.Fatalf("restored %+v from %+v", e, s)
				}
			case decision.PeerObservation:
				sameProcess := e.Server == "a" || e.Server == "b" && list[1].StartedAt == s.Servers[1].StartedAt
				if !sameProcess || e.Weight < 0 || e.Weight > 1 || e.FailureRatio < 0 || e.FailureRatio > 1 ||
					e.At > now || e.LoadReportedAt > now+0.5 || e.ServiceTime < 0 {
					t.Fatalf("restored %+v from %+v at %g", e, s, now)
				}
			}
		}
		early, _ := restore(s, list, s.WrittenAt+1)
		late, _ := restore(s, list, s.WrittenAt+30)
		for id, observation := range late {
			if earlier, ok := early[id]; ok && observation.Weight > earlier.Weight {
				t.Fatalf("weight of server %s grows with age: %+v after 1 s, %+v after 30 s", id, earlier, observation)
			}
		}
	})
}

// TestOwnObservationsOutweighRestoredState restores a server as fast or slow and then has it behave the other way: the
// broker's own observations have to win over the restored state.
func TestOwnObservationsOutweighRestoredState(t *testing.T) {
	for _, restoredLatency := range []float64{0.01, 0.3} {
		settings := decision.Settings{
			Classes:     []decision.Class{{LatencyObjective: 1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1}},
			Brokers:     1,
			ReplicaSets: 1, ReplicationFactor: 1,
			MaxPartsPerCall: 1, MaxAttempts: 3, Tick: 0.005, CancelAllowed: true,
		}
		update := decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: []decision.Server{{ID: "a"}, {ID: "b"}}}
		collector := recovery.NewCollector()
		collector.UpdateEndpoints(update)
		for i := range 50 {
			collector.RecordOutcome(100+0.1*float64(i), "a", decision.OK, restoredLatency, decision.NoLoadReport)
			collector.RecordOutcome(100+0.1*float64(i), "b", decision.OK, 0.02, decision.NoLoadReport)
		}
		decider, now := decision.New(settings, 3), 108.0
		decider.Handle(now, append([]decision.Event{update}, recovery.Restore(collector.Snapshot(105), update.Servers, now)...))
		sentToA := 0
		for i := range 200 { // a now answers in 0.3 s if it was fast, and as b does if it was slow
			now += 0.3
			id := decision.RequestID(10 * (i + 1))
			for _, action := range decider.Handle(now, []decision.Event{decision.Query{ID: id, Number: int64(id), Parts: 1, Deadline: now + 2},
				decision.Part{ID: id + 1, QueryNumber: int64(id), Weight: 1}}) {
				if send, ok := action.(decision.Send); ok {
					latency := 0.02
					if send.Server == "a" && restoredLatency < 0.1 {
						latency = 0.3
					}
					if send.Server == "a" {
						sentToA++
					}
					now += latency
					decider.Handle(now, []decision.Event{decision.AttemptFinished{
						ID: send.ID, Server: send.Server, Latency: latency, PartConcluded: true, LoadReport: decision.NoLoadReport,
					}})
				}
			}
		}
		if restoredLatency < 0.1 {
			require.Less(t, sentToA, 30, "restored as fast, slow now")
		} else {
			require.Greater(t, sentToA, 60, "restored as slow, as fast as the other now")
		}
	}
}

// TestRestoredFleetWideFaultDoesNotStopSending restores state that was saved while all servers were failing. The broker has to
// keep sending: a ratio that all replicas share does not favor any of them, and the first answers outweigh it.
func TestRestoredFleetWideFaultDoesNotStopSending(t *testing.T) {
	settings := decision.Settings{
		Classes:     []decision.Class{{LatencyObjective: 1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1}},
		Brokers:     1,
		ReplicaSets: 1, ReplicationFactor: 1,
		MaxPartsPerCall: 1, MaxAttempts: 3, Tick: 0.005, CancelAllowed: true,
	}
	collector := recovery.NewCollector()
	update := decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: []decision.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	collector.UpdateEndpoints(update)
	for i := range 60 {
		for _, server := range update.Servers {
			collector.RecordOutcome(100+0.1*float64(i), server.ID, decision.Reset, 0.001, decision.NoLoadReport)
		}
	}
	decider := decision.New(settings, 1)
	now := 107.0
	decider.Handle(now, append([]decision.Event{update}, recovery.Restore(collector.Snapshot(106), update.Servers, now)...))
	sent := 0
	for i := range 30 {
		now += 0.02
		id := decision.RequestID(10 * (i + 1))
		for _, action := range decider.Handle(now, []decision.Event{decision.Query{ID: id, Number: int64(id), Parts: 1, Deadline: now + 2},
			decision.Part{ID: id + 1, QueryNumber: int64(id), Weight: 1}}) {
			if send, ok := action.(decision.Send); ok {
				sent++
				decider.Handle(now+0.01, []decision.Event{decision.AttemptFinished{
					ID: send.ID, Server: send.Server, Latency: 0.01, PartConcluded: true, LoadReport: decision.NoLoadReport,
				}})
			}
		}
	}
	require.GreaterOrEqual(t, sent, 29)
}
