package decision_test

import (
	"testing"

	"mothrouter/internal/decision"
)

func TestDrainingAndRemovedServersGetNoAttempts(t *testing.T) {
	for _, c := range []struct {
		name   string
		update decision.EndpointUpdate
	}{
		{"draining", decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", State: decision.Draining}}}},
		{"gone", decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", State: decision.Removed}}}},
		{"missing from a full list", decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: servers(2)[1:]}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRunner(t, settings(), servers(2)...)
			r.handle(c.update)
			for range 50 {
				_, ev := r.query(0, 1)
				for _, snd := range sends(r.handle(ev...)) {
					if snd.Server != "s1" {
						t.Fatalf("sent to %s", snd.Server)
					}
					r.handleAt(r.now+0.01, finished(snd.ID, 0, snd.Server, decision.OK, 0.01))
				}
			}
		})
	}
}

func TestPolledListIsPolledAgain(t *testing.T) {
	s := settings()
	s.PollEndpoints, s.PollInterval = true, 10
	p := decision.New(s, 1)
	watches := func(now float64, e ...decision.Event) (n int) {
		for _, a := range p.Handle(now, e) {
			if w, ok := a.(decision.WatchEndpoints); ok && w.On {
				n++
			}
		}
		return n
	}
	if watches(5, decision.EndpointUpdate{Mode: decision.CachedUpdate, Servers: servers(2)}) != 1 {
		t.Fatal("no subscription at the start")
	}
	if watches(5.1, decision.EndpointUpdate{Mode: decision.FailedUpdate}) != 0 {
		t.Error("polled again at once after a failure")
	}
	if watches(8.5) != 1 {
		t.Error("not polled again within a third of the time allowed")
	}
	if watches(8.6, decision.EndpointUpdate{Mode: decision.DeltaUpdate})+watches(60) != 0 {
		t.Error("polled again although subscribed")
	}
	if watches(61, decision.EndpointUpdate{Mode: decision.FailedUpdate})+watches(65) != 1 {
		t.Error("not polled again after the subscription broke")
	}
}
