package broker

import (
	"sync"
	"time"

	"mothrouter/internal/decision"
)

// Endpoint is one record server of the list.
type Endpoint struct {
	decision.Server
	Addr string
}

// EndpointUpdate is news of the server list.
type EndpointUpdate struct {
	Mode    decision.UpdateMode
	Version int64
	Servers []Endpoint
}

// Endpoints are the record servers as the list last told of them. Links and loops look at one object a server.
// A process with one loop has its own; several loops share one, which is told before any of them: a loop that
// is busy then must not delay what a drain forbids.
type Endpoints struct {
	mu       sync.RWMutex
	byID     map[string]*Server // those that take work
	draining map[string]bool    // those on the list that drain
	known    bool
}

// NewEndpoints returns an empty list.
func NewEndpoints() *Endpoints {
	return &Endpoints{byID: map[string]*Server{}, draining: map[string]bool{}}
}

// Apply takes news of the list. From its return on nothing new is begun at a server that leaves.
func (s *Endpoints) Apply(l EndpointUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Mode == decision.FullUpdate || l.Mode == decision.CachedUpdate {
		clear(s.draining)
	}
	ready := map[string]bool{}
	for id := range s.byID { // of a whole list, those that it lacks are gone
		ready[id] = l.Mode != decision.FullUpdate && l.Mode != decision.CachedUpdate
	}
	for _, n := range l.Servers {
		old := s.byID[n.ID]
		if old == nil || old.Addr != n.Addr || old.ReplicaSet != n.ReplicaSet {
			if old != nil {
				old.unavailable.Store(true) // what waits for the old address must not go there
			}
			s.byID[n.ID] = &Server{ID: n.ID, Addr: n.Addr, ReplicaSet: n.ReplicaSet}
		}
		ready[n.ID] = n.State == decision.Ready
		if delete(s.draining, n.ID); n.State == decision.Draining {
			s.draining[n.ID] = true
		}
	}
	for id, srv := range s.byID {
		srv.unavailable.Store(!ready[id])
		if !ready[id] { // gets nothing new, so nothing needs to be known of it
			delete(s.byID, id)
		}
		s.known = s.known || ready[id]
	}
}

// get returns a server that may get new parts, or nil.
func (s *Endpoints) get(id string) *Server {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byID[id]
}

// Count is how many servers are on the list, and how many of them get no work now.
func (s *Endpoints) Count() (entries, avoided int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	now := time.Now()
	avoided = len(s.draining)
	for _, srv := range s.byID {
		if srv.avoided(now) {
			avoided++
		}
	}
	return len(s.byID) + len(s.draining), avoided
}

// Known tells whether any server has been heard of.
func (s *Endpoints) Known() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.known
}

// Update hands news of the server list to the core, and returns once it has it. From the first moment on nothing new is
// begun at a server that leaves, however far behind the loop is. Where loops share their Servers, whoever hands the list
// to all of them has applied it there before.
func (b *Broker) Update(l EndpointUpdate) {
	if b.opt.Endpoints == nil {
		b.endpoints.Apply(l)
	}
	select {
	case <-b.UpdateAsync(l):
	case <-b.stopped:
	}
}

// UpdateAsync is Update without the wait: the channel is closed once the loop has the news.
func (b *Broker) UpdateAsync(l EndpointUpdate) <-chan struct{} {
	taken := make(chan struct{})
	b.post(func() {
		b.enqueueEvent(l.Event())
		close(taken)
	})
	return taken
}

// Event is the list in the Decider's terms.
func (l EndpointUpdate) Event() decision.EndpointUpdate {
	e := decision.EndpointUpdate{Mode: l.Mode, Version: l.Version}
	for _, n := range l.Servers {
		e.Servers = append(e.Servers, n.Server)
	}
	return e
}
