package decision_test

import (
	"math"
	"reflect"
	"testing"

	"mothrouter/internal/decision"
)

func TestDrawIsProportionalToFitness(t *testing.T) {
	cfg := settings()
	cfg.ReportMode = decision.ReportPiggyback
	utilization := []float64{0, 0.2, 0.5} // by server
	for _, partsPerCall := range []int{1, 8} {
		cfg.MaxPartsPerCall = partsPerCall
		r := newRunner(t, cfg, servers(3)...)
		loadReport := func(server string) decision.LoadReport {
			report := decision.NoLoadReport
			report.Utilization, report.QueueLength = utilization[server[1]-'0'], 0
			return report
		}
		const n = 4000 // queries; the first 500 precede the computation of fitness
		partsByServer := map[string]float64{}
		sameServer := 0 // queries whose two parts were sent to the same server
		for i := range n {
			if i == 500 {
				r.now += 11 // fitness is computed from the reports so far
				r.handle()
				clear(partsByServer)
				sameServer = 0
			}
			_, ev := r.query(0, 2)
			out := sends(r.handle(ev...))
			if out[0].Server == out[1].Server {
				sameServer++
			}
			for _, send := range out {
				partsByServer[send.Server]++
				outcome := finished(send.ID, 0, send.Server, decision.OK, 0)
				outcome.LoadReport = loadReport(send.Server)
				r.handle(outcome)
			}
		}
		if partsPerCall == 1 {
			continue // the weights of the second part depend on where the first part is in flight
		}
		sum := 0.0
		for _, u := range utilization {
			sum += math.Pow(1.02, -100*u)
		}
		for i, u := range utilization {
			want := math.Pow(1.02, -100*u) / sum
			got := partsByServer[servers(3)[i].ID] / float64(2*(n-500))
			if math.Abs(got-want) > 0.03 {
				t.Errorf("utilization %g: fraction of parts %.3f, want %.3f", u, got, want)
			}
		}
		if sameServer != n-500 {
			t.Errorf("%d of %d pairs of parts of one shard were sent to the same server, want all", sameServer, n-500)
		}
	}
}

func TestUntriedReplicasAreTriedFirst(t *testing.T) {
	cfg := settings()
	cfg.MaxAttempts = 5
	r := newRunner(t, cfg, servers(3)...)
	for range 30 {
		_, ev := r.query(0, 1)
		queue := sends(r.handle(ev...))
		var order []string
		sentAt := map[string]float64{} // by server
		for n := 0; len(queue) > 0; n++ {
			last := queue[0]
			// A replica that failed immediately is not retried immediately, since that would quickly use up all attempts.
			if r.now < sentAt[last.Server]+0.02 {
				t.Fatalf("attempt %d sent to %s less than 0.02 s after the previous one", n, last.Server)
			}
			order = append(order, last.Server)
			sentAt[last.Server] = r.now
			queue = sends(r.handleAt(r.now+0.001, finished(last.ID, n, last.Server, decision.Error, 0)))
			if len(queue) == 0 {
				queue = sends(r.handleAt(r.now + 0.02))
			}
		}
		if len(order) != 5 {
			t.Fatalf("%d attempts, want 5, the value of MaxAttempts", len(order))
		}
		if order[0] == order[1] || order[1] == order[2] || order[0] == order[2] {
			t.Fatalf("servers of the attempts %v, want three different ones first", order)
		}
		r.now += 10
	}
}

// Parts stay in the broker's zone if crossing zones has a cost. Otherwise zones do not matter.
func TestPartsStayInZoneIfCrossingHasCost(t *testing.T) {
	for _, c := range []struct {
		cost     float64
		min, max int
	}{{0, 120, 180}, {0.04, 8, 50}} {
		cfg := settings()
		cfg.CrossZoneCost = c.cost
		list := servers(2)
		list[1].Zone = 1
		got := countSends(newRunner(t, cfg, list...), 300, func(send decision.Send) decision.Event {
			return finished(send.ID, 0, send.Server, decision.OK, 0.01)
		})["s1"]
		if got < c.min || got > c.max {
			t.Errorf("CrossZoneCost %g: %d of 300 parts crossed zones, want %d to %d", c.cost, got, c.min, c.max)
		}
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	run := func(seed uint64) (actions []decision.Action) {
		r := newRunner(t, settings(), servers(5)...)
		r.p = decision.New(settings(), seed)
		r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: servers(5)})
		for range 50 {
			_, ev := r.query(0, 4)
			got := r.handle(ev...)
			actions = append(actions, got...)
			for _, send := range sends(got) {
				actions = append(actions, r.handleAt(r.now+0.01, finished(send.ID, 0, send.Server, decision.OK, 0.01))...)
			}
		}
		return actions
	}
	if !reflect.DeepEqual(run(3), run(3)) {
		t.Error("two runs with seed 3 and equal events gave different actions, want equal ones")
	}
	if reflect.DeepEqual(run(3), run(4)) {
		t.Error("runs with seeds 3 and 4 gave equal actions, want different ones")
	}
}
