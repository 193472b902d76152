package broker

import (
	"sync"
	"time"

	"mothrouter/internal/decision"
)

// Endpoint is an entry of the endpoint list: a record server and its address.
type Endpoint struct {
	decision.Server
	Addr string // HOST:PORT
}

// EndpointUpdate is an update of the endpoint list, received from the endpoint watch.
type EndpointUpdate struct {
	Mode    decision.UpdateMode
	Version int64
	Servers []Endpoint
}

// Event returns the update as an event for the Decider.
func (u EndpointUpdate) Event() decision.EndpointUpdate {
	e := decision.EndpointUpdate{Mode: u.Mode, Version: u.Version}
	for _, endpoint := range u.Servers {
		e.Servers = append(e.Servers, endpoint.Server)
	}
	return e
}

// replacesAll reports whether servers that are missing from the update are removed.
func (u *EndpointUpdate) replacesAll() bool {
	return u.Mode == decision.FullUpdate || u.Mode == decision.CachedUpdate
}

// Endpoints holds the listed record servers. Links and loops share its Server objects, one per server. In a process with a
// single loop the loop owns its Endpoints. Several loops share one Endpoints, which is updated before any of the loops, so that
// a busy loop does not delay a drain. It is safe for concurrent use.
type Endpoints struct {
	mu            sync.RWMutex
	byID          map[string]*Server // available servers
	drainingIDs   map[string]bool    // ids of draining servers, which are not in byID
	everAvailable bool               // whether any server has been available since startup
}

// NewEndpoints returns Endpoints without servers.
func NewEndpoints() *Endpoints {
	return &Endpoints{byID: map[string]*Server{}, drainingIDs: map[string]bool{}}
}

// Apply applies an update. Once it has returned, no attempt starts at a server that the update drains or removes.
func (e *Endpoints) Apply(u EndpointUpdate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if u.replacesAll() {
		clear(e.drainingIDs)
	}
	isReady := map[string]bool{}
	for id := range e.byID {
		isReady[id] = !u.replacesAll()
	}
	for _, endpoint := range u.Servers {
		e.put(endpoint)
		isReady[endpoint.ID] = endpoint.State == decision.Ready
	}
	for id, server := range e.byID {
		server.unavailable.Store(!isReady[id])
		if isReady[id] {
			e.everAvailable = true
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
		server.unavailable.Store(true) // calls queued for the old address or replica set must not start
	}
	if server == nil || changed {
		e.byID[endpoint.ID] = &Server{ID: endpoint.ID, Addr: endpoint.Addr, ReplicaSet: endpoint.ReplicaSet}
	}
	delete(e.drainingIDs, endpoint.ID)
	if endpoint.State == decision.Draining {
		e.drainingIDs[endpoint.ID] = true
	}
}

// get returns the server with the id, or nil if it is not available.
func (e *Endpoints) get(id string) *Server {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.byID[id]
}

// Counts returns the number of listed servers, and how many of them are avoided: draining, or with several consecutive
// failures.
func (e *Endpoints) Counts() (listed, avoided int) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	now := time.Now()
	avoided = len(e.drainingIDs)
	for _, server := range e.byID {
		if server.avoided(now) {
			avoided++
		}
	}
	listed = len(e.byID) + len(e.drainingIDs)
	return listed, avoided
}

// EverAvailable reports whether any server has been available since startup.
func (e *Endpoints) EverAvailable() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.everAvailable
}

// Update applies an update and returns once the loop has received it or has ended. The Endpoints are updated first, so that no
// attempt starts at a draining or removed server, however busy the loop is. Shared Endpoints are not updated: their owner must
// have applied the update already.
func (b *Broker) Update(u EndpointUpdate) {
	if b.options.Endpoints == nil {
		b.endpoints.Apply(u)
	}
	select {
	case <-b.UpdateAsync(u):
	case <-b.stopped:
	}
}

// UpdateAsync passes an update to the loop without waiting. The channel is closed once the loop has received the update.
// UpdateAsync does not change the Endpoints.
func (b *Broker) UpdateAsync(u EndpointUpdate) <-chan struct{} {
	done := make(chan struct{})
	b.post(func() {
		b.enqueueEvent(u.Event())
		close(done)
	})
	return done
}
