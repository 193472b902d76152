package decision_test

import (
	"fmt"

	"mothrouter/internal/decision"
)

// A broker passes events and the current time to a Policy and carries out the returned actions.
func Example() {
	settings := decision.Settings{
		Classes: []decision.Class{{LatencyObjective: 1, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 1}},
		Brokers: 1, ReplicaSets: 1, ReplicationFactor: 1, MaxPartsPerCall: 1, MaxAttempts: 3, Tick: 0.005,
	}
	p := decision.New(settings, 1)
	p.Handle(0, []decision.Event{
		decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: []decision.Server{{ID: "a:1"}}},
	})
	show := func(actions []decision.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case decision.Send:
				fmt.Println("send part", a.ID, "to", a.Server)
			case decision.Respond:
				fmt.Println("answer query", a.ID, "complete:", a.Complete)
			}
		}
	}
	show(p.Handle(1, []decision.Event{
		decision.Query{ID: 10, Number: 1, Parts: 1, Deadline: 3},
		decision.Part{ID: 11, QueryNumber: 1, Shard: 0, Weight: 1},
	}))
	show(p.Handle(1.2, []decision.Event{
		decision.AttemptFinished{ID: 11, Attempt: 0, Server: "a:1", Status: decision.OK, Latency: 0.2, PartConcluded: true,
			LoadReport: decision.NoLoadReport},
	}))
	// Output:
	// send part 11 to a:1
	// answer query 10 complete: true
}
