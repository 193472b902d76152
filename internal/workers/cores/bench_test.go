package cores

import (
	"fmt"
	"testing"

	"mothrouter/internal/decision"
)

// nothing decides nothing, so that what is left is the cost of sharing.
type nothing struct{}

func (nothing) Handle(float64, []decision.Event) []decision.Action { return nil }

// BenchmarkShareOutcome is what one outcome costs beside its decision, with 200 servers, of which some are cold.
func BenchmarkShareOutcome(b *testing.B) {
	for _, workers := range []int{1, 2, 4} {
		for _, cold := range []int{0, 20} {
			b.Run(fmt.Sprintf("workers=%d/cold=%d", workers, cold), func(b *testing.B) {
				s := newProcessState(workers, settings(200, 1e9), 1)
				l := decision.EndpointUpdate{Mode: decision.FullUpdate}
				for i := range 200 {
					e := decision.Server{ID: fmt.Sprint("s", i), ReplicaSet: i}
					if i < cold {
						e.Started = 99
					}
					l.Servers = append(l.Servers, e)
				}
				s.applyUpdate(l, 100)
				ds := make([]*sharedDecider, workers)
				for w := range ds {
					ds[w] = &sharedDecider{processState: s, worker: w, inner: nothing{}}
				}
				events := make([]decision.Event, 1)
				b.ReportAllocs()
				for i := range b.N {
					now := 100 + 0.0001*float64(i)
					events[0] = decision.AttemptFinished{Server: l.Servers[i%200].ID, Status: decision.OK, Latency: 0.02,
						LoadReport: decision.LoadReport{Utilization: 0.5}}
					ds[i%workers].Handle(now, events)
				}
			})
		}
	}
}

// BenchmarkSubmit is what a front pays for a query to be placed and its name kept.
func BenchmarkSubmit(b *testing.B) {
	g := New(Options{Workers: 4, Settings: settings(4, 0)}, nil)
	b.ReportAllocs()
	for i := range b.N {
		name := fmt.Sprint(i)
		g.mu.Lock()
		for w := range g.workers {
			g.loads[w].Backlog = g.workers[w].broker.Backlog()
		}
		g.registry.Claim(name, 0)
		g.mu.Unlock()
		(&client{group: g, name: name}).Disconnected()
	}
}
