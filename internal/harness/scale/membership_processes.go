package scale

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"mothrouter/internal/cluster/fleet"
)

const (
	fleetConvergenceTimeout = 60 * time.Second
	fleetMeasureDuration    = 8 * time.Second      // measured period without faults
	smallFleetSpeedup       = 8                    // divides fleetMeasureDuration for the small fleets of CI
	fleetStartInterval      = 5 * time.Millisecond // between the starts of two brokers
)

func simulatedFleetExperiment() Experiment {
	return Experiment{
		Name: "hollow",
		Provenance: Provenance{Real: "internal/cluster/fleet, membership, plane, discovery, listwatch and backoff over loopback",
			Simulated: "brokers without clients, all in one process; a fake discovery service in another"},
		SmallPoints:  axis(axisBrokers, []float64{8}),
		LargePoints:  axis(axisBrokers, membershipSizes),
		MeasurePoint: measureSimulatedFleet,
	}
}

// unusedAddresses returns loopback addresses with UDP ports that no process uses.
func unusedAddresses(n int) (list []netip.AddrPort, err error) {
	for range n {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			return nil, err
		}
		defer conn.Close()
		list = append(list, conn.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return list, nil
}

// simulatedFleet runs the membership agents and the endpoint watches of brokers that have no clients.
type simulatedFleet struct {
	agents     []*fleet.Agent
	updates    updateCounter
	goroutines sync.WaitGroup
}

// start starts brokers one after another. They run until ctx is canceled.
func (f *simulatedFleet) start(ctx context.Context, brokers int, discoveryAddr string, seed uint64) error {
	addrs, err := unusedAddresses(brokers)
	if err != nil {
		return err
	}
	for i, addr := range addrs {
		agent, err := fleet.Listen(fleet.Options{
			Listen: addr, Fleet: "scale", Name: fmt.Sprint("n", i), Seeds: addrs[:min(seedCount, brokers)],
			Seed: seed + uint64(i), Log: discardLog,
		})
		if err != nil {
			return err
		}
		f.agents = append(f.agents, agent)
		f.goroutines.Go(func() { agent.Run(ctx) })
		w := newWatcher(discoveryAddr, f.updates.update, brokers, seed+uint64(i)*watcherSeedStep)
		f.goroutines.Go(func() { w.Run(ctx) })
		time.Sleep(fleetStartInterval)
	}
	return nil
}

// measureSimulatedFleet starts a fleet, waits until each broker sees all others as alive, and measures the cost without
// faults.
func measureSimulatedFleet(sizes Sizes, seed uint64) ([]Reading, error) {
	brokers := int(sizes.Of(axisBrokers))
	discoveryService, err := startChild(roleDiscovery, watchListSize)
	if err != nil {
		return nil, err
	}
	defer discoveryService.stop()
	ctx, cancel := context.WithCancel(context.Background())
	f := &simulatedFleet{}
	defer func() {
		cancel()
		f.goroutines.Wait()
	}()
	before := memoryInUse()
	if err := f.start(ctx, brokers, discoveryService.startLines[0], seed); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	if err := f.waitUntilAllAlive(fleetConvergenceTimeout); err != nil {
		return nil, err
	}
	convergenceTime := time.Since(startedAt)
	if err := f.updates.waitForCounts(brokers, 0, listTimeout); err != nil {
		return nil, err
	}
	measuredPeriod := fleetMeasureDuration
	if brokers < int(membershipSizes[0]) {
		measuredPeriod /= smallFleetSpeedup
	}
	meter := StartMeter()
	time.Sleep(measuredPeriod)
	used := meter.Stop()
	memoryGrowth := memoryInUse() - before
	if err := f.waitUntilAllAlive(time.Second); err != nil {
		return nil, err // a fault occurred in the measured period
	}
	brokerSeconds := measuredPeriod.Seconds() * float64(brokers)
	return []Reading{
		{"one view after the last start", "s", max(convergenceTime.Seconds(), 0.001)},
		{"processor", "µs a broker and second", used.CPUTime.Seconds() * 1e6 / brokerSeconds},
		{"objects", "objects a broker and second", float64(used.Allocations) / brokerSeconds},
		{"memory", "bytes a broker", max(memoryGrowth/float64(brokers), 1)},
	}, nil
}

// waitUntilAllAlive waits until every broker sees all brokers as alive. The error is errTimeout.
func (f *simulatedFleet) waitUntilAllAlive(timeout time.Duration) error {
	alive := 0
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		alive = len(f.agents)
		for _, agent := range f.agents {
			alive = min(alive, agent.FleetSize().Alive)
		}
		if alive == len(f.agents) {
			return nil
		}
	}
	return fmt.Errorf("%w: a broker sees only %d of %d brokers as alive", errTimeout, alive, len(f.agents))
}
