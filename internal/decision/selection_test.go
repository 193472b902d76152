package decision_test

import (
	"math"
	"reflect"
	"testing"

	"mothrouter/internal/decision"
)

func TestDrawIsProportionalToFitness(t *testing.T) {
	s := settings()
	s.ReportMode = decision.ReportPiggyback
	busy := []float64{0, 0.2, 0.5}
	for _, batch := range []int{1, 8} {
		s.MaxPartsPerCall = batch
		r := newRunner(t, s, servers(3)...)
		load := func(server string) decision.LoadReport {
			l := decision.NoLoadReport
			l.Utilization, l.QueueLength = busy[server[1]-'0'], 0
			return l
		}
		count, together, n := map[string]float64{}, 0, 4000
		for i := range n {
			if i == 500 {
				r.now += 11 // fitness is computed from the reports so far
				r.handle()
				clear(count)
				together = 0
			}
			_, ev := r.query(0, 2)
			out := sends(r.handle(ev...))
			if out[0].Server == out[1].Server {
				together++
			}
			for _, snd := range out {
				count[snd.Server]++
				e := finished(snd.ID, 0, snd.Server, decision.OK, 0)
				e.LoadReport = load(snd.Server)
				r.handle(e)
			}
		}
		if batch == 1 {
			continue // parts of one turn see each other in flight: only the first is plain
		}
		sum := 0.0
		for _, b := range busy {
			sum += math.Pow(1.02, -100*b)
		}
		for i, b := range busy {
			want := math.Pow(1.02, -100*b) / sum
			got := count[servers(3)[i].ID] / float64(2*(n-500))
			if math.Abs(got-want) > 0.03 {
				t.Errorf("busy %g: share %.3f, want %.3f", b, got, want)
			}
		}
		if together != n-500 {
			t.Errorf("%d of %d pairs of one shard shared a call, want all", together, n-500)
		}
	}
}

func TestTriedReplicasWaitForTheOthers(t *testing.T) {
	s := settings()
	s.MaxAttempts = 5
	r := newRunner(t, s, servers(3)...)
	for range 30 {
		_, ev := r.query(0, 1)
		queue := sends(r.handle(ev...))
		var order []string
		asked := map[string]float64{}
		for n := 0; len(queue) > 0; n++ {
			last := queue[0]
			// A replica that failed at once is not tried again at once: that would use up the attempts in a moment.
			if r.now < asked[last.Server]+0.02 {
				t.Fatalf("attempt %d goes to a replica that was asked just now", n)
			}
			order, asked[last.Server] = append(order, last.Server), r.now
			queue = sends(r.handleAt(r.now+0.001, finished(last.ID, n, last.Server, decision.Error, 0)))
			if len(queue) == 0 {
				queue = sends(r.handleAt(r.now + 0.02))
			}
		}
		if len(order) != 5 {
			t.Fatalf("%d attempts, want the limit of 5", len(order))
		}
		if order[0] == order[1] || order[1] == order[2] || order[0] == order[2] {
			t.Fatalf("a tried replica was drawn before all were tried: %v", order)
		}
		r.now += 10
	}
}

// Where crossing zones has a cost, parts stay in the zone; where it has none, zones do not matter.
func TestPartsStayInZoneWhereCrossingCosts(t *testing.T) {
	for _, c := range []struct {
		price    float64
		min, max int
	}{{0, 120, 180}, {0.04, 8, 50}} {
		s := settings()
		s.CrossZoneCost = c.price
		list := servers(2)
		list[1].Zone = 1
		got := countSends(newRunner(t, s, list...), 300, func(snd decision.Send) decision.Event {
			return finished(snd.ID, 0, snd.Server, decision.OK, 0.01)
		})["s1"]
		if got < c.min || got > c.max {
			t.Errorf("price %g: %d of 300 parts crossed zones, want %d to %d", c.price, got, c.min, c.max)
		}
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	run := func(seed uint64) (all []decision.Action) {
		r := newRunner(t, settings(), servers(5)...)
		r.p = decision.New(settings(), seed)
		r.handle(decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: servers(5)})
		for range 50 {
			_, ev := r.query(0, 4)
			got := r.handle(ev...)
			all = append(all, got...)
			for _, snd := range sends(got) {
				all = append(all, r.handleAt(r.now+0.01, finished(snd.ID, 0, snd.Server, decision.OK, 0.01))...)
			}
		}
		return all
	}
	if !reflect.DeepEqual(run(3), run(3)) {
		t.Error("equal seeds and events gave different actions")
	}
	if reflect.DeepEqual(run(3), run(4)) {
		t.Error("the seed has no effect")
	}
}
