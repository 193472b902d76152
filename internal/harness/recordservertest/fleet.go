// Package recordservertest provides fake record servers on loopback for tests and measurements. They speak the frame protocol
// of record servers, and can be slow, fail, hang, restart or drain. A fleet of them records how brokers violate the
// protocol's rules. No production code imports this package.
package recordservertest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

const (
	// drainGrace is how long after its drain a server may still receive new parts: the 250 ms that the protocol allows, and
	// 50 ms for delivery through sockets.
	drainGrace = 300 * time.Millisecond
	// cancelGrace is how long an attempt may stay in flight after another server has received the part: its cancellation is
	// sent on another connection than the new attempt.
	cancelGrace = 50 * time.Millisecond
	// maxViolations is the maximum number of violations that a fleet keeps.
	maxViolations = 20
)

// Options configure a fleet.
type Options struct {
	Servers           int
	ReplicationFactor int                  // number of servers that hold a shard; they are consecutive on a ring
	ServiceTime       time.Duration        // mean service time of a part; uniform from 0.5 to 1.5 times the mean
	NonIdempotent     func(id string) bool // reports whether a part may run only once; nil: all parts may run again
	Seed              uint64
	SecondPhaseFanout int // number of parts in a query's second phase; 0: queries have one phase
}

// Fleet is a set of fake record servers. It records the attempts that they receive and checks them against the protocol's
// rules. Its methods are safe for concurrent use.
type Fleet struct {
	Servers []*Server
	options Options

	mu             sync.Mutex               // guards the fields below
	parts          map[string]*partAttempts // by part id
	answeredShards map[string]map[int]bool  // by query id: the shards whose first phase was answered
	violations     []string
	attemptCount   int // number of attempts received by all servers
}

// partAttempts counts the attempts of one part.
type partAttempts struct {
	inFlight int
	runs     int // attempts that have run or may have run
}

// New starts a fleet. The caller must close it.
func New(options Options) (*Fleet, error) {
	f := &Fleet{options: options, parts: map[string]*partAttempts{}, answeredShards: map[string]map[int]bool{}}
	for i := range options.Servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.Close()
			return nil, err
		}
		s := &Server{
			ID: fmt.Sprintf("s-%03d", i), Addr: listener.Addr().String(), ReplicaSet: i, fleet: f, listener: listener,
			serviceTime: options.ServiceTime, rng: rand.New(rand.NewPCG(options.Seed, uint64(i))),
			conns: map[net.Conn]struct{}{},
		}
		f.Servers = append(f.Servers, s)
		go s.accept()
	}
	return f, nil
}

// Close closes the listeners and connections of all servers.
func (f *Fleet) Close() {
	for _, s := range f.Servers {
		s.listener.Close()
		s.ResetConnections()
	}
}

// Endpoints returns the endpoint list, in which all servers are ready.
func (f *Fleet) Endpoints() (list []broker.Endpoint) {
	for _, s := range f.Servers {
		list = append(list, s.Endpoint(decision.Ready))
	}
	return list
}

// Violations returns the first violations of the protocol's rules, at most 20, and the number of attempts that the servers
// have received.
func (f *Fleet) Violations() (violations []string, attempts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...), f.attemptCount
}

// recordViolation adds a violation. The caller holds mu.
func (f *Fleet) recordViolation(format string, args ...any) {
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, fmt.Sprintf(format, args...))
	}
}

// recordAttempt records an attempt that a server has received. A violation is an attempt for a shard that the server does not
// hold, a repeated attempt of a part that may run only once, or, after cancelGrace, a second attempt in flight.
func (f *Fleet) recordAttempt(s *Server, id string, shard int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attemptCount++
	part := f.parts[id]
	if part == nil {
		part = &partAttempts{}
		f.parts[id] = part
	}
	part.inFlight++
	if part.inFlight > 1 {
		time.AfterFunc(cancelGrace, func() { f.checkSingleAttempt(id, part) })
	}
	part.runs++
	if part.runs > 1 && f.options.NonIdempotent != nil && f.options.NonIdempotent(id) {
		f.recordViolation("%s: a part that is not idempotent was sent twice", id)
	}
	if !f.holdsShard(s, shard) {
		f.recordViolation("%s: sent to %s, which does not hold shard %d", id, s.ID, shard)
	}
}

// checkSingleAttempt records a violation if a part has more than one attempt in flight.
func (f *Fleet) checkSingleAttempt(id string, part *partAttempts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if part.inFlight > 1 {
		f.recordViolation("%s: %d attempts are in flight, want at most 1", id, part.inFlight)
	}
}

// checkDrain records a violation if an attempt has arrived more than drainGrace after the server's drain.
func (f *Fleet) checkDrain(s *Server, id string, sinceDrain time.Duration) {
	if sinceDrain <= drainGrace {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordViolation("%s: sent to %s %v after its drain, want at most %v", id, s.ID, sinceDrain, drainGrace)
}

// recordEnd records that an attempt has ended, answered or not.
func (f *Fleet) recordEnd(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.parts[id].inFlight--
}

// holdsShard reports whether a server holds a shard. With a replication factor of r, server i holds shard i and the r-1 shards
// before it on the ring.
func (f *Fleet) holdsShard(s *Server, shard int) bool {
	n := len(f.Servers)
	distance := (s.ReplicaSet - shard%n + n) % n
	return distance < f.options.ReplicationFactor
}
