// Package recordservertest is a fleet of record servers on loopback for tests and measurements: they speak the platform's
// frames, answer after a while, fail, hang, start cold or drain as they are told, and check the rules that bind
// brokers. It is no part of the broker.
package recordservertest

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/frame"
)

const (
	drainGrace = 300 * time.Millisecond // the rule's 250 ms and the 50 ms that sockets are granted
	hedgeGrace = 50 * time.Millisecond  // a server may still work on what it has just been told to drop
)

// Options shape a fleet.
type Options struct {
	Servers           int
	ReplicationFactor int           // servers that hold a shard, in a ring
	ServiceTime       time.Duration // mean time of a part
	NonIdempotent     func(id string) bool
	Seed              uint64
	SecondPhaseFanout int // parts of a second step; 0: no class has one
}

// Fleet is the record servers with the ledger of what they saw.
type Fleet struct {
	Servers []*Server
	opt     Options

	mu     sync.Mutex
	parts  map[string]*seen
	done   map[string]map[int]bool // by query, the shards whose first step was answered
	broken []string
	total  int
}

type seen struct {
	out int // attempts that are out now
	ran int // and that have run or may have
}

// Score is the score that a stand-in gives the part of a query at a shard.
func Score(query string, shard int) int64 {
	return int64(xxhash.Sum64String(frame.PartID(query, shard, false)) >> 33)
}

// Server is one record server.
type Server struct {
	ID         string
	Addr       string
	ReplicaSet int

	f *Fleet
	l net.Listener

	mu       sync.Mutex
	rng      *rand.Rand
	work     time.Duration
	hang     bool
	fail     float64
	started  time.Time
	drained  time.Time
	arrivals []time.Time
	conns    map[net.Conn]struct{}
}

// New starts a fleet. Close ends it.
func New(opt Options) (*Fleet, error) {
	f := &Fleet{opt: opt, parts: map[string]*seen{}, done: map[string]map[int]bool{}}
	for i := range opt.Servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.Close()
			return nil, err
		}
		s := &Server{
			ID: fmt.Sprintf("s-%03d", i), Addr: l.Addr().String(), ReplicaSet: i, f: f, l: l, work: opt.ServiceTime,
			rng: rand.New(rand.NewPCG(opt.Seed, uint64(i))), conns: map[net.Conn]struct{}{},
		}
		f.Servers = append(f.Servers, s)
		go s.accept()
	}
	return f, nil
}

// Close ends all servers.
func (f *Fleet) Close() {
	for _, s := range f.Servers {
		s.l.Close()
		s.ResetConnections()
	}
}

// Endpoints is the list of all servers as discovery would tell it.
func (f *Fleet) Endpoints() (list []broker.Endpoint) {
	for _, s := range f.Servers {
		list = append(list, s.Endpoint(decision.Ready))
	}
	return list
}

// Endpoint is a server's entry on the list.
func (s *Server) Endpoint(state decision.State) broker.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := broker.Endpoint{Addr: s.Addr, Server: decision.Server{ID: s.ID, ReplicaSet: s.ReplicaSet, State: state, Capacity: 1}}
	if !s.started.IsZero() {
		e.Started = float64(s.started.UnixNano()) / 1e9
	}
	return e
}

// SetServiceTime sets how long a part takes.
func (s *Server) SetServiceTime(d time.Duration) { s.set(func() { s.work = d }) }

// SetHanging has the server take parts and answer nothing.
func (s *Server) SetHanging(yes bool) { s.set(func() { s.hang = yes }) }

// SetFailureRatio has a share of the parts fail at once.
func (s *Server) SetFailureRatio(share float64) { s.set(func() { s.fail = share }) }

// Restart makes the server one that starts now: cold, with no connection.
func (s *Server) Restart() {
	s.set(func() { s.started, s.arrivals, s.hang = time.Now(), nil, false })
	s.ResetConnections()
}

// RecordDrain tells the ledger that the broker has been told now that the server drains.
func (s *Server) RecordDrain() { s.set(func() { s.drained = time.Now() }) }

func (s *Server) set(change func()) {
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

// Connections is how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// MaxArrivals is the most parts that arrived within any window of a length, since the last start.
func (s *Server) MaxArrivals(window time.Duration) (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[from]) > window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Arrivals is how many parts came, since the last start.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}

// Violations lists the rules that were broken, with what broke them, and how many parts were seen.
func (f *Fleet) Violations() (broken []string, parts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...), f.total
}

func (f *Fleet) recordViolation(format string, args ...any) {
	if len(f.broken) < 20 {
		f.broken = append(f.broken, fmt.Sprintf(format, args...))
	}
}

func (s *Server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.set(func() { s.conns[c] = struct{}{} })
		go s.serve(c)
	}
}

// serve drives one connection.
func (s *Server) serve(c net.Conn) {
	var out sync.Mutex
	var work sync.WaitGroup
	cancels := map[string]chan struct{}{}
	defer func() {
		c.Close()
		work.Wait()
		s.set(func() { delete(s.conns, c) })
	}()
	var in frame.Reader
	for {
		n, err := c.Read(in.Grow())
		if err != nil {
			for _, stop := range cancels {
				close(stop)
			}
			return
		}
		in.Advance(n)
		for {
			m, ok, err := in.Next()
			if err != nil || !ok {
				break
			}
			switch m.Type {
			case 'S':
				line, _, _ := bytes.Cut(m.Body, []byte{'\n'})
				fields := strings.Fields(string(line))
				id := fields[0]
				shard, _ := strconv.Atoi(fields[1])
				stop := make(chan struct{})
				cancels[id] = stop
				begin := s.acceptPart(id, shard)
				s.f.checkSecondStep(id, shard, fields[2])
				work.Go(func() {
					if end, ok := s.run(id, begin, stop); ok {
						s.f.answered(id, shard, end)
						score := strconv.FormatInt(Score(queryOf(id, shard), shard), 10)
						out.Lock()
						defer out.Unlock()
						c.Write(frame.Append(nil, 'R', id+" "+end+" "+score+" inflight=1,util=0.3\nv"))
					}
				})
			case 'C':
				id := string(m.Body)
				if stop := cancels[id]; stop != nil {
					close(stop)
					delete(cancels, id)
				}
			case 'H', 'M':
				out.Lock()
				c.Write(frame.Append(nil, m.Type, "inflight=1,util=0.3"))
				out.Unlock()
			}
		}
	}
}

type order struct {
	work time.Duration
	hang bool
	fail bool
}

// acceptPart records an attempt that has arrived and checks the rules on it.
func (s *Server) acceptPart(id string, shard int) (o order) {
	now := time.Now()
	s.mu.Lock()
	s.arrivals = append(s.arrivals, now)
	o = order{time.Duration(float64(s.work) * (0.5 + s.rng.Float64())), s.hang, s.rng.Float64() < s.fail}
	drained := s.drained
	s.mu.Unlock()
	f := s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total++
	p := f.parts[id]
	if p == nil {
		p = &seen{}
		f.parts[id] = p
	}
	if p.out++; p.out > 1 { // the word that the earlier one is over may still be on its way
		time.AfterFunc(hedgeGrace, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if p.out > 1 {
				f.recordViolation("%s: two attempts are out", id)
			}
		})
	}
	p.ran++
	if p.ran > 1 && f.opt.NonIdempotent != nil && f.opt.NonIdempotent(id) {
		f.recordViolation("%s: must not run twice", id)
	}
	if n := len(f.Servers); (s.ReplicaSet-shard%n+n)%n >= f.opt.ReplicationFactor {
		f.recordViolation("%s: sent to %s, which does not hold shard %d", id, s.ID, shard)
	}
	if !drained.IsZero() && now.Sub(drained) > drainGrace {
		f.recordViolation("%s: sent to %s %v after its drain was told", id, s.ID, now.Sub(drained))
	}
	return o
}

// run works on an attempt and tells how it ended, if there is an answer.
func (s *Server) run(id string, o order, stop <-chan struct{}) (end string, answered bool) {
	defer func() {
		s.f.mu.Lock()
		defer s.f.mu.Unlock()
		p := s.f.parts[id]
		p.out--
	}()
	if o.hang {
		<-stop
		return "", false
	}
	if o.fail {
		return "failed", true
	}
	t := time.NewTimer(o.work)
	defer t.Stop()
	select {
	case <-t.C:
		return "done", true
	case <-stop:
		return "", false
	}
}
