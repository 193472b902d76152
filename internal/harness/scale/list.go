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
	errTimeout = errors.New("scale: condition not met in time")
	discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))
)

// zones returns the names of the target's zones.
func zones() (list []string) {
	for i := range TargetZones {
		list = append(list, fmt.Sprintf("region-%d-zone-%d", i%TargetRegions, i))
	}
	return list
}

// serverEntry returns a server's entry on the endpoint list.
func serverEntry(i int) discovery.Entry {
	return discovery.Entry{
		ID: serverID(i), Addr: fmt.Sprintf("10.%d.%d.%d:9000", i>>16&255, i>>8&255, i&255),
		Zone: nameTable.Zones[i/replicaSetsPerZone%TargetZones], Kind: nameTable.Kinds[0], ReplicaSet: i, State: "active",
		Weight: 1, StartedMS: 1_790_000_000_000 + float64(i),
	}
}

// encodeList returns a full endpoint list as discovery sends it.
func encodeList(servers int, version int64) []byte {
	m := discovery.Message{Version: version, Full: true}
	for i := range servers {
		m.Servers = append(m.Servers, serverEntry(i))
	}
	return encode(m)
}

// encodeChange returns a change of one server as discovery sends it.
func encodeChange(server int, version int64) []byte {
	return encode(discovery.Message{Version: version, Servers: []discovery.Entry{serverEntry(server)}})
}

func encode(m discovery.Message) []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // the fields are plain values
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

// playList applies full lists and then changes of one server, as a broker does.
func playList(at Sizes, seed uint64) ([]Reading, error) {
	const fullLists, changes = 6, 60
	servers := int(at.Of(axisServers))
	list := encodeList(servers, 1)
	module := decision.New(targetSettings(servers, TargetBrokers), seed)
	known := broker.NewEndpoints()
	before := memoryInUse()
	meter := StartMeter()
	for range fullLists {
		if err := receiveList(list, known, module); err != nil {
			return nil, err
		}
	}
	listCost := meter.Stop()
	held := memoryInUse() - before
	meter = StartMeter()
	for i := range changes {
		if err := receiveList(encodeChange(i%servers, int64(i+2)), known, module); err != nil {
			return nil, err
		}
	}
	changeCost := meter.Stop()
	entries, _ := known.Counts()
	if entries != servers {
		return nil, fmt.Errorf("scale: %d servers are known of %d", entries, servers)
	}
	return []Reading{
		{"size of the list", "bytes", float64(len(list))},
		{"size of a change", "bytes", float64(len(encodeChange(0, 1)))},
		{"processor for the list", "µs", listCost.Processor.Seconds() * 1e6 / fullLists},
		{"processor for a change", "µs", changeCost.Processor.Seconds() * 1e6 / changes},
		{"allocated for the list", "bytes", float64(listCost.Allocated) / fullLists},
		{"memory", "bytes", max(held, 1)},
	}, nil
}

// receiveList applies one message of the watch as a broker does.
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

// watchServers is the size of the list in experiments with many watchers, which share one machine's cores.
const watchServers = 500

func watchExperiment() Experiment {
	return Experiment{
		Name: "watch",
		Provenance: Provenance{Real: "internal/endpoints/discovery (Watcher), listwatch and backoff over loopback",
			Hollow: "brokers without clients; a fake discovery service in a process of its own, 500 servers on its list"},
		Small: axis(axisBrokers, []float64{10}),
		Large: axis(axisBrokers, brokerSizes),
		Play:  playWatch,
	}
}

// watcherSeedStep is the difference between the seeds of two brokers' backoffs, a prime.
const watcherSeedStep = 7919

// newWatcher returns the endpoint watch of one of a number of brokers.
func newWatcher(addr string, update func(broker.EndpointUpdate), brokers int, seed uint64) *discovery.Watcher {
	return &discovery.Watcher{
		Addr: addr, NameTable: nameTable, Update: update, Log: discardLog, Backoff: backoff.New(brokers, seed),
	}
}

// updateCounter counts the updates that all watchers receive.
type updateCounter struct {
	mu        sync.Mutex
	fullLists int
	changes   int
	delays    []float64 // seconds from when a change was sent until it was received
}

// update counts an update. The version of a change is when it was sent, in Unix nanoseconds.
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

// waitForCounts waits until enough full lists and changes were received. The error is errTimeout.
func (t *updateCounter) waitForCounts(fullLists, changes int, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		t.mu.Lock()
		done := t.fullLists >= fullLists && t.changes >= changes
		t.mu.Unlock()
		if done {
			return nil
		}
	}
	return fmt.Errorf("%w: %d lists of %d, %d changes of %d", errTimeout, t.fullLists, fullLists, t.changes, changes)
}

// playWatch has brokers watch the endpoint list, first until all have it, then while it changes.
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
		w := newWatcher(c.startLines[0], t.update, brokers, seed+uint64(i)*watcherSeedStep)
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
