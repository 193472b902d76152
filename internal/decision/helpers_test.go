package decision_test

import (
	"fmt"
	"testing"

	"mothrouter/internal/decision"
	"mothrouter/internal/estimate/slowstart"
)

// runner passes events to a Policy and keeps track of the time, request IDs and attempts.
type runner struct {
	t        *testing.T
	p        *decision.Policy
	now      float64
	attempts map[decision.RequestID]int // attempts sent so far, by part
	nextID   decision.RequestID
	number   int64 // Query.Number of the latest query
}

// settings returns the settings of a simple deployment: one replica set and idempotent queries that need every part.
func settings() decision.Settings {
	return decision.Settings{
		Classes: []decision.Class{{LatencyObjective: 1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1}},
		Brokers: 1, ReplicaSets: 1, ReplicationFactor: 1, MaxPartsPerCall: 1, MaxAttempts: 3, Tick: 0.005, CancelAllowed: true,
		SlowStart: slowstart.Settings{InitialFraction: 0.25, Duration: 10, OverloadFactor: 2, OverloadWindow: 1},
	}
}

func newRunner(t *testing.T, cfg decision.Settings, servers ...decision.Server) *runner {
	r := &runner{t: t, p: decision.New(cfg, 7), attempts: map[decision.RequestID]int{}, nextID: 100, now: 100}
	r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: servers})
	return r
}

// servers returns n ready servers of replica set 0, with the IDs s0, s1 and so on.
func servers(n int) []decision.Server {
	var list []decision.Server
	for i := range n {
		list = append(list, decision.Server{ID: fmt.Sprint("s", i)})
	}
	return list
}

// handle passes events to the Policy and returns its actions except for timers.
func (r *runner) handle(events ...decision.Event) []decision.Action {
	var actions []decision.Action
	for _, a := range r.p.Handle(r.now, events) {
		if _, ok := a.(decision.SetTimer); !ok {
			actions = append(actions, a)
		}
	}
	return actions
}

// handleAt advances the time to now and passes events to the Policy.
func (r *runner) handleAt(now float64, events ...decision.Event) []decision.Action {
	r.now = now
	return r.handle(events...)
}

// query returns the events of a query with n parts of equal weight, all of shard 0, and its ID.
func (r *runner) query(class, n int) (decision.RequestID, []decision.Event) {
	r.number++
	r.nextID += 100
	id := r.nextID
	deadline := r.now + 2
	events := []decision.Event{
		decision.Query{ID: id, Number: r.number, Class: class, Parts: n, Deadline: deadline},
	}
	for i := range n {
		events = append(events, decision.Part{
			ID: id + 1 + decision.RequestID(i), QueryNumber: r.number, Shard: 0, Weight: 1 / float64(n),
		})
	}
	return id, events
}

// finished returns the outcome of an attempt, without a load report.
func finished(id decision.RequestID, attempt int, server string, status decision.Status, latency float64,
) decision.AttemptFinished {
	return decision.AttemptFinished{ID: id, Attempt: attempt, Server: server, Status: status, Latency: latency,
		PartConcluded: status == decision.OK, LoadReport: decision.NoLoadReport}
}

// sends returns the Send actions among actions.
func sends(actions []decision.Action) []decision.Send {
	var list []decision.Send
	for _, a := range actions {
		if s, ok := a.(decision.Send); ok {
			list = append(list, s)
		}
	}
	return list
}

// finalAnswers returns the final answers among actions.
func finalAnswers(actions []decision.Action) []decision.Action {
	var list []decision.Action
	for _, a := range actions {
		switch a.(type) {
		case decision.Respond, decision.Reject, decision.Fail:
			list = append(list, a)
		}
	}
	return list
}

// answerQueries runs n queries of one part, one after the other, so that the Policy has latency statistics.
func (r *runner) answerQueries(n int, latency float64) {
	for range n {
		_, ev := r.query(0, 1)
		out := sends(r.handle(ev...))
		r.now += latency
		for _, send := range out {
			r.handle(finished(send.ID, 0, send.Server, decision.OK, latency))
		}
	}
}
