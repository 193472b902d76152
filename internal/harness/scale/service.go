package scale

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/upstream"
)

const (
	serviceConcurrency   = 4                // maximum queries in flight
	serviceMeasuredParts = 24_000           // minimum number of measured parts
	serviceDeadline      = 20 * time.Second // long enough that no query exceeds it
	servicePayloadSize   = 64               // bytes of a part's payload
	openTimeout          = 30 * time.Second // for opening the connections to all record servers, and for a health check
)

// brokerCore is a broker core with its link but without a front. Its record servers run in a child.
type brokerCore struct {
	*broker.Broker
	child     *child
	cancel    context.CancelFunc
	endpoints []broker.Endpoint
}

// startCore starts a broker core and the child with its record servers. The core does not know the servers before update.
func startCore(servers int, reportMode decision.ReportMode, seed uint64) (*brokerCore, error) {
	c, err := startChild(roleServers, servers)
	if err != nil {
		return nil, err
	}
	settings := targetSettings(servers, TargetBrokers)
	settings.ReportMode = reportMode
	settings.Classes[0].LatencyObjective, settings.Classes[0].Deadline = serviceDeadline.Seconds(), serviceDeadline.Seconds()
	ctx, cancel := context.WithCancel(context.Background())
	link := upstream.New(ctx, upstream.Options{MaxStreams: 100, IdleTimeout: time.Hour, ConnectTimeout: 5 * time.Second})
	b := broker.New(broker.Options{Settings: settings, Log: discardLog, HealthCheckTimeout: openTimeout},
		decision.New(settings, seed), link)
	go b.Run(ctx)
	return &brokerCore{b, c, cancel, c.endpoints()}, nil
}

// endpoints returns the endpoint list of a child's record servers.
func (c *child) endpoints() []broker.Endpoint {
	list := make([]broker.Endpoint, len(c.startLines))
	for i, addr := range c.startLines {
		server := decision.Server{
			ID: serverID(i), Zone: i / replicaSetsPerZone % TargetZones, ReplicaSet: i, Capacity: 1,
		}
		list[i] = broker.Endpoint{Addr: addr, Server: server}
	}
	return list
}

// update passes the full endpoint list to the core.
func (c *brokerCore) update() {
	c.Update(broker.EndpointUpdate{Mode: decision.FullUpdate, Version: 1, Servers: c.endpoints})
}

// stop stops the core and its child.
func (c *brokerCore) stop() error {
	c.cancel()
	_, err := c.child.stop()
	return err
}

// kill stops the core and its child and ignores errors. It has no effect after stop.
func (c *brokerCore) kill() {
	c.cancel()
	c.child.stop()
}

// resultChannel receives the results of queries.
type resultChannel chan broker.Result

func (c resultChannel) Finish(result broker.Result) { c <- result }

// runQueries runs the given number of queries, at most serviceConcurrency at a time. It returns an error if a query does not
// get a complete answer.
func (c *brokerCore) runQueries(name string, queries, parts int, rng *rand.Rand) error {
	payload := bytes.Repeat([]byte{'x'}, servicePayloadSize)
	results := make(resultChannel, serviceConcurrency)
	submitted := 0
	for finished := range queries {
		for submitted < queries && submitted-finished < serviceConcurrency {
			c.Submit(c.newRequest(fmt.Sprint(name, submitted), payload, parts, rng), results)
			submitted++
		}
		result := <-results
		if result.Outcome != broker.Answered || !result.Complete {
			return fmt.Errorf("scale: query ended with outcome %d, complete %t, want outcome %d and a complete answer",
				result.Outcome, result.Complete, broker.Answered)
		}
	}
	return nil
}

// newRequest returns a request for consecutive shards, starting at a random shard.
func (c *brokerCore) newRequest(id string, payload []byte, parts int, rng *rand.Rand) *broker.Request {
	r := &broker.Request{ID: id, ReceivedAt: time.Now(), Timeout: serviceDeadline, Payload: payload}
	firstShard := rng.IntN(len(c.endpoints))
	for i := range parts {
		r.Parts = append(r.Parts, broker.Part{Shard: (firstShard + i) % len(c.endpoints), Weight: 1 / float64(parts)})
	}
	return r
}

func serviceExperiment() Experiment {
	return Experiment{
		Name: "service",
		Provenance: Provenance{Real: "internal/broker, decision and upstream (frames) over loopback; no front",
			Simulated: "record servers: internal/harness/recordservertest in a process of its own, 2 ms a part, 4 queries at once"},
		SmallPoints:  grid(axisServers, []float64{20, 40, 60}, axisParts, []float64{12}),
		LargePoints:  serversAndParts(),
		MeasurePoint: measureService,
	}
}

func measureService(sizes Sizes, seed uint64) ([]Reading, error) {
	servers, parts := int(sizes.Of(axisServers)), int(sizes.Of(axisParts))
	c, err := startCore(servers, decision.ReportPiggyback, seed)
	if err != nil {
		return nil, err
	}
	defer c.kill()
	c.update()
	rng := rand.New(rand.NewPCG(seed, 17))
	warmUpQueries := 3*servers/parts + 10 // three parts per server, so that most connections are open
	if err := c.runQueries("warm", warmUpQueries, parts, rng); err != nil {
		return nil, err
	}
	measuredParts := serviceMeasuredParts
	if servers < 200 {
		measuredParts /= 10
	}
	queries := max(measuredParts/parts, 20)
	meter := StartMeter()
	if err := c.runQueries("q", queries, parts, rng); err != nil {
		return nil, err
	}
	used := meter.Stop()
	if err := c.stop(); err != nil {
		return nil, err
	}
	microsPerQuery := used.CPUTime.Seconds() * 1e6 / float64(queries)
	return []Reading{
		{"processor a query", "µs", microsPerQuery},
		{"processor a part", "µs", microsPerQuery / float64(parts)},
		{"allocated a query", "bytes", float64(used.AllocatedBytes) / float64(queries)},
		{"objects a query", "objects", float64(used.Allocations) / float64(queries)},
	}, nil
}

func meshExperiment() Experiment {
	return Experiment{
		Name: "mesh",
		Provenance: Provenance{Real: "internal/transport/upstream: one connection to each record server, over loopback",
			Simulated: "record servers: internal/harness/recordservertest in a process of its own"},
		SmallPoints:  axis(axisServers, []float64{40}),
		LargePoints:  axis(axisServers, serverSizes),
		MeasurePoint: measureMesh,
	}
}

// measureMesh lets the decision policy health-check every record server once, which opens a connection to each server.
func measureMesh(sizes Sizes, seed uint64) ([]Reading, error) {
	servers := int(sizes.Of(axisServers))
	c, err := startCore(servers, decision.ReportPull, seed)
	if err != nil {
		return nil, err
	}
	defer c.kill()
	descriptorsBefore, err := openDescriptors()
	if err != nil {
		return nil, err
	}
	before := memoryInUse()
	meter := StartMeter()
	c.update()
	if err := waitForDescriptors(descriptorsBefore + servers); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond) // time for the answers to the health checks
	used := meter.Stop()
	memoryGrowth := memoryInUse() - before
	descriptors, err := openDescriptors()
	if err != nil {
		return nil, err
	}
	c.Gauges() // keeps the broker reachable until its memory is measured
	if err := c.stop(); err != nil {
		return nil, err
	}
	connections := float64(servers)
	return []Reading{
		{"memory", "bytes", memoryGrowth},
		{"memory a connection", "bytes", memoryGrowth / connections},
		{"processor to open", "µs a connection", used.CPUTime.Seconds() * 1e6 / connections},
		{"descriptors", "descriptors", float64(descriptors - descriptorsBefore)},
	}, nil
}

// waitForDescriptors waits until this process has at least the given number of open file descriptors. The error is errTimeout.
func waitForDescriptors(want int) error {
	for end := time.Now().Add(openTimeout); ; time.Sleep(50 * time.Millisecond) {
		descriptors, err := openDescriptors()
		if err != nil {
			return err
		}
		if descriptors >= want {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: %d open file descriptors, want %d", errTimeout, descriptors, want)
		}
	}
}

// openDescriptors returns the number of open file descriptors of this process.
func openDescriptors() (int, error) {
	entries, err := os.ReadDir("/proc/self/fd")
	return len(entries), err
}
