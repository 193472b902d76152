package decision_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"mothrouter/internal/decision"
)

// benchmarkSizes are numbers of record servers, up to the operators' target of 4,600.
var benchmarkSizes = []int{200, 500, 1000, 2300, 4600}

const (
	benchmarkZones   = 10
	benchmarkParts   = 300   // parts of a query at the target size
	benchmarkGap     = 0.003 // seconds between batches
	benchmarkLatency = 0.02  // latency of a part in seconds
	benchmarkWarmUp  = 40    // queries before the measurement
)

// benchmarkFleet is the Policy of a broker, and a fleet with the zones and replica sets of the operators' target.
type benchmarkFleet struct {
	policy       *decision.Policy
	list         []decision.Server
	now          float64
	lastID       decision.RequestID // ID of the latest query
	random       *rand.Rand
	failureRatio float64          // fraction of attempts that fail
	failure      decision.Status  // status of failed attempts
	events       []decision.Event // buffer for the events of a query, reused
}

func newBenchmarkFleet(size int, failureRatio float64, change func(*decision.Settings)) *benchmarkFleet {
	cfg := settings()
	cfg.Brokers, cfg.ReplicaSets, cfg.ReplicationFactor, cfg.ReportMode = 590, size, 3, decision.ReportPiggyback
	cfg.Classes = []decision.Class{
		{LatencyObjective: 0.24, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 0.8, PriorityWeight: 1},
	}
	if change != nil {
		change(&cfg)
	}
	f := &benchmarkFleet{policy: decision.New(cfg, 7), now: 1000, random: rand.New(rand.NewPCG(uint64(size), 1)),
		failureRatio: failureRatio, failure: decision.Error}
	for i := range size {
		f.list = append(f.list, decision.Server{ID: fmt.Sprint("server-", i), ReplicaSet: i, Zone: i % benchmarkZones})
	}
	f.policy.Handle(f.now, []decision.Event{decision.EndpointUpdate{Mode: decision.FullUpdate, Servers: f.list}})
	for range benchmarkWarmUp {
		f.query()
	}
	return f
}

// query runs a query of 300 parts and passes each outcome in a batch of its own, as outcomes arrive on different connections.
func (f *benchmarkFleet) query() {
	size := len(f.list)
	f.lastID += 1000
	f.now += benchmarkGap
	events := append(f.events[:0], decision.Query{ID: f.lastID, Number: int64(f.lastID), Parts: benchmarkParts,
		Deadline: f.now + 2})
	for i := range benchmarkParts {
		events = append(events, decision.Part{ID: f.lastID + 1 + decision.RequestID(i), QueryNumber: int64(f.lastID),
			Shard: f.random.IntN(size), Weight: 1.0 / benchmarkParts})
	}
	f.events = events
	out := sends(f.policy.Handle(f.now, events))
	f.now += benchmarkLatency
	for len(out) > 0 {
		send := out[0]
		f.now += 0.00002
		outcome := decision.AttemptFinished{
			ID: send.ID, Server: send.Server, Status: decision.OK, Latency: benchmarkLatency, PartConcluded: true,
			LoadReport: decision.LoadReport{InFlight: 1, QueueLength: 1, Utilization: 0.5, Latency: 0.02, Rate: 10},
		}
		if f.random.Float64() < f.failureRatio {
			outcome.Status, outcome.PartConcluded = f.failure, false
		}
		for _, next := range sends(f.policy.Handle(f.now, []decision.Event{outcome})) {
			if next.ID == send.ID { // retries get no outcome
				continue
			}
			out = append(out, next)
		}
		out = out[1:]
	}
}

// benchmarkEach runs a benchmark for each fleet size.
func benchmarkEach(b *testing.B, run func(b *testing.B, size int)) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			run(b, size)
		})
	}
}

// benchmarkIdle measures batches without events.
func benchmarkIdle(f *benchmarkFleet) func(b *testing.B) {
	return func(b *testing.B) {
		for b.Loop() {
			f.now += benchmarkGap
			f.policy.Handle(f.now, nil)
		}
	}
}

// Batches without events while no attempt has failed.
func BenchmarkBatchHealthy(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, size int) { benchmarkIdle(newBenchmarkFleet(size, 0, nil))(b) })
}

// Batches without events after 0.1 % of the attempts failed, so that servers have nonzero failure ratios.
func BenchmarkBatchFewErrors(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, size int) { benchmarkIdle(newBenchmarkFleet(size, 1e-3, nil))(b) })
}

// Queries of 300 parts, with each outcome in a batch of its own: 301 batches per query.
func BenchmarkQueryHealthy(b *testing.B) { benchmarkQuery(b, 0) }

// Queries while 0.1 % of all attempts fail.
func BenchmarkQueryFewErrors(b *testing.B) { benchmarkQuery(b, 1e-3) }

// Queries while 1 % of all attempts fail.
func BenchmarkQueryManyErrors(b *testing.B) { benchmarkQuery(b, 1e-2) }

func benchmarkQuery(b *testing.B, failureRatio float64) {
	benchmarkEach(b, func(b *testing.B, size int) {
		f := newBenchmarkFleet(size, failureRatio, nil)
		b.ResetTimer()
		for b.Loop() {
			f.query()
		}
	})
}

// Endpoint updates of one entry.
func BenchmarkEndpointUpdate(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, size int) {
		f := newBenchmarkFleet(size, 0, nil)
		for b.Loop() {
			entry := &f.list[f.random.IntN(size)]
			entry.State = decision.Draining - entry.State
			f.now += benchmarkGap
			f.policy.Handle(f.now, []decision.Event{decision.EndpointUpdate{Servers: []decision.Server{*entry}}})
		}
	})
}

// Queries while half of the attempts are refused, so that idle servers are health-checked.
func BenchmarkQueryDuringHealthChecks(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, size int) {
		f := newBenchmarkFleet(size, 0, func(cfg *decision.Settings) { cfg.HealthChecksAllowed = true })
		f.failureRatio, f.failure = 0.5, decision.Unreachable
		for range 5 {
			f.query()
		}
		b.ResetTimer()
		for b.Loop() {
			f.query()
		}
	})
}

// Queries with a retry budget in proportion to the requests of the last 10 s, at 41,700 parts per second.
func BenchmarkQueryWithRetryBudget(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, size int) {
		f := newBenchmarkFleet(size, 0, func(cfg *decision.Settings) {
			cfg.RetryBudget.Enabled, cfg.RetryBudget.Min, cfg.RetryBudget.Ratio, cfg.RetryBudget.Window = true, 10, 0.1, 10
		})
		f.now += 20
		const requestsInWindow = 41_700 * 10
		for i := range requestsInWindow / benchmarkParts { // fill the window of the budget
			f.policy.Handle(f.now+float64(i)*benchmarkParts/41_700, rejectedQuery(benchmarkParts))
		}
		f.now += 10 - 0.001
		b.ResetTimer()
		for b.Loop() {
			f.policy.Handle(f.now, rejectedQuery(benchmarkParts))
			f.now += benchmarkParts / 41_700.0
		}
	})
}

// rejectedQuery returns a query of an unknown class, which is rejected. Its parts still count as requests for the retry budget.
func rejectedQuery(parts int) []decision.Event {
	events := []decision.Event{decision.Query{ID: 1, Number: 1, Class: -1}}
	for range parts {
		events = append(events, decision.Part{ID: 2, QueryNumber: 1})
	}
	return events
}

// Batches that compute the fitness of all servers, which are due every 10 s.
func BenchmarkComputeFitness(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, size int) {
		f := newBenchmarkFleet(size, 0, nil)
		for b.Loop() {
			f.now += 10.001
			f.policy.Handle(f.now, nil)
		}
	})
}
