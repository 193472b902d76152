package scale

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"mothrouter/internal/decision"
	"mothrouter/internal/estimate/slowstart"
)

// Axes.
const (
	axisServers         = "servers"
	axisParts           = "parts"
	axisBrokers         = "brokers"
	axisCut             = "cut_s"
	axisInterval        = "restart_interval_s"
	axisMinCompleteness = "floor"
)

var (
	serverSizes = []float64{200, 500, 1000, 2300, TargetServers}
	partSizes   = []float64{36, 100, TargetParts}
	// largeFanoutServerSizes are the sizes for queries of 300 parts, which need 300 record servers at least.
	largeFanoutServerSizes = []float64{320, 500, 1000, 2300, TargetServers}
	brokerSizes            = []float64{40, 100, 300, TargetBrokers, 1200}
)

const (
	replicaSetsPerZone = 460 // each of one server: a tenth of the target's
	warmQueries        = 60  // before the measurement
	countedQueries     = 300 // measured
)

// targetSettings returns the module's settings at the target: each server is a replica set, and three hold a shard.
func targetSettings(servers, brokers int) decision.Settings {
	class := decision.Class{
		LatencyObjective: TargetLatency, Deadline: 4 * TargetLatency, PriorityWeight: 1, CompletenessThreshold: 1,
		MinCompleteness: 1,
	}
	return decision.Settings{
		Classes: []decision.Class{class}, Brokers: brokers,
		ReplicaSets: servers, ReplicationFactor: AssumedReplicationFactor, MaxPartsPerCall: 1, MaxAttempts: 4, Tick: 0.005,
		ReportMode: decision.ReportPiggyback, CancelAllowed: true, HealthChecksAllowed: true, RetryAfterSupported: true,
		MaxRetryAfter: 0.5,
		SlowStart: slowstart.Settings{
			InitialFraction: slowStartFraction, Duration: slowStartDuration,
			OverloadFactor: overloadFactor, OverloadWindow: overloadWindow,
		},
	}
}

// targetServers returns ready servers, dealt to the target's zones.
func targetServers(servers int) []decision.Server {
	list := make([]decision.Server, servers)
	for i := range list {
		list[i] = decision.Server{ID: serverID(i), Zone: i / replicaSetsPerZone % TargetZones, ReplicaSet: i, Capacity: 1}
	}
	return list
}

func serverID(i int) string { return fmt.Sprintf("record-%04d", i) }

// moduleClient drives one decision module on virtual time: queries arrive at a constant interval, by the target's rate,
// parts are answered after a random service time, and the events of one batch interval are handled together.
type moduleClient struct {
	module   *decision.Policy
	rng      *rand.Rand
	servers  int
	parts    int
	now      float64 // seconds
	nextID   decision.RequestID
	number   int64 // of the last query
	pending  pendingAnswers
	attempts map[decision.RequestID]int // by part, those sent so far

	batches, sends, answers int // so far; answers since the start of run
}

// pendingAnswer is a part's answer that arrives later.
type pendingAnswer struct {
	at       float64
	finished decision.AttemptFinished
}

// pendingAnswers is a heap by time.
type pendingAnswers []pendingAnswer

func (d pendingAnswers) Len() int           { return len(d) }
func (d pendingAnswers) Less(i, j int) bool { return d[i].at < d[j].at }
func (d pendingAnswers) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *pendingAnswers) Push(v any)        { *d = append(*d, v.(pendingAnswer)) }
func (d *pendingAnswers) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

func newClient(servers, parts int, seed uint64) *moduleClient {
	c := &moduleClient{module: decision.New(targetSettings(servers, TargetBrokers), seed),
		rng: rand.New(rand.NewPCG(seed, 11)), servers: servers, parts: parts, now: 100,
		attempts: map[decision.RequestID]int{}}
	c.handle([]decision.Event{decision.EndpointUpdate{Mode: decision.FullUpdate, Version: 1, Servers: targetServers(servers)}})
	return c
}

// queryEvents returns the events of a new query over consecutive shards from a random one on.
func (c *moduleClient) queryEvents() []decision.Event {
	c.number++
	c.nextID++
	events := []decision.Event{decision.Query{ID: c.nextID, Number: c.number, Parts: c.parts,
		Deadline: c.now + 4*TargetLatency}}
	first := c.rng.IntN(c.servers)
	for i := range c.parts {
		c.nextID++
		events = append(events, decision.Part{ID: c.nextID, QueryNumber: c.number, Shard: (first + i) % c.servers,
			Weight: 1 / float64(c.parts)})
	}
	return events
}

// run runs until a number of queries is answered, with a batch at each AssumedBatchInterval.
func (c *moduleClient) run(queries int) {
	step := 1 / QueriesPerBroker(TargetBrokers)
	next := c.now
	for c.answers = 0; c.answers < queries; {
		c.now += AssumedBatchInterval
		var events []decision.Event
		for len(c.pending) > 0 && c.pending[0].at <= c.now {
			events = append(events, heap.Pop(&c.pending).(pendingAnswer).finished)
		}
		for ; next <= c.now; next += step {
			events = append(events, c.queryEvents()...)
		}
		if len(events) > 0 {
			c.handle(events)
		}
	}
}

// handle hands a batch to the module and carries out its actions.
func (c *moduleClient) handle(events []decision.Event) {
	c.batches++
	for _, a := range c.module.Handle(c.now, events) {
		switch a := a.(type) {
		case decision.Send:
			c.sends++
			latency := AssumedServiceTime * (0.5 + c.rng.Float64())
			finished := decision.AttemptFinished{
				ID: a.ID, Attempt: c.attempts[a.ID], Server: a.Server, Status: decision.OK, Latency: latency,
				PartConcluded: true, LoadReport: piggybackedReport,
			}
			heap.Push(&c.pending, pendingAnswer{c.now + latency, finished})
			c.attempts[a.ID]++
		case decision.Respond:
			c.answers++
		}
	}
}

// piggybackedReport is the load that each answer reports; -1 is not reported.
var piggybackedReport = decision.LoadReport{
	InFlight: 1, QueueLength: -1, Utilization: 0.3, Latency: -1, Rate: -1, ErrorRate: -1,
}

// serversAndParts returns the points over the numbers of record servers and of parts per query.
func serversAndParts() []Sizes {
	points := grid(axisServers, serverSizes, axisParts, partSizes[:2])
	return append(points, grid(axisServers, largeFanoutServerSizes, axisParts, partSizes[2:])...)
}

func decisionExperiment() Experiment {
	return Experiment{
		Name:       "decision",
		Provenance: Provenance{Real: "internal/decision", Virtual: "clock, record servers and clients"},
		Small:      grid(axisServers, []float64{50, 100, 200}, axisParts, []float64{12}),
		Large:      serversAndParts(),
		Play:       playDecision,
	}
}

func playDecision(at Sizes, seed uint64) ([]Reading, error) {
	servers, parts := int(at.Of(axisServers)), int(at.Of(axisParts))
	before := memoryInUse()
	c := newClient(servers, parts, seed)
	c.run(warmQueries)
	counted := countedQueries
	if servers <= 200 && parts <= 12 {
		counted = warmQueries
	}
	batches, sends := c.batches, c.sends
	meter := StartMeter()
	c.run(counted)
	used := meter.Stop()
	batches, sends = c.batches-batches, c.sends-sends
	held := memoryInUse() - before
	empty := emptyBatch(c)
	micros := used.Processor.Seconds() * 1e6 / float64(counted)
	return []Reading{
		{"processor a query", "µs", micros},
		{"processor an empty batch", "µs", empty},
		{"allocated a query", "bytes", float64(used.Allocated) / float64(counted)},
		{"objects a query", "objects", float64(used.Objects) / float64(counted)},
		{"sends a part", "sends", float64(sends) / float64(counted) / float64(parts)},
		{"batches a query", "batches", float64(batches) / float64(counted)},
		{"memory", "bytes", max(held, 1)},
	}, nil
}

// emptyBatch returns the processor time of a batch without events in µs.
func emptyBatch(c *moduleClient) float64 {
	const rounds = 400
	meter := StartMeter()
	for range rounds {
		c.now += 1e-6
		c.module.Handle(c.now, nil)
	}
	return meter.Stop().Processor.Seconds() * 1e6 / rounds
}
