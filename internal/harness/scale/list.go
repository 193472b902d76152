package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mothrouter/internal/backoff"
	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/endpoints/discovery"
)

var (
	nameTable  = discovery.NameTable{Zones: zones(), Kinds: []string{"record-large"}}
	errTimeout = errors.New("scale: not all came in time")
	discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))
)

func zones() (list []string) {
	for i := range TargetZones {
		list = append(list, fmt.Sprintf("region-%d-zone-%d", i%TargetRegions, i))
	}
	return list
}

func serverEntry(i int) discovery.Entry {
	return discovery.Entry{ID: serverID(i), Addr: fmt.Sprintf("10.%d.%d.%d:9000", i>>16&255, i>>8&255, i&255),
		Zone: nameTable.Zones[i/replicaSetsPerZone%TargetZones], Kind: nameTable.Kinds[0], ReplicaSet: i, State: "active", Weight: 1,
		StartedMS: 1_790_000_000_000 + float64(i)}
}

// encodeList is a whole list as discovery tells it.
func encodeList(servers int, version int64) []byte {
	m := discovery.Message{Version: version, Full: true}
	for i := range servers {
		m.Servers = append(m.Servers, serverEntry(i))
	}
	return encode(m)
}

// encodeChange is one server's change.
func encodeChange(server int, version int64) []byte {
	return encode(discovery.Message{Version: version, Servers: []discovery.Entry{serverEntry(server)}})
}

func encode(m discovery.Message) []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // of plain fields: it cannot fail
	}
	return append(text, '\n')
}

func listExperiment() Experiment {
	return Experiment{
		Name: "list",
		Provenance: Provenance{Real: "internal/endpoints/discovery (Message, Names), internal/broker (Servers), internal/decision",
			Virtual: "no socket"},
		Small: axis(axisServers, []float64{50, 100, 200}),
		Large: axis(axisServers, serverSizes),
		Play:  playList,
	}
}

// playList takes in a whole list and then changes of one server, as a broker does.
func playList(at Sizes, seed uint64) ([]Reading, error) {
	const wholes, changes = 6, 60
	servers := int(at.Of(axisServers))
	whole := encodeList(servers, 1)
	module := decision.New(targetSettings(servers, TargetBrokers), seed)
	known := broker.NewEndpoints()
	before := memoryInUse()
	meter := StartMeter()
	for range wholes {
		if err := receiveList(whole, known, module); err != nil {
			return nil, err
		}
	}
	wholeCost := meter.Stop()
	held := memoryInUse() - before
	meter = StartMeter()
	for i := range changes {
		if err := receiveList(encodeChange(i%servers, int64(i+2)), known, module); err != nil {
			return nil, err
		}
	}
	changeCost := meter.Stop()
	entries, _ := known.Size()
	if entries != servers {
		return nil, fmt.Errorf("scale: %d servers are known of %d", entries, servers)
	}
	return []Reading{
		{"size of the list", "bytes", float64(len(whole))},
		{"size of a change", "bytes", float64(len(encodeChange(0, 1)))},
		{"processor for the list", "µs", wholeCost.Processor.Seconds() * 1e6 / wholes},
		{"processor for a change", "µs", changeCost.Processor.Seconds() * 1e6 / changes},
		{"allocated for the list", "bytes", float64(wholeCost.Allocated) / wholes},
		{"memory", "bytes", max(held, 1)},
	}, nil
}

// receiveList is what a broker does with one object of the list.
func receiveList(data []byte, known *broker.Endpoints, module *decision.Policy) error {
	var m discovery.Message
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	l, err := nameTable.EndpointUpdate(m)
	if err != nil {
		return err
	}
	known.Apply(l)
	module.Handle(float64(m.Version), []decision.Event{l.Event()})
	return nil
}

const watchServers = 500 // on the list of the many watchers: they share one machine's cores

func watchExperiment() Experiment {
	return Experiment{
		Name: "watch",
		Provenance: Provenance{Real: "internal/endpoints/discovery (Watcher), listwatch and backoff over loopback",
			Hollow: "brokers without clients; a stand-in for discovery in a process of its own, 500 servers on its list"},
		Small: axis(axisBrokers, []float64{10}),
		Large: axis(axisBrokers, brokerSizes),
		Play:  playWatch,
	}
}

// updateCounter counts what watchers hear.
type updateCounter struct {
	mu        sync.Mutex
	fullLists int
	changes   int
	delays    []float64 // seconds from telling to hearing
}

func (t *updateCounter) update(l broker.EndpointUpdate) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.Mode == decision.FullUpdate {
		t.fullLists++
		return
	}
	t.changes++
	t.delays = append(t.delays, now.Sub(time.Unix(0, l.Version)).Seconds())
}

// waitForCounts waits for the counts to be what they should.
func (t *updateCounter) waitForCounts(wholes, changes int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		t.mu.Lock()
		done := t.fullLists >= wholes && t.changes >= changes
		t.mu.Unlock()
		if done {
			return nil
		}
	}
	return fmt.Errorf("%w: %d lists of %d, %d changes of %d", errTimeout, t.fullLists, wholes, t.changes, changes)
}

func playWatch(at Sizes, seed uint64) ([]Reading, error) {
	brokers := int(at.Of(axisBrokers))
	c, err := startChild(roleDiscovery, watchServers)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t := &updateCounter{}
	before := memoryInUse()
	meter := StartMeter()
	for i := range brokers {
		w := &discovery.Watcher{Addr: c.startLines[0], NameTable: nameTable, Update: t.update, Log: discardLog,
			Backoff: backoff.New(brokers, seed+uint64(i)*7919)}
		go w.Run(ctx)
	}
	if err := t.waitForCounts(brokers, 0, listTimeout); err != nil {
		return nil, err
	}
	start := meter.Stop()
	held := memoryInUse() - before
	meter = StartMeter()
	if err := c.startChanges(); err != nil {
		return nil, err
	}
	if err := t.waitForCounts(brokers, brokers*maxChanges, maxChanges*changeInterval+listTimeout); err != nil {
		return nil, err
	}
	changes := meter.Stop()
	cancel()
	far, err := c.stop()
	if err != nil {
		return nil, err
	}
	slices.Sort(t.delays)
	each := float64(brokers)
	return []Reading{
		{"all have the list", "s", start.Wall.Seconds()},
		{"processor for the list", "µs a broker", start.Processor.Seconds() * 1e6 / each},
		{"processor for a change", "µs a broker", changes.Processor.Seconds() * 1e6 / each / maxChanges},
		{"memory", "bytes a broker", max(held/each, 1)},
		{"a change has come to 99 in 100", "s", t.delays[len(t.delays)*99/100]},
		{"a change has come to all", "s", t.delays[len(t.delays)-1]},
		{"processor of the stand-in", "µs a broker", far.Seconds() * 1e6 / each},
		{"lists told", "lists", float64(t.fullLists)},
	}, nil
}
