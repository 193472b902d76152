package decision

import (
	"fmt"
	"testing"
)

// If servers are continually replaced under new IDs, removed servers must be deleted. A server with an attempt in flight is
// kept until the outcome has been counted.
func TestRemovedServersAreDeletedOnceIdle(t *testing.T) {
	p := New(Settings{
		Classes:     []Class{{LatencyObjective: 1, Deadline: 1, CompletenessThreshold: 1, MinCompleteness: 1}},
		ReplicaSets: 1, ReplicationFactor: 1,
	}, 1)
	entry := func(i int, state State) Server {
		return Server{ID: fmt.Sprint("s", i), State: state, StartedAt: float64(i)}
	}
	p.Handle(0, []Event{EndpointUpdate{Mode: FullUpdate, Servers: []Server{entry(0, Ready)}},
		Query{ID: 1, Number: 1, Parts: 1, Deadline: 1}, Part{ID: 2, QueryNumber: 1, Weight: 1}})
	for i := range 300 {
		p.Handle(float64(i), []Event{EndpointUpdate{Servers: []Server{entry(i, Removed), entry(i+1, Ready)}}})
		if i == 0 && p.serversByID["s0"] == nil {
			t.Fatal("server s0 was deleted while it had an attempt in flight")
		}
		p.Handle(float64(i), []Event{AttemptFinished{ID: 2, Server: "s0", Status: OK, PartConcluded: true, LoadReport: NoLoadReport}})
	}
	if len(p.servers) != 1 || len(p.serversByID) != 1 || p.fleet.WarmServers() != 1 {
		t.Errorf("%d servers, %d server IDs and %g warm servers, want 1 each", len(p.servers), len(p.serversByID), p.fleet.WarmServers())
	}
}
