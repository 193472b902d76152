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
	hollowAgreeTimeout  = 60 * time.Second
	hollowMeasured      = 8 * time.Second      // without faults
	hollowSpeedup       = 8                    // divides hollowMeasured for the small fleets of CI
	hollowStartInterval = 5 * time.Millisecond // between the starts of two brokers
)

func hollowExperiment() Experiment {
	return Experiment{
		Name: "hollow",
		Provenance: Provenance{Real: "internal/cluster/fleet, membership, plane, discovery, listwatch and backoff over loopback",
			Hollow: "brokers without clients, all in one process; a fake discovery service in another"},
		Small: axis(axisBrokers, []float64{8}),
		Large: axis(axisBrokers, membershipSizes),
		Play:  playHollow,
	}
}

// unusedAddresses returns addresses on loopback at which no process listens for datagrams.
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

// hollowFleet runs the membership and the endpoint watch of brokers without clients.
type hollowFleet struct {
	agents  []*fleet.Agent
	updates updateCounter
	running sync.WaitGroup
}

// start starts brokers one after the other, which run until ctx ends.
func (f *hollowFleet) start(ctx context.Context, brokers int, discoveryAddr string, seed uint64) error {
	addrs, err := unusedAddresses(brokers)
	if err != nil {
		return err
	}
	for i, addr := range addrs {
		agent, err := fleet.Listen(fleet.Options{
			Listen: addr, Fleet: "scale", Name: fmt.Sprint("n", i), Seeds: addrs[:min(seedsOfFleet, brokers)],
			Seed: seed + uint64(i), Log: discardLog,
		})
		if err != nil {
			return err
		}
		f.agents = append(f.agents, agent)
		f.running.Go(func() { agent.Run(ctx) })
		w := newWatcher(discoveryAddr, f.updates.update, brokers, seed+uint64(i)*watcherSeedStep)
		f.running.Go(func() { w.Run(ctx) })
		time.Sleep(hollowStartInterval)
	}
	return nil
}

// playHollow starts a fleet, waits until all brokers see all others, and measures it without faults.
func playHollow(at Sizes, seed uint64) ([]Reading, error) {
	brokers := int(at.Of(axisBrokers))
	c, err := startChild(roleDiscovery, watchServers)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	ctx, cancel := context.WithCancel(context.Background())
	f := &hollowFleet{}
	defer func() {
		cancel()
		f.running.Wait()
	}()
	before := memoryInUse()
	if err := f.start(ctx, brokers, c.startLines[0], seed); err != nil {
		return nil, err
	}
	started := time.Now()
	if err := f.waitUntilAllAlive(hollowAgreeTimeout); err != nil {
		return nil, err
	}
	agreedAfter := time.Since(started)
	if err := f.updates.waitForCounts(brokers, 0, listTimeout); err != nil {
		return nil, err
	}
	measured := hollowMeasured
	if brokers < int(membershipSizes[0]) {
		measured /= hollowSpeedup
	}
	meter := StartMeter()
	time.Sleep(measured)
	used := meter.Stop()
	held := memoryInUse() - before
	if err := f.waitUntilAllAlive(time.Second); err != nil {
		return nil, err // the measured period was not without faults
	}
	seconds := measured.Seconds() * float64(brokers)
	return []Reading{
		{"one view after the last start", "s", max(agreedAfter.Seconds(), 0.001)},
		{"processor", "µs a broker and second", used.Processor.Seconds() * 1e6 / seconds},
		{"objects", "objects a broker and second", float64(used.Objects) / seconds},
		{"memory", "bytes a broker", max(held/float64(brokers), 1)},
	}, nil
}

// waitUntilAllAlive waits until every broker sees all of them alive. The error is errTimeout.
func (f *hollowFleet) waitUntilAllAlive(timeout time.Duration) error {
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
	return fmt.Errorf("%w: a broker sees %d of %d", errTimeout, alive, len(f.agents))
}
