package decision_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"mothrouter/internal/decision"
)

// The sizes of the benchmarks, up to the 4,600 record servers of the operators' target.
var benchmarkSizes = []int{200, 500, 1000, 2300, 4600}

const (
	benchmarkZones  = 10
	benchmarkParts  = 300   // parts of a query at the target
	benchmarkGap    = 0.003 // seconds between batches
	benchmarkReply  = 0.02  // seconds that a part takes
	benchmarkWarmUp = 40    // queries before the measurement
)

// benchmarkFleet is a broker that knows a fleet of the target's shape.
type benchmarkFleet struct {
	policy       *decision.Policy
	list         []decision.Server
	now          float64
	next         decision.RequestID
	random       *rand.Rand
	failureRatio float64 // share of the parts that a server answers with an error
	failure      decision.Status
	send         []decision.Event
}

func newBenchmarkFleet(size int, failureRatio float64, change func(*decision.Settings)) *benchmarkFleet {
	s := settings()
	s.Brokers, s.ReplicaSets, s.ReplicationFactor, s.ReportMode = 590, size, 3, decision.ReportPiggyback
	s.Classes = []decision.Class{{LatencyObjective: 0.24, Deadline: 2, CompletenessThreshold: 1, MinCompleteness: 0.8, PriorityWeight: 1}}
	if change != nil {
		change(&s)
	}
	f := &benchmarkFleet{policy: decision.New(s, 7), now: 1000, random: rand.New(rand.NewPCG(uint64(size), 1)),
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

// query takes a query of 300 parts and hands in its answers one a batch, as they come from different connections.
func (f *benchmarkFleet) query() {
	size := len(f.list)
	f.next += 1000
	f.now += benchmarkGap
	events := append(f.send[:0], decision.Query{ID: f.next, Number: int64(f.next), Parts: benchmarkParts,
		Deadline: f.now + 2})
	for i := range benchmarkParts {
		events = append(events, decision.Part{ID: f.next + 1 + decision.RequestID(i), QueryNumber: int64(f.next),
			Shard: f.random.IntN(size), Weight: 1.0 / benchmarkParts})
	}
	f.send = events
	out := sends(f.policy.Handle(f.now, events))
	f.now += benchmarkReply
	for len(out) > 0 {
		send := out[0]
		f.now += 0.00002
		end := decision.AttemptFinished{ID: send.ID, Server: send.Server, Status: decision.OK, Latency: benchmarkReply, PartConcluded: true,
			LoadReport: decision.LoadReport{InFlight: 1, QueueLength: 1, Utilization: 0.5, Latency: 0.02, Rate: 10}}
		if f.random.Float64() < f.failureRatio {
			end.Status, end.PartConcluded = f.failure, false
		}
		for _, more := range sends(f.policy.Handle(f.now, []decision.Event{end})) {
			if more.ID == send.ID { // its next attempt is not answered
				continue
			}
			out = append(out, more)
		}
		out = out[1:]
	}
}

func benchmarkEach(b *testing.B, run func(b *testing.B, size int)) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			run(b, size)
		})
	}
}

// idle measures batches without events.
func idle(f *benchmarkFleet) func(b *testing.B) {
	return func(b *testing.B) {
		for b.Loop() {
			f.now += benchmarkGap
			f.policy.Handle(f.now, nil)
		}
	}
}

// A batch without events where no attempt has ever failed.
func BenchmarkBatchHealthy(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, size int) { idle(newBenchmarkFleet(size, 0, nil))(b) })
}

// A batch without events after one attempt in a thousand failed: all servers have marks.
func BenchmarkBatchFewErrors(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, size int) { idle(newBenchmarkFleet(size, 1e-3, nil))(b) })
}

// A query of 300 parts and its answers, each in a batch of its own: 301 batches.
func BenchmarkQueryHealthy(b *testing.B) { benchmarkQuery(b, 0) }

// The same where one attempt in a thousand fails.
func BenchmarkQueryFewErrors(b *testing.B) { benchmarkQuery(b, 1e-3) }

// The same where one attempt in a hundred fails.
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

// An endpoint update of one entry.
func BenchmarkListEntry(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, size int) {
		f := newBenchmarkFleet(size, 0, nil)
		for b.Loop() {
			e := &f.list[f.random.IntN(size)]
			e.State = decision.Draining - e.State
			f.now += benchmarkGap
			f.policy.Handle(f.now, []decision.Event{decision.EndpointUpdate{Servers: []decision.Server{*e}}})
		}
	})
}

// A query while half of the attempts are rejected and servers are checked.
func BenchmarkQueryWhileProbing(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, size int) {
		f := newBenchmarkFleet(size, 0, func(s *decision.Settings) { s.HealthChecksAllowed = true })
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

// A query where retries are limited by a ratio of the requests of 10 s, at 41,700 parts a second.
func BenchmarkQueryWithBudget(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, size int) {
		f := newBenchmarkFleet(size, 0, func(s *decision.Settings) {
			s.RetryBudget.Enabled, s.RetryBudget.Min, s.RetryBudget.Ratio, s.RetryBudget.Window = true, 10, 0.1, 10
		})
		f.now += 20
		const entries = 41_700 * 10
		for i := range entries / benchmarkParts { // fills the window
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

// rejectedQuery is a query that is rejected at once, with parts that count as requests of the retry budget.
func rejectedQuery(parts int) []decision.Event {
	events := []decision.Event{decision.Query{ID: 1, Number: 1, Class: -1}}
	for range parts {
		events = append(events, decision.Part{ID: 2, QueryNumber: 1})
	}
	return events
}

// The batch that computes the fitness of all servers, each 10 s.
func BenchmarkRebuild(b *testing.B) {
	benchmarkEach(b, func(b *testing.B, size int) {
		f := newBenchmarkFleet(size, 0, nil)
		for b.Loop() {
			f.now += 10.001
			f.policy.Handle(f.now, nil)
		}
	})
}
