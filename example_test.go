package cloverhook_test

import (
	"fmt"

	"cloverhook"
)

// A broker hands in events with their time and carries out the actions.
func Example() {
	settings := cloverhook.Settings{
		Classes: []cloverhook.Class{{Aim: 1, Deadline: 2, Need: 1, Floor: 1}},
		Brokers: 1, Cells: 1, Reach: 1, BatchMax: 1, MaxAttempts: 3, Tick: 0.005,
	}
	p := cloverhook.New(settings, 1)
	p.Handle(0, []cloverhook.Event{
		cloverhook.List{Mode: cloverhook.ListFull, Servers: []cloverhook.Server{{ID: "a:1"}}},
	})
	show := func(actions []cloverhook.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case cloverhook.Send:
				fmt.Println("send part", a.ID, "to", a.Server)
			case cloverhook.Answer:
				fmt.Println("answer query", a.ID, "whole:", a.Whole)
			}
		}
	}
	show(p.Handle(1, []cloverhook.Event{
		cloverhook.Query{ID: 10, Number: 1, Parts: 1, Deadline: 3},
		cloverhook.Part{ID: 11, Number: 1, Shard: 0, Weight: 1},
	}))
	show(p.Handle(1.2, []cloverhook.Event{
		cloverhook.Ended{ID: 11, Attempt: 0, Server: "a:1", Status: cloverhook.OK, Latency: 0.2, Closed: true,
			Load: cloverhook.NoLoad},
	}))
	// Output:
	// send part 11 to a:1
	// answer query 10 whole: true
}
