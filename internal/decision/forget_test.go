package decision

import (
	"fmt"
	"testing"
)

// Where machines are replaced under new IDs all day, removed servers are forgotten, but not while an attempt is in flight
// there, whose outcome is still to be counted.
func TestRemovedServersAreForgottenOnceIdle(t *testing.T) {
	p := New(Settings{Classes: []Class{{LatencyObjective: 1, Deadline: 1, CompletenessThreshold: 1, MinCompleteness: 1}}, ReplicaSets: 1, ReplicationFactor: 1}, 1)
	entry := func(i int, s State) Server { return Server{ID: fmt.Sprint("s", i), State: s, Started: float64(i)} }
	p.Handle(0, []Event{EndpointUpdate{Mode: FullUpdate, Servers: []Server{entry(0, Ready)}},
		Query{ID: 1, Number: 1, Parts: 1, Deadline: 1}, Part{ID: 2, QueryNumber: 1, Weight: 1}})
	for i := range 300 {
		p.Handle(float64(i), []Event{EndpointUpdate{Servers: []Server{entry(i, Removed), entry(i+1, Ready)}}})
		if i == 0 && p.byID["s0"] == nil {
			t.Fatal("a server was forgotten while an attempt is out there")
		}
		p.Handle(float64(i), []Event{AttemptFinished{ID: 2, Server: "s0", Status: OK, PartConcluded: true, LoadReport: NoLoadReport}})
	}
	if len(p.servers) != 1 || len(p.byID) != 1 || p.fleet.WarmServers() != 1 {
		t.Errorf("%d servers and %d ids are known, %g count as warm, want 1 each", len(p.servers), len(p.byID), p.fleet.WarmServers())
	}
}
