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
	errTimeout = errors.New("scale: timed out")
	discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))
)

// zones returns the names of the target's zones.
func zones() (list []string) {
	for i := range TargetZones {
		list = append(list, fmt.Sprintf("region-%d-zone-%d", i%TargetRegions, i))
	}
	return list
}

// serverEntry returns the endpoint list entry of the server with the given index.
func serverEntry(i int) discovery.Entry {
	return discovery.Entry{
		ID: serverID(i), Addr: fmt.Sprintf("10.%d.%d.%d:9000", i>>16&255, i>>8&255, i&255),
		Zone: nameTable.Zones[i/replicaSetsPerZone%TargetZones], Kind: nameTable.Kinds[0], ReplicaSet: i, State: "active",
		Weight: 1, StartedMS: 1_790_000_000_000 + float64(i),
	}
}

// encodeList returns a full endpoint list, encoded as the discovery service sends it.
func encodeList(servers int, version int64) []byte {
	message := discovery.Message{Version: version, Full: true}
	for i := range servers {
		message.Servers = append(message.Servers, serverEntry(i))
	}
	return encodeMessage(message)
}

// encodeChange returns an incremental update of one server, encoded as the discovery service sends it.
func encodeChange(server int, version int64) []byte {
	return encodeMessage(discovery.Message{Version: version, Servers: []discovery.Entry{serverEntry(server)}})
}

// encodeMessage encodes a message as a line of JSON.
func encodeMessage(m discovery.Message) []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // cannot happen: all fields are plain values
	}
	return append(text, '\n')
}

func listExperiment() Experiment {
	return Experiment{
		Name: "list",
		Provenance: Provenance{Real: "internal/endpoints/discovery (Message, Names), internal/broker (Servers), internal/decision",
			Virtual: "no socket"},
		SmallPoints:  axis(axisServers, []float64{50, 100, 200}),
		LargePoints:  axis(axisServers, serverSizes),
		MeasurePoint: measureList,
	}
}

// measureList applies full endpoint lists and then incremental updates of one server, as a broker does.
func measureList(sizes Sizes, seed uint64) ([]Reading, error) {
	const fullLists, changes = 6, 60
	servers := int(sizes.Of(axisServers))
	list := encodeList(servers, 1)
	policy := decision.New(targetSettings(servers, TargetBrokers), seed)
	endpoints := broker.NewEndpoints()
	before := memoryInUse()
	meter := StartMeter()
	for range fullLists {
		if err := applyMessage(list, endpoints, policy); err != nil {
			return nil, err
		}
	}
	listUsage := meter.Stop()
	memoryGrowth := memoryInUse() - before
	meter = StartMeter()
	for i := range changes {
		if err := applyMessage(encodeChange(i%servers, int64(i+2)), endpoints, policy); err != nil {
			return nil, err
		}
	}
	changeUsage := meter.Stop()
	known, _ := endpoints.Counts()
	if known != servers {
		return nil, fmt.Errorf("scale: %d of %d servers are on the applied endpoint list", known, servers)
	}
	return []Reading{
		{"size of the list", "bytes", float64(len(list))},
		{"size of a change", "bytes", float64(len(encodeChange(0, 1)))},
		{"processor for the list", "µs", listUsage.CPUTime.Seconds() * 1e6 / fullLists},
		{"processor for a change", "µs", changeUsage.CPUTime.Seconds() * 1e6 / changes},
		{"allocated for the list", "bytes", float64(listUsage.AllocatedBytes) / fullLists},
		{"memory", "bytes", max(memoryGrowth, 1)},
	}, nil
}

// applyMessage decodes one message of the endpoint watch and applies it as a broker does.
func applyMessage(data []byte, endpoints *broker.Endpoints, policy *decision.Policy) error {
	var message discovery.Message
	if err := json.Unmarshal(data, &message); err != nil {
		return err
	}
	update, err := nameTable.EndpointUpdate(message)
	if err != nil {
		return err
	}
	endpoints.Apply(update)
	policy.Handle(float64(message.Version), []decision.Event{update.Event()})
	return nil
}

// watchListSize is the number of servers on the list in experiments with many watchers. It is small because all watchers
// share the cores of one machine.
const watchListSize = 500

func watchExperiment() Experiment {
	return Experiment{
		Name: "watch",
		Provenance: Provenance{Real: "internal/endpoints/discovery (Watcher), listwatch and backoff over loopback",
			Simulated: "brokers without clients; a fake discovery service in a process of its own, 500 servers on its list"},
		SmallPoints:  axis(axisBrokers, []float64{10}),
		LargePoints:  axis(axisBrokers, brokerSizes),
		MeasurePoint: measureWatch,
	}
}

// watcherSeedStep is the difference between the seeds of consecutive brokers, a prime.
const watcherSeedStep = 7919

// newWatcher returns an endpoint watcher for one broker of a fleet with the given number of brokers.
func newWatcher(addr string, update func(broker.EndpointUpdate), brokers int, seed uint64) *discovery.Watcher {
	return &discovery.Watcher{
		Addr: addr, NameTable: nameTable, Update: update, Log: discardLog, Backoff: backoff.New(brokers, seed),
	}
}

// updateCounter counts the endpoint updates that all watchers receive.
type updateCounter struct {
	mu        sync.Mutex
	fullLists int
	changes   int
	delays    []float64 // seconds from sending each change until it was received
}

// update counts an endpoint update. The version of a change is the time at which it was sent, in Unix nanoseconds.
func (c *updateCounter) update(update broker.EndpointUpdate) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if update.Mode == decision.FullUpdate {
		c.fullLists++
		return
	}
	c.changes++
	c.delays = append(c.delays, now.Sub(time.Unix(0, update.Version)).Seconds())
}

// waitForCounts waits until the given numbers of full lists and changes have been received. The error is errTimeout.
func (c *updateCounter) waitForCounts(fullLists, changes int, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c.mu.Lock()
		done := c.fullLists >= fullLists && c.changes >= changes
		c.mu.Unlock()
		if done {
			return nil
		}
	}
	return fmt.Errorf("%w: received %d of %d full lists and %d of %d changes", errTimeout, c.fullLists, fullLists,
		c.changes, changes)
}

// measureWatch starts the endpoint watches of all brokers. It measures until all brokers have the full list, and then while
// the list changes.
func measureWatch(sizes Sizes, seed uint64) ([]Reading, error) {
	brokers := int(sizes.Of(axisBrokers))
	discoveryService, err := startChild(roleDiscovery, watchListSize)
	if err != nil {
		return nil, err
	}
	defer discoveryService.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	counter := &updateCounter{}
	before := memoryInUse()
	meter := StartMeter()
	for i := range brokers {
		w := newWatcher(discoveryService.startLines[0], counter.update, brokers, seed+uint64(i)*watcherSeedStep)
		go w.Run(ctx)
	}
	if err := counter.waitForCounts(brokers, 0, listTimeout); err != nil {
		return nil, err
	}
	listUsage := meter.Stop()
	memoryGrowth := memoryInUse() - before
	meter = StartMeter()
	if err := discoveryService.startChanges(); err != nil {
		return nil, err
	}
	if err := counter.waitForCounts(brokers, brokers*changeCount, changeCount*changeInterval+listTimeout); err != nil {
		return nil, err
	}
	changeUsage := meter.Stop()
	cancel()
	discoveryTime, err := discoveryService.stop()
	if err != nil {
		return nil, err
	}
	slices.Sort(counter.delays)
	watchers := float64(brokers)
	return []Reading{
		{"all have the list", "s", listUsage.Wall.Seconds()},
		{"processor for the list", "µs a broker", listUsage.CPUTime.Seconds() * 1e6 / watchers},
		{"processor for a change", "µs a broker", changeUsage.CPUTime.Seconds() * 1e6 / watchers / changeCount},
		{"memory", "bytes a broker", max(memoryGrowth/watchers, 1)},
		{"a change has come to 99 in 100", "s", counter.delays[len(counter.delays)*99/100]},
		{"a change has come to all", "s", counter.delays[len(counter.delays)-1]},
		{"processor of the stand-in", "µs a broker", discoveryTime.Seconds() * 1e6 / watchers},
		{"lists told", "lists", float64(counter.fullLists)},
	}, nil
}
