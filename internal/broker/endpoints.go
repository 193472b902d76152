package broker

import (
	"sync"
	"time"

	"mothrouter/internal/decision"
)

// Endpoint is one record server of the endpoint list.
type Endpoint struct {
	decision.Server
	Addr string
}

// EndpointUpdate is a change of the endpoint list.
type EndpointUpdate struct {
	Mode    decision.UpdateMode
	Version int64
	Servers []Endpoint
}

// Event is the update in the Decider's terms.
func (u EndpointUpdate) Event() decision.EndpointUpdate {
	e := decision.EndpointUpdate{Mode: u.Mode, Version: u.Version}
	for _, n := range u.Servers {
		e.Servers = append(e.Servers, n.Server)
	}
	return e
}

// replacesAll tells whether servers that the update lacks are removed.
func (u *EndpointUpdate) replacesAll() bool {
	return u.Mode == decision.FullUpdate || u.Mode == decision.CachedUpdate
}

// Endpoints are the record servers as the endpoint list last told of them. Links and loops look at one object a server. A
// process with one loop has its own; several loops share one, which is updated before any of them: a loop that is busy then
// must not delay what a drain forbids. It may be used by several goroutines.
type Endpoints struct {
	mu       sync.RWMutex
	byID     map[string]*Server // those that take work
	draining map[string]bool    // by id
	known    bool
}

// NewEndpoints returns an empty list.
func NewEndpoints() *Endpoints {
	return &Endpoints{byID: map[string]*Server{}, draining: map[string]bool{}}
}

// Apply applies an update. From its return on no attempt starts at a server that drains or is removed.
func (e *Endpoints) Apply(u EndpointUpdate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if u.replacesAll() {
		clear(e.draining)
	}
	ready := map[string]bool{}
	for id := range e.byID {
		ready[id] = !u.replacesAll()
	}
	for _, n := range u.Servers {
		e.put(n)
		ready[n.ID] = n.State == decision.Ready
	}
	for id, s := range e.byID {
		s.unavailable.Store(!ready[id])
		if !ready[id] { // it gets nothing new, so nothing needs to be known of it
			delete(e.byID, id)
		}
		e.known = e.known || ready[id]
	}
}

// put takes up one entry. The caller holds mu.
func (e *Endpoints) put(n Endpoint) {
	old := e.byID[n.ID]
	if old == nil || old.Addr != n.Addr || old.ReplicaSet != n.ReplicaSet {
		if old != nil {
			old.unavailable.Store(true) // what waits for the old address must not go there
		}
		e.byID[n.ID] = &Server{ID: n.ID, Addr: n.Addr, ReplicaSet: n.ReplicaSet}
	}
	delete(e.draining, n.ID)
	if n.State == decision.Draining {
		e.draining[n.ID] = true
	}
}

// get returns a server that may get new parts, or nil.
func (e *Endpoints) get(id string) *Server {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.byID[id]
}

// Size is how many servers are on the list, and how many of them get no work now.
func (e *Endpoints) Size() (listed, avoided int) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	now := time.Now()
	avoided = len(e.draining)
	for _, s := range e.byID {
		if s.avoided(now) {
			avoided++
		}
	}
	return len(e.byID) + len(e.draining), avoided
}

// Known tells whether any server has been listed since the start.
func (e *Endpoints) Known() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.known
}

// Update hands an update to the core, and returns once the loop has it. From the first moment on no attempt starts at a
// server that drains or is removed, however far behind the loop is. Where loops share their Endpoints, the caller has
// applied the update there before.
func (b *Broker) Update(u EndpointUpdate) {
	if b.options.Endpoints == nil {
		b.endpoints.Apply(u)
	}
	select {
	case <-b.UpdateAsync(u):
	case <-b.stopped:
	}
}

// UpdateAsync is Update without the wait: the channel is closed once the loop has the update.
func (b *Broker) UpdateAsync(u EndpointUpdate) <-chan struct{} {
	taken := make(chan struct{})
	b.post(func() {
		b.enqueueEvent(u.Event())
		close(taken)
	})
	return taken
}
