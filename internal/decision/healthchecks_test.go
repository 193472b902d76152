package decision_test

import (
	"testing"

	"mothrouter/internal/decision"
)

// Idle servers are health-checked while many attempts fail, and only then. The results count like those of attempts.
func TestDisconnectsTriggerHealthChecks(t *testing.T) {
	cfg := settings()
	cfg.MaxAttempts, cfg.HealthChecksAllowed = 1, true
	for _, statusOfMost := range []decision.Status{decision.OK, decision.Reset} {
		r := newRunner(t, cfg, servers(100)...)
		checked := map[string]bool{}
		parts := map[string]int{}
		for i := range 200 {
			_, ev := r.query(0, 1)
			actions := r.handleAt(r.now+0.05, ev...)
			for _, a := range actions {
				switch a := a.(type) {
				case decision.CheckHealth:
					checked[a.Server] = true
					status := decision.OK
					if a.Server < "s7" { // 70 % of the servers
						status = statusOfMost
					}
					r.handle(decision.HealthChecked{Server: a.Server, Status: status, LoadReport: decision.NoLoadReport})
				case decision.Send:
					status := decision.OK
					if a.Server < "s7" {
						status = statusOfMost
					}
					if i >= 100 {
						parts[a.Server]++
					}
					r.handle(finished(a.ID, 0, a.Server, status, 0.01))
				}
			}
		}
		if statusOfMost == decision.OK && len(checked) > 0 {
			t.Errorf("%d servers checked while no attempt fails, want none", len(checked))
		}
		if statusOfMost != decision.OK && len(checked) < 20 {
			t.Errorf("%d servers checked while most of them fail, want at least 20", len(checked))
		}
		failed := 0
		for server, n := range parts {
			if server < "s7" {
				failed += n
			}
		}
		if statusOfMost != decision.OK && failed > 20 {
			t.Errorf("%d of 100 parts went to failing servers, want at most 20", failed)
		}
	}
}

func TestLoadReportsArePulledEveryTenSeconds(t *testing.T) {
	cfg := settings()
	cfg.ReportMode, cfg.HealthChecksAllowed = decision.ReportPull, true
	p := decision.New(cfg, 1)
	checks := func(now float64, e ...decision.Event) (n int) {
		for _, a := range p.Handle(now, e) {
			if _, ok := a.(decision.CheckHealth); ok {
				n++
			}
		}
		return n
	}
	if n := checks(0, decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: servers(4)}); n != 4 {
		t.Errorf("%d health checks at the start, want 4", n)
	}
	if n := checks(9.9); n != 0 {
		t.Errorf("%d health checks before ten seconds, want none", n)
	}
	if n := checks(10); n != 4 {
		t.Errorf("%d health checks after ten seconds, want 4", n)
	}
}
