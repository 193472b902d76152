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
	serviceConcurrency  = 4                // queries in flight
	servicePartsCounted = 24_000           // parts measured at least
	serviceDeadline     = 20 * time.Second // long enough that no query ends by it
	servicePayloadSize  = 64               // bytes of a part's text
	openTimeout         = 30 * time.Second
)

// brokerCore is a broker's core and link, without a front, with record servers in a child.
type brokerCore struct {
	*broker.Broker
	child     *child
	cancel    context.CancelFunc
	endpoints []broker.Endpoint
}

func startCore(servers int, reports decision.ReportMode, seed uint64) (*brokerCore, error) {
	c, err := startChild(roleServers, servers)
	if err != nil {
		return nil, err
	}
	set := targetSettings(servers, TargetBrokers)
	set.ReportMode = reports
	set.Classes[0].LatencyObjective, set.Classes[0].Deadline = serviceDeadline.Seconds(), serviceDeadline.Seconds()
	ctx, cancel := context.WithCancel(context.Background())
	link := upstream.New(ctx, upstream.Options{MaxStreams: 100, IdleTimeout: time.Hour, ConnectTimeout: 5 * time.Second})
	b := broker.New(broker.Options{Settings: set, Log: discardLog, HealthCheckTimeout: openTimeout}, decision.New(set, seed), link)
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

// update hands the full endpoint list to the core.
func (c *brokerCore) update() {
	c.Update(broker.EndpointUpdate{Mode: decision.FullUpdate, Version: 1, Servers: c.endpoints})
}

// stop ends the core and its child.
func (c *brokerCore) stop() error {
	c.cancel()
	_, err := c.child.stop()
	return err
}

// kill ends the core and its child after an error. After stop it does nothing.
func (c *brokerCore) kill() {
	c.cancel()
	c.child.stop()
}

// resultChannel receives the results of queries.
type resultChannel chan broker.Result

func (f resultChannel) Finish(r broker.Result) { f <- r }

// runQueries runs queries, serviceConcurrency at once, and returns an error if one is not answered completely.
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
			return fmt.Errorf("scale: a query ended as %d, complete: %t", result.Outcome, result.Complete)
		}
	}
	return nil
}

// newRequest returns a query over consecutive shards from a random one on.
func (c *brokerCore) newRequest(id string, payload []byte, parts int, rng *rand.Rand) *broker.Request {
	r := &broker.Request{ID: id, ReceivedAt: time.Now(), Timeout: serviceDeadline, Payload: payload}
	first := rng.IntN(len(c.endpoints))
	for i := range parts {
		r.Parts = append(r.Parts, broker.Part{Shard: (first + i) % len(c.endpoints), Weight: 1 / float64(parts)})
	}
	return r
}

func serviceExperiment() Experiment {
	return Experiment{
		Name: "service",
		Provenance: Provenance{Real: "internal/broker, decision and upstream (frames) over loopback; no front",
			Hollow: "record servers: internal/harness/recordservertest in a process of its own, 2 ms a part, 4 queries at once"},
		Small: grid(axisServers, []float64{20, 40, 60}, axisParts, []float64{12}),
		Large: serversAndParts(),
		Play:  playService,
	}
}

func playService(at Sizes, seed uint64) ([]Reading, error) {
	servers, parts := int(at.Of(axisServers)), int(at.Of(axisParts))
	c, err := startCore(servers, decision.ReportPiggyback, seed)
	if err != nil {
		return nil, err
	}
	defer c.kill()
	c.update()
	rng := rand.New(rand.NewPCG(seed, 17))
	warm := 3*servers/parts + 10 // three parts per server, so that most connections are open
	if err := c.runQueries("warm", warm, parts, rng); err != nil {
		return nil, err
	}
	counted := servicePartsCounted
	if servers < 200 {
		counted /= 10
	}
	queries := max(counted/parts, 20)
	meter := StartMeter()
	if err := c.runQueries("q", queries, parts, rng); err != nil {
		return nil, err
	}
	used := meter.Stop()
	if err := c.stop(); err != nil {
		return nil, err
	}
	n := float64(queries)
	micros := used.Processor.Seconds() * 1e6 / n
	return []Reading{
		{"processor a query", "µs", micros},
		{"processor a part", "µs", micros / float64(parts)},
		{"allocated a query", "bytes", float64(used.Allocated) / n},
		{"objects a query", "objects", float64(used.Objects) / n},
	}, nil
}

func meshExperiment() Experiment {
	return Experiment{
		Name: "mesh",
		Provenance: Provenance{Real: "internal/transport/upstream: one connection to each record server, over loopback",
			Hollow: "record servers: internal/harness/recordservertest in a process of its own"},
		Small: axis(axisServers, []float64{40}),
		Large: axis(axisServers, serverSizes),
		Play:  playMesh,
	}
}

// playMesh has the module health-check every server once, which opens a connection to each.
func playMesh(at Sizes, seed uint64) ([]Reading, error) {
	servers := int(at.Of(axisServers))
	c, err := startCore(servers, decision.ReportPull, seed)
	if err != nil {
		return nil, err
	}
	defer c.kill()
	descriptors, err := openDescriptors()
	if err != nil {
		return nil, err
	}
	before := memoryInUse()
	meter := StartMeter()
	c.update()
	if err := waitForDescriptors(descriptors + servers); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond) // for the answers to the health checks
	used := meter.Stop()
	held := memoryInUse() - before
	now, err := openDescriptors()
	if err != nil {
		return nil, err
	}
	c.Gauges() // keeps the broker reachable until its memory was measured
	if err := c.stop(); err != nil {
		return nil, err
	}
	n := float64(servers)
	return []Reading{
		{"memory", "bytes", held},
		{"memory a connection", "bytes", held / n},
		{"processor to open", "µs a connection", used.Processor.Seconds() * 1e6 / n},
		{"descriptors", "descriptors", float64(now - descriptors)},
	}, nil
}

// waitForDescriptors waits until this process has a number of open descriptors. The error is errTimeout.
func waitForDescriptors(want int) error {
	for end := time.Now().Add(openTimeout); ; time.Sleep(50 * time.Millisecond) {
		now, err := openDescriptors()
		if err != nil {
			return err
		}
		if now >= want {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: %d open descriptors of %d", errTimeout, now, want)
		}
	}
}

// openDescriptors returns the number of this process's open descriptors.
func openDescriptors() (int, error) {
	list, err := os.ReadDir("/proc/self/fd")
	return len(list), err
}
