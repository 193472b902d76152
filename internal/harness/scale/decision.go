package scale

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"mothrouter/internal/decision"
	"mothrouter/internal/estimate/slowstart"
)

// Names of axes.
const (
	axisServers         = "servers"
	axisParts           = "parts"
	axisBrokers         = "brokers"
	axisPartition       = "cut_s"
	axisRestartInterval = "restart_interval_s"
	axisMinCompleteness = "floor"
)

var (
	serverSizes = []float64{200, 500, 1000, 2300, TargetServers}
	partSizes   = []float64{36, 100, TargetParts}
	// largeFanoutServerSizes are the server counts for queries of 300 parts, which need at least 300 record servers.
	largeFanoutServerSizes = []float64{320, 500, 1000, 2300, TargetServers}
	brokerSizes            = []float64{40, 100, 300, TargetBrokers, 1200}
)

const (
	replicaSetsPerZone = 460 // of one server each: a tenth of TargetServers
	warmUpQueries      = 60  // run before the measurement
	measuredQueries    = 300
)

// targetSettings returns the settings of the decision package at the target. Each server is a replica set of its own, and
// each shard is replicated on three replica sets.
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

// targetServers returns ready servers, distributed over the target's zones.
func targetServers(servers int) []decision.Server {
	list := make([]decision.Server, servers)
	for i := range list {
		list[i] = decision.Server{ID: serverID(i), Zone: i / replicaSetsPerZone % TargetZones, ReplicaSet: i, Capacity: 1}
	}
	return list
}

func serverID(i int) string { return fmt.Sprintf("record-%04d", i) }

// policyDriver drives a decision.Policy on virtual time. Queries arrive at a constant interval given by the target's rate,
// parts are answered after a random service time, and the events of one batch interval are handled together.
type policyDriver struct {
	policy          *decision.Policy
	rng             *rand.Rand
	servers         int
	parts           int
	now             float64 // virtual time in seconds
	nextID          decision.RequestID
	lastQueryNumber int64
	pending         pendingAnswers
	attempts        map[decision.RequestID]int // number of attempts sent so far, by part

	batches         int
	sends           int
	answeredQueries int // since the last call of run
}

// pendingAnswer is the answer to a part that will arrive at a later virtual time.
type pendingAnswer struct {
	arrivesAt float64 // virtual time in seconds
	finished  decision.AttemptFinished
}

// pendingAnswers is a heap ordered by arrival time.
type pendingAnswers []pendingAnswer

func (p pendingAnswers) Len() int           { return len(p) }
func (p pendingAnswers) Less(i, j int) bool { return p[i].arrivesAt < p[j].arrivesAt }
func (p pendingAnswers) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *pendingAnswers) Push(v any)        { *p = append(*p, v.(pendingAnswer)) }
func (p *pendingAnswers) Pop() any {
	old := *p
	last := old[len(old)-1]
	*p = old[:len(old)-1]
	return last
}

func newPolicyDriver(servers, parts int, seed uint64) *policyDriver {
	d := &policyDriver{policy: decision.New(targetSettings(servers, TargetBrokers), seed),
		rng: rand.New(rand.NewPCG(seed, 11)), servers: servers, parts: parts, now: 100,
		attempts: map[decision.RequestID]int{}}
	d.handle([]decision.Event{decision.EndpointUpdate{Mode: decision.FullUpdate, Version: 1, Servers: targetServers(servers)}})
	return d
}

// queryEvents returns the events of a new query over consecutive shards, starting at a random shard.
func (d *policyDriver) queryEvents() []decision.Event {
	d.lastQueryNumber++
	d.nextID++
	events := []decision.Event{decision.Query{ID: d.nextID, Number: d.lastQueryNumber, Parts: d.parts,
		Deadline: d.now + 4*TargetLatency}}
	firstShard := d.rng.IntN(d.servers)
	for i := range d.parts {
		d.nextID++
		events = append(events, decision.Part{ID: d.nextID, QueryNumber: d.lastQueryNumber, Shard: (firstShard + i) % d.servers,
			Weight: 1 / float64(d.parts)})
	}
	return events
}

// run advances the virtual time in steps of AssumedBatchInterval until the given number of queries have been
// answered. The events of each step are passed to the policy as one batch.
func (d *policyDriver) run(queries int) {
	queryInterval := 1 / QueriesPerBroker(TargetBrokers)
	nextQueryAt := d.now
	for d.answeredQueries = 0; d.answeredQueries < queries; {
		d.now += AssumedBatchInterval
		var events []decision.Event
		for len(d.pending) > 0 && d.pending[0].arrivesAt <= d.now {
			events = append(events, heap.Pop(&d.pending).(pendingAnswer).finished)
		}
		for ; nextQueryAt <= d.now; nextQueryAt += queryInterval {
			events = append(events, d.queryEvents()...)
		}
		if len(events) > 0 {
			d.handle(events)
		}
	}
}

// handle passes a batch of events to the policy and executes the returned actions.
func (d *policyDriver) handle(events []decision.Event) {
	d.batches++
	for _, a := range d.policy.Handle(d.now, events) {
		switch a := a.(type) {
		case decision.Send:
			d.sends++
			latency := AssumedServiceTime * (0.5 + d.rng.Float64())
			finished := decision.AttemptFinished{
				ID: a.ID, Attempt: d.attempts[a.ID], Server: a.Server, Status: decision.OK, Latency: latency,
				PartConcluded: true, LoadReport: piggybackedReport,
			}
			heap.Push(&d.pending, pendingAnswer{d.now + latency, finished})
			d.attempts[a.ID]++
		case decision.Respond:
			d.answeredQueries++
		}
	}
}

// piggybackedReport is the load report in each answer; -1 marks a value that is not reported.
var piggybackedReport = decision.LoadReport{
	InFlight: 1, QueueLength: -1, Utilization: 0.3, Latency: -1, Rate: -1, ErrorRate: -1,
}

// serversAndParts returns the points of all combinations of record server counts and parts per query.
func serversAndParts() []Sizes {
	points := grid(axisServers, serverSizes, axisParts, partSizes[:2])
	return append(points, grid(axisServers, largeFanoutServerSizes, axisParts, partSizes[2:])...)
}

func decisionExperiment() Experiment {
	return Experiment{
		Name:         "decision",
		Provenance:   Provenance{Real: "internal/decision", Virtual: "clock, record servers and clients"},
		SmallPoints:  grid(axisServers, []float64{50, 100, 200}, axisParts, []float64{12}),
		LargePoints:  serversAndParts(),
		MeasurePoint: measureDecision,
	}
}

func measureDecision(sizes Sizes, seed uint64) ([]Reading, error) {
	servers, parts := int(sizes.Of(axisServers)), int(sizes.Of(axisParts))
	before := memoryInUse()
	d := newPolicyDriver(servers, parts, seed)
	d.run(warmUpQueries)
	queries := measuredQueries
	if servers <= 200 && parts <= 12 {
		queries = warmUpQueries
	}
	batches, sends := d.batches, d.sends
	meter := StartMeter()
	d.run(queries)
	used := meter.Stop()
	batches, sends = d.batches-batches, d.sends-sends
	memoryGrowth := memoryInUse() - before
	emptyBatchMicros := emptyBatchTime(d)
	microsPerQuery := used.CPUTime.Seconds() * 1e6 / float64(queries)
	return []Reading{
		{"processor a query", "µs", microsPerQuery},
		{"processor an empty batch", "µs", emptyBatchMicros},
		{"allocated a query", "bytes", float64(used.AllocatedBytes) / float64(queries)},
		{"objects a query", "objects", float64(used.Allocations) / float64(queries)},
		{"sends a part", "sends", float64(sends) / float64(queries) / float64(parts)},
		{"batches a query", "batches", float64(batches) / float64(queries)},
		{"memory", "bytes", max(memoryGrowth, 1)},
	}, nil
}

// emptyBatchTime returns the CPU time in µs of a batch without events.
func emptyBatchTime(d *policyDriver) float64 {
	const batches = 400
	meter := StartMeter()
	for range batches {
		d.now += 1e-6
		d.policy.Handle(d.now, nil)
	}
	return meter.Stop().CPUTime.Seconds() * 1e6 / batches
}
