package broker

import (
	"sync"
	"time"

	"mothrouter/internal/decision"
)

// Endpoint is a record server of the endpoint list.
type Endpoint struct {
	decision.Server
	Addr string // HOST:PORT
}

// EndpointUpdate is a watch event of the endpoint list.
type EndpointUpdate struct {
	Mode    decision.UpdateMode
	Version int64
	Servers []Endpoint
}

// Event returns the update as an event of the Decider.
func (u EndpointUpdate) Event() decision.EndpointUpdate {
	e := decision.EndpointUpdate{Mode: u.Mode, Version: u.Version}
	for _, endpoint := range u.Servers {
		e.Servers = append(e.Servers, endpoint.Server)
	}
	return e
}

// replacesAll reports whether servers that the update lacks are removed.
func (u *EndpointUpdate) replacesAll() bool {
	return u.Mode == decision.FullUpdate || u.Mode == decision.CachedUpdate
}

// Endpoints are the listed record servers, with one Server object each that links and loops share. A process with one loop
// has its own Endpoints. Several loops share one, which is updated before any of them, so that a busy loop does not delay a
// drain. It is safe for concurrent use.
type Endpoints struct {
	mu       sync.RWMutex
	byID     map[string]*Server // available servers
	draining map[string]bool    // by id; in none of byID
	known    bool               // a server has been available since the start
}

// NewEndpoints returns an empty list.
func NewEndpoints() *Endpoints {
	return &Endpoints{byID: map[string]*Server{}, draining: map[string]bool{}}
}

// Apply applies an update. After it returns, no attempt starts at a server that the update drains or removes.
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
	for _, endpoint := range u.Servers {
		e.put(endpoint)
		ready[endpoint.ID] = endpoint.State == decision.Ready
	}
	for id, server := range e.byID {
		server.unavailable.Store(!ready[id])
		if ready[id] {
			e.known = true
		} else {
			delete(e.byID, id)
		}
	}
}

// put adds or replaces an endpoint. The caller holds mu.
func (e *Endpoints) put(endpoint Endpoint) {
	server := e.byID[endpoint.ID]
	changed := server != nil && (server.Addr != endpoint.Addr || server.ReplicaSet != endpoint.ReplicaSet)
	if changed {
		server.unavailable.Store(true) // calls that are queued for the old address must not start
	}
	if server == nil || changed {
		e.byID[endpoint.ID] = &Server{ID: endpoint.ID, Addr: endpoint.Addr, ReplicaSet: endpoint.ReplicaSet}
	}
	delete(e.draining, endpoint.ID)
	if endpoint.State == decision.Draining {
		e.draining[endpoint.ID] = true
	}
}

// get returns the available server with an id, or nil.
func (e *Endpoints) get(id string) *Server {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.byID[id]
}

// Counts returns how many servers are listed, and how many of them are avoided: draining, or failing again and again.
func (e *Endpoints) Counts() (listed, avoided int) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	now := time.Now()
	avoided = len(e.draining)
	for _, server := range e.byID {
		if server.avoided(now) {
			avoided++
		}
	}
	listed = len(e.byID) + len(e.draining)
	return listed, avoided
}

// EverAvailable reports whether a server has been available since the start.
func (e *Endpoints) EverAvailable() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.known
}

// Update applies an update and returns once the loop has it. The endpoints change first, so that no attempt starts at a
// server that drains or is removed, however busy the loop is. Where loops share Endpoints, their owner has applied the update
// already.
func (b *Broker) Update(u EndpointUpdate) {
	if b.options.Endpoints == nil {
		b.endpoints.Apply(u)
	}
	select {
	case <-b.UpdateAsync(u):
	case <-b.stopped:
	}
}

// UpdateAsync passes an update to the loop without waiting. The channel is closed once the loop has it. It does not change
// the endpoints.
func (b *Broker) UpdateAsync(u EndpointUpdate) <-chan struct{} {
	received := make(chan struct{})
	b.post(func() {
		b.enqueueEvent(u.Event())
		close(received)
	})
	return received
}
