package cores

import (
	"fmt"
	"testing"

	"mothrouter/internal/decision"
)

// nopDecider returns no actions, so that only the cost of sharing is measured.
type nopDecider struct{}

func (nopDecider) Handle(float64, []decision.Event) []decision.Action { return nil }

// BenchmarkShareOutcome measures the cost of sharing one outcome, without the decision, with 200 servers of which 0 or 20 are
// in slow start.
func BenchmarkShareOutcome(b *testing.B) {
	for _, workers := range []int{1, 2, 4} {
		for _, cold := range []int{0, 20} {
			b.Run(fmt.Sprintf("workers=%d/cold=%d", workers, cold), func(b *testing.B) {
				s := newProcessState(workers, settings(200, 1e9), 1)
				update := decision.EndpointUpdate{Mode: decision.FullUpdate}
				for i := range 200 {
					server := decision.Server{ID: fmt.Sprint("s", i), ReplicaSet: i}
					if i < cold {
						server.Started = 99
					}
					update.Servers = append(update.Servers, server)
				}
				s.applyUpdate(update, 100)
				deciders := make([]*sharedDecider, workers)
				for w := range deciders {
					deciders[w] = &sharedDecider{processState: s, worker: w, inner: nopDecider{}}
				}
				events := make([]decision.Event, 1)
				b.ReportAllocs()
				for i := range b.N {
					now := 100 + 0.0001*float64(i)
					events[0] = decision.AttemptFinished{Server: update.Servers[i%200].ID, Status: decision.OK, Latency: 0.02,
						LoadReport: decision.LoadReport{Utilization: 0.5}}
					deciders[i%workers].Handle(now, events)
				}
			})
		}
	}
}

// BenchmarkSubmit measures the cost for a front of reading the workers' backlogs and of registering and releasing a query's
// name.
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
