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
		{"removed", decision.EndpointUpdate{Servers: []decision.Server{{ID: "s0", State: decision.Removed}}}},
		{"missing from a full list", decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: servers(2)[1:]}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRunner(t, settings(), servers(2)...)
			r.handle(c.update)
			for range 50 {
				_, ev := r.query(0, 1)
				for _, send := range sends(r.handle(ev...)) {
					if send.Server != "s1" {
						t.Fatalf("part sent to %s, want s1", send.Server)
					}
					r.handleAt(r.now+0.01, finished(send.ID, 0, send.Server, decision.OK, 0.01))
				}
			}
		})
	}
}

func TestEndpointPollingIsRepeatedAfterFailures(t *testing.T) {
	cfg := settings()
	cfg.PollEndpoints, cfg.PollInterval = true, 10
	p := decision.New(cfg, 1)
	watches := func(now float64, e ...decision.Event) (n int) {
		for _, a := range p.Handle(now, e) {
			if w, ok := a.(decision.WatchEndpoints); ok && w.On {
				n++
			}
		}
		return n
	}
	if n := watches(5, decision.EndpointUpdate{Mode: decision.CachedUpdate, Servers: servers(2)}); n != 1 {
		t.Fatalf("%d WatchEndpoints at the start, want 1", n)
	}
	if watches(5.1, decision.EndpointUpdate{Mode: decision.FailedUpdate}) != 0 {
		t.Error("WatchEndpoints repeated without backoff after a failure")
	}
	if n := watches(8.5); n != 1 {
		t.Errorf("%d WatchEndpoints within about a third of PollInterval after a failure, want 1", n)
	}
	if watches(8.6, decision.EndpointUpdate{Mode: decision.DeltaUpdate})+watches(60) != 0 {
		t.Error("WatchEndpoints repeated although updates arrive")
	}
	if n := watches(61, decision.EndpointUpdate{Mode: decision.FailedUpdate}) + watches(65); n != 1 {
		t.Errorf("%d WatchEndpoints after the subscription failed, want 1", n)
	}
}
