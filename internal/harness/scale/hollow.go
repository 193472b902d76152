package scale

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"mothrouter/internal/backoff"
	"mothrouter/internal/cluster/fleet"
	"mothrouter/internal/endpoints/discovery"
)

const (
	hollowAgreeTimeout  = 60 * time.Second
	hollowMeasured      = 8 * time.Second
	hollowStartInterval = 5 * time.Millisecond // between the starts of two brokers
)

func hollowExperiment() Experiment {
	return Experiment{
		Name: "hollow",
		Provenance: Provenance{Real: "internal/cluster/fleet, membership, plane, discovery, listwatch and backoff over loopback",
			Hollow: "brokers without clients, all in one process; a stand-in for discovery in another"},
		Small: axis(axisBrokers, []float64{8}),
		Large: axis(axisBrokers, membershipSizes),
		Play:  playHollow,
	}
}

// freeAddresses are addresses for datagrams that were free a moment ago.
func freeAddresses(n int) (list []netip.AddrPort, err error) {
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

// playHollow starts brokers' control, waits until all see all, and counts an ordinary stretch.
func playHollow(at Sizes, seed uint64) ([]Reading, error) {
	brokers := int(at.Of(axisBrokers))
	addrs, err := freeAddresses(brokers)
	if err != nil {
		return nil, err
	}
	c, err := startChild(roleDiscovery, watchServers)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer func() {
		cancel()
		running.Wait()
	}()
	before := memoryInUse()
	t := &updateCounter{}
	var planes []*fleet.Plane
	for i, addr := range addrs {
		p, err := fleet.Listen(fleet.Options{Listen: addr, Fleet: "scale", Name: fmt.Sprint("n", i),
			Seeds: addrs[:min(seedsOfFleet, brokers)], Seed: seed + uint64(i), Log: discardLog})
		if err != nil {
			return nil, err
		}
		planes = append(planes, p)
		running.Go(func() { p.Run(ctx) })
		w := &discovery.Watcher{Addr: c.startLines[0], NameTable: nameTable, Update: t.update, Log: discardLog,
			Backoff: backoff.New(brokers, seed+uint64(i)*7919)}
		running.Go(func() { w.Run(ctx) })
		time.Sleep(hollowStartInterval)
	}
	began := time.Now()
	if err := allAlive(planes, hollowAgreeTimeout); err != nil {
		return nil, err
	}
	agreed := time.Since(began)
	if err := t.waitForCounts(brokers, 0, listTimeout); err != nil {
		return nil, err
	}
	counted := hollowMeasured
	if brokers < int(membershipSizes[0]) {
		counted /= 8
	}
	meter := StartMeter()
	time.Sleep(counted)
	used := meter.Stop()
	held := memoryInUse() - before
	if err := allAlive(planes, time.Second); err != nil {
		return nil, err // the counted stretch was no ordinary one
	}
	seconds := counted.Seconds() * float64(brokers)
	return []Reading{
		{"one view after the last start", "s", max(agreed.Seconds(), 0.001)},
		{"processor", "µs a broker and second", used.Processor.Seconds() * 1e6 / seconds},
		{"objects", "objects a broker and second", float64(used.Objects) / seconds},
		{"memory", "bytes a broker", max(held/float64(brokers), 1)},
	}, nil
}

// allAlive waits until every broker sees all of them.
func allAlive(planes []*fleet.Plane, within time.Duration) error {
	seen := 0
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		seen = len(planes)
		for _, p := range planes {
			seen = min(seen, p.FleetSize().Alive)
		}
		if seen == len(planes) {
			return nil
		}
	}
	return fmt.Errorf("%w: a broker sees %d of %d", errTimeout, seen, len(planes))
}
