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
	ReplicaSet int // index on the ring, which is also its lowest shard

	fleet    *Fleet
	listener net.Listener

	mu           sync.Mutex // guards what follows
	rng          *rand.Rand
	serviceTime  time.Duration // mean
	hanging      bool
	failureRatio float64
	startedAt    time.Time // zero: long ago, so that the server is warm
	drainedAt    time.Time // zero: not draining
	arrivals     []time.Time
	conns        map[net.Conn]struct{}
}

// Endpoint returns the server's entry on the endpoint list, in a state.
func (s *Server) Endpoint(state decision.State) broker.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := decision.Server{ID: s.ID, ReplicaSet: s.ReplicaSet, State: state, Capacity: 1}
	e := broker.Endpoint{Addr: s.Addr, Server: server}
	if !s.startedAt.IsZero() {
		e.Started = float64(s.startedAt.UnixNano()) / 1e9
	}
	return e
}

// SetServiceTime sets the mean time of a part.
func (s *Server) SetServiceTime(d time.Duration) { s.update(func() { s.serviceTime = d }) }

// SetHanging sets whether the server accepts parts and never answers.
func (s *Server) SetHanging(hanging bool) { s.update(func() { s.hanging = hanging }) }

// SetFailureRatio sets the fraction of parts that fail at once.
func (s *Server) SetFailureRatio(ratio float64) { s.update(func() { s.failureRatio = ratio }) }

// Restart makes the server one that has just started: not hanging, without arrivals or connections.
func (s *Server) Restart() {
	s.update(func() { s.startedAt, s.arrivals, s.hanging = time.Now(), nil, false })
	s.ResetConnections()
}

// RecordDrain records that the broker has been notified now of the server's drain. Attempts that arrive more than
// 300 ms later are violations.
func (s *Server) RecordDrain() { s.update(func() { s.drainedAt = time.Now() }) }

// update changes the server's state under its lock.
func (s *Server) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// ResetConnections resets all connections.
func (s *Server) ResetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// MaxArrivals returns the largest number of parts that arrived within any window of a length since the last restart.
func (s *Server) MaxArrivals(window time.Duration) (maxParts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[from]) > window {
			from++
		}
		maxParts = max(maxParts, i-from+1)
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
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.update(func() { s.conns[c] = struct{}{} })
		conn := &serverConn{Conn: c, server: s, cancels: map[string]chan struct{}{}}
		go conn.serve()
	}
}

// attempt is how the server will treat an attempt that it has received.
type attempt struct {
	id          string
	shard       int
	serviceTime time.Duration
	hangs       bool
	fails       bool
}

// receive draws how an attempt that has arrived will go, records it and checks the rules that bind it.
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

// run works on an attempt and returns its end as in a response frame. It reports false if there is no answer because
// the attempt was canceled.
func (s *Server) run(a attempt, canceled <-chan struct{}) (end string, answered bool) {
	defer s.fleet.recordEnd(a.id)
	if a.hangs {
		<-canceled
		return "", false
	}
	if a.fails {
		return "failed", true
	}
	work := time.NewTimer(a.serviceTime)
	defer work.Stop()
	select {
	case <-work.C:
		return "done", true
	case <-canceled:
		return "", false
	}
}
