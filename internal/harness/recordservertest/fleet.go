// Package recordservertest provides fake record servers on loopback for tests and measurements. They speak the
// platform's frames, and can be slow, fail, hang, restart or drain. A fleet of them checks the rules that bind brokers.
// No production code imports it.
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
	// drainGrace is how long after a drain a server accepts new parts: the rule's 250 ms and 50 ms for sockets.
	drainGrace = 300 * time.Millisecond
	// cancelGrace is how long an attempt may stay in flight after another server got the part: its cancel uses another
	// connection than the new attempt.
	cancelGrace = 50 * time.Millisecond
	// maxViolations is how many violations a fleet keeps.
	maxViolations = 20
)

// Options configure a fleet.
type Options struct {
	Servers           int
	ReplicationFactor int                  // servers that hold a shard, consecutive on a ring
	ServiceTime       time.Duration        // mean time of a part; times are uniform from half of it to one and a half
	NonIdempotent     func(id string) bool // reports whether a part may run only once; nil: no part
	Seed              uint64
	SecondPhaseFanout int // parts of a query's second phase; 0: queries have one phase
}

// Fleet is a set of fake record servers and the record of what they received. Its methods are safe for concurrent use.
type Fleet struct {
	Servers []*Server
	options Options

	mu             sync.Mutex // guards what follows
	parts          map[string]*partAttempts
	answeredShards map[string]map[int]bool // by query, the shards whose first phase was answered
	violations     []string
	received       int // attempts
}

// partAttempts counts the attempts of one part.
type partAttempts struct {
	inFlight int
	ran      int // attempts that have run or may have
}

// New starts a fleet. The caller has to close it.
func New(options Options) (*Fleet, error) {
	f := &Fleet{options: options, parts: map[string]*partAttempts{}, answeredShards: map[string]map[int]bool{}}
	for i := range options.Servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.Close()
			return nil, err
		}
		s := &Server{
			ID: fmt.Sprintf("s-%03d", i), Addr: l.Addr().String(), ReplicaSet: i, fleet: f, listener: l,
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

// Endpoints returns the endpoint list, with all servers ready.
func (f *Fleet) Endpoints() (list []broker.Endpoint) {
	for _, s := range f.Servers {
		list = append(list, s.Endpoint(decision.Ready))
	}
	return list
}

// Violations returns the first violations of rules, 20 at most, and how many attempts the servers have received.
func (f *Fleet) Violations() (violations []string, attempts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...), f.received
}

// recordViolation adds a violation. The caller holds mu.
func (f *Fleet) recordViolation(format string, args ...any) {
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, fmt.Sprintf(format, args...))
	}
}

// recordAttempt records an attempt that a server has received, and checks the rules that bind it.
func (f *Fleet) recordAttempt(s *Server, id string, shard int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received++
	part := f.parts[id]
	if part == nil {
		part = &partAttempts{}
		f.parts[id] = part
	}
	part.inFlight++
	if part.inFlight > 1 {
		time.AfterFunc(cancelGrace, func() { f.checkSingleAttempt(id, part) })
	}
	part.ran++
	if part.ran > 1 && f.options.NonIdempotent != nil && f.options.NonIdempotent(id) {
		f.recordViolation("%s: must not run twice", id)
	}
	if !f.holdsShard(s, shard) {
		f.recordViolation("%s: sent to %s, which does not hold shard %d", id, s.ID, shard)
	}
}

// checkSingleAttempt records a violation if a part has several attempts in flight.
func (f *Fleet) checkSingleAttempt(id string, part *partAttempts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if part.inFlight > 1 {
		f.recordViolation("%s: two attempts are in flight", id)
	}
}

// checkDrain records a violation if an attempt has arrived too long after a server's drain.
func (f *Fleet) checkDrain(s *Server, id string, sinceDrain time.Duration) {
	if sinceDrain <= drainGrace {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordViolation("%s: sent to %s %v after its drain", id, s.ID, sinceDrain)
}

// recordEnd records that an attempt has ended, answered or not.
func (f *Fleet) recordEnd(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.parts[id].inFlight--
}

// holdsShard reports whether a server holds a shard: server i holds shard i and those before it on the ring, as many as
// the replication factor.
func (f *Fleet) holdsShard(s *Server, shard int) bool {
	n := len(f.Servers)
	distance := (s.ReplicaSet - shard%n + n) % n
	return distance < f.options.ReplicationFactor
}
