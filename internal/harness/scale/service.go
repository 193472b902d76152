package scale

import (
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
	serviceConcurrency  = 4                // queries out at once
	servicePartsCounted = 24_000           // parts counted at least
	serviceDeadline     = 20 * time.Second // a client's wait; nothing is to end by time-out
	servicePayloadSize  = 64               // bytes of a part's text
	openTimeout         = 30 * time.Second
)

// brokerCore is a broker's core and link, without a front, against record servers in a child.
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

func (c *brokerCore) update() {
	c.Update(broker.EndpointUpdate{Mode: decision.FullUpdate, Version: 1, Servers: c.endpoints})
}

func (c *brokerCore) stop() error {
	c.cancel()
	_, err := c.child.stop()
	return err
}

// kill ends what an error has left; after stop it does nothing.
func (c *brokerCore) kill() {
	c.cancel()
	c.child.stop()
}

// resultChannel is a client's end of a query.
type resultChannel chan broker.Result

func (f resultChannel) Finish(r broker.Result) { f <- r }

// runQueries plays queries, so many at once, and returns an error if one is not answered whole.
func (c *brokerCore) runQueries(name string, queries, parts int, rng *rand.Rand) error {
	text := make([]byte, servicePayloadSize)
	for i := range text {
		text[i] = 'x'
	}
	done := make(resultChannel, serviceConcurrency)
	out := 0
	for asked, ended := 0, 0; ended < queries; {
		for ; out < serviceConcurrency && asked < queries; asked++ {
			r := &broker.Request{ID: fmt.Sprint(name, asked), ReceivedAt: time.Now(), Timeout: serviceDeadline, Payload: text}
			first := rng.IntN(len(c.endpoints))
			for i := range parts {
				r.Parts = append(r.Parts, broker.Part{Shard: (first + i) % len(c.endpoints), Weight: 1 / float64(parts)})
			}
			c.Submit(r, done)
			out++
		}
		result := <-done
		out--
		if ended++; result.Outcome != broker.Answered || !result.Complete {
			return fmt.Errorf("scale: a query ended as %d, whole: %t", result.Outcome, result.Complete)
		}
	}
	return nil
}

func serviceExperiment() Experiment {
	return Experiment{
		Name: "service",
		Provenance: Provenance{Real: "internal/broker, decision and upstream (frames) over loopback; no front",
			Hollow: "record servers: internal/standin in a process of its own, 2 ms a part, 4 queries at once"},
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
	warm := 3*servers/parts + 10 // parts for each server, so that most connections are open
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
			Hollow: "record servers: internal/standin in a process of its own"},
		Small: axis(axisServers, []float64{40}),
		Large: axis(axisServers, serverSizes),
		Play:  playMesh,
	}
}

// playMesh has the module probe every server once, which opens a connection to each.
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
	for end := time.Now().Add(openTimeout); ; time.Sleep(50 * time.Millisecond) {
		now, err := openDescriptors()
		if err != nil {
			return nil, err
		}
		if now-descriptors >= servers {
			break
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("%w: %d connections of %d", errTimeout, now-descriptors, servers)
		}
	}
	time.Sleep(500 * time.Millisecond) // the answers to the probes
	used := meter.Stop()
	held := memoryInUse() - before
	now, err := openDescriptors()
	if err != nil {
		return nil, err
	}
	c.Gauges() // the broker has to live until its memory was read
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

// openDescriptors counts this process's descriptors.
func openDescriptors() (int, error) {
	list, err := os.ReadDir("/proc/self/fd")
	return len(list), err
}
