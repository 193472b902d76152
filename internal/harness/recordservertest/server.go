package recordservertest

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// Server is one fake record server. Its methods are safe for concurrent use.
type Server struct {
	ID         string
	Addr       string
	ReplicaSet int // index on the ring; the server holds the shard of this number and those before it

	fleet    *Fleet
	listener net.Listener

	mu           sync.Mutex // guards the fields below
	rng          *rand.Rand
	serviceTime  time.Duration // mean of a part's service time
	hanging      bool          // accepts parts and never answers them
	failureRatio float64       // fraction of parts that fail
	startedAt    time.Time     // zero: long ago, so that the server is past slow start
	drainedAt    time.Time     // zero: not draining
	arrivals     []time.Time   // of attempts since the last restart
	conns        map[net.Conn]struct{}
}

// Endpoint returns the server's entry in the endpoint list, with the given state.
func (s *Server) Endpoint(state decision.State) broker.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := decision.Server{ID: s.ID, ReplicaSet: s.ReplicaSet, State: state, Capacity: 1}
	endpoint := broker.Endpoint{Addr: s.Addr, Server: server}
	if !s.startedAt.IsZero() {
		endpoint.StartedAt = float64(s.startedAt.UnixNano()) / 1e9
	}
	return endpoint
}

// SetServiceTime sets the mean service time of a part.
func (s *Server) SetServiceTime(d time.Duration) { s.update(func() { s.serviceTime = d }) }

// SetHanging sets whether the server accepts parts and never answers.
func (s *Server) SetHanging(hanging bool) { s.update(func() { s.hanging = hanging }) }

// SetFailureRatio sets the fraction of parts that fail immediately.
func (s *Server) SetFailureRatio(ratio float64) { s.update(func() { s.failureRatio = ratio }) }

// Restart simulates a restart of the server: it starts now, is not hanging, and has no arrivals or connections.
func (s *Server) Restart() {
	s.update(func() { s.startedAt, s.arrivals, s.hanging = time.Now(), nil, false })
	s.ResetConnections()
}

// RecordDrain records that the broker has just been notified of the server's drain. Attempts that arrive more than 300 ms
// later are violations.
func (s *Server) RecordDrain() { s.update(func() { s.drainedAt = time.Now() }) }

// update calls change with the server's lock held.
func (s *Server) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// ResetConnections closes all connections with a TCP reset.
func (s *Server) ResetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		if tcpConn, ok := conn.(*net.TCPConn); ok {
			tcpConn.SetLinger(0)
		}
		conn.Close()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// MaxArrivals returns the maximum number of parts that have arrived within any window of the given length since the last
// restart.
func (s *Server) MaxArrivals(window time.Duration) (maxParts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0 // index of the first arrival in the window that ends with arrival i
	for i, arrivedAt := range s.arrivals {
		for arrivedAt.Sub(s.arrivals[first]) > window {
			first++
		}
		maxParts = max(maxParts, i-first+1)
	}
	return maxParts
}

// Arrivals returns the number of parts that have arrived since the last restart.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}

// accept serves connections until the listener is closed.
func (s *Server) accept() {
	for {
		netConn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.update(func() { s.conns[netConn] = struct{}{} })
		conn := &serverConn{Conn: netConn, server: s, cancels: map[string]chan struct{}{}}
		go conn.serve()
	}
}

// attempt is an attempt that a server has received, and how the server will run it.
type attempt struct {
	id          string
	shard       int
	serviceTime time.Duration
	hangs       bool
	fails       bool
}

// receive chooses at random how an attempt that has arrived will run, records the attempt and checks it against the protocol's
// rules.
func (s *Server) receive(id string, shard int) attempt {
	now := time.Now()
	s.mu.Lock()
	s.arrivals = append(s.arrivals, now)
	a := attempt{
		id: id, shard: shard, hangs: s.hanging,
		serviceTime: time.Duration(float64(s.serviceTime) * (0.5 + s.rng.Float64())),
		fails:       s.rng.Float64() < s.failureRatio,
	}
	drainedAt := s.drainedAt
	s.mu.Unlock()
	s.fleet.recordAttempt(s, id, shard)
	if !drainedAt.IsZero() {
		s.fleet.checkDrain(s, id, now.Sub(drainedAt))
	}
	return a
}

// run executes an attempt and returns its outcome as written in response frames, "done" or "failed". answered is false if the
// attempt was canceled and gets no response.
func (s *Server) run(a attempt, canceled <-chan struct{}) (outcome string, answered bool) {
	defer s.fleet.recordEnd(a.id)
	if a.hangs {
		<-canceled
		return "", false
	}
	if a.fails {
		return "failed", true
	}
	timer := time.NewTimer(a.serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return "done", true
	case <-canceled:
		return "", false
	}
}
