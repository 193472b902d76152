// Package processtest runs a fleet of broker processes on loopback, with a UDP proxy between each directed pair of them.
// The proxies drop, duplicate, delay and reorder membership datagrams with a seeded random generator, and can cut a direction
// completely. Tests pause, kill and restart the processes and read from their logs how each sees the fleet. No production
// code imports this package.
package processtest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Options configure a fleet.
type Options struct {
	Program string // path of the built program
	Folder  string // for configuration files
	Brokers int    // number of brokers
	Seed    uint64 // of the faults and, modulo 256, of the addresses: fleets that run concurrently need different seeds
	// Config returns the text of a broker's configuration file, with the broker's name and the addresses at which it listens.
	Config func(name, listen, control string) string
	Flags  []string // additional flags, the same for all brokers
}

// Faults are the faults that a proxy injects into the datagrams from one broker to another.
type Faults struct {
	LossRatio      float64       // fraction of datagrams that are dropped
	DuplicateRatio float64       // fraction of datagrams that are delivered twice
	MaxDelay       time.Duration // maximum of a datagram's delay, which is uniform and reorders datagrams
	Cut            bool          // all datagrams are dropped
}

// Fleet is a set of brokers and the proxies between them. Its methods are safe for concurrent use.
type Fleet struct {
	Brokers []*Broker
	options Options

	mu            sync.Mutex // guards the fields below
	rng           *rand.Rand
	faults        map[direction]Faults
	defaultFaults Faults // of directions that are not in faults
	closed        bool
	deliveries    sync.WaitGroup // delayed datagrams that are still to be sent
}

// direction is an ordered pair of brokers, given by their indexes.
type direction struct{ from, to int }

const (
	fleetName = "processtest"
	seedCount = 3 // number of brokers that all brokers are configured with as seeds

	clientPort     = "8080"
	controlPort    = "8081"
	membershipPort = "7946"
)

// New starts a fleet. The caller must close it.
func New(options Options) (*Fleet, error) {
	f := &Fleet{
		options: options, rng: rand.New(rand.NewPCG(options.Seed, 0x9b05688c2b3e6c1f)), faults: map[direction]Faults{},
	}
	for i := range options.Brokers {
		b, err := f.newBroker(i)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Brokers = append(f.Brokers, b)
	}
	for _, b := range f.Brokers {
		go b.relay()
	}
	for _, b := range f.Brokers {
		if err := b.Start(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// newBroker returns a broker whose proxy is listening and whose process has not been started.
func (f *Fleet) newBroker(index int) (*Broker, error) {
	host := fmt.Sprintf("127.77.%d.%d", f.options.Seed%256, index+1)
	proxyHost := fmt.Sprintf("127.78.%d.%d", f.options.Seed%256, index+1)
	b := &Broker{
		Index: index, Name: fmt.Sprint("n", index), Listen: host + ":" + clientPort, Control: host + ":" + controlPort,
		fleet:        f,
		address:      netip.MustParseAddrPort(host + ":" + membershipPort),
		proxyAddress: netip.MustParseAddrPort(proxyHost + ":" + membershipPort),
	}
	b.OnLogLine = b.readLogLine
	var err error
	b.proxy, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(b.proxyAddress))
	return b, err
}

// Close kills all processes and closes the proxies.
func (f *Fleet) Close() {
	for _, b := range f.Brokers {
		b.Kill()
	}
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.deliveries.Wait()
	for _, b := range f.Brokers {
		b.proxy.Close()
	}
}

// SetFaults sets the faults of datagrams from one broker to another, given by their indexes.
func (f *Fleet) SetFaults(from, to int, faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[direction{from, to}] = faults
}

// SetAllFaults sets the faults between all brokers. It replaces all earlier faults, including those of SetFaults.
func (f *Fleet) SetAllFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.defaultFaults = faults
	clear(f.faults)
}

// ResetLostMembers empties the list that LostMembers returns, for each broker.
func (f *Fleet) ResetLostMembers() {
	for _, b := range f.Brokers {
		b.resetLostMembers()
	}
}
