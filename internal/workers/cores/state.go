package cores

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"mothrouter/internal/decision"
	"mothrouter/internal/estimate/slowstart"
	"mothrouter/internal/workers/lease"
	"mothrouter/internal/workers/observations"
)

const (
	healthCheckInterval = 0.25 // minimum interval between health checks of one server by all workers together, in seconds
	maxUpdates          = 64   // number of updates kept; a worker that has missed more receives a full update instead

	capacityStream = 0x3c6ef372fe94f82b // second word of the PCG seed for the rounding of budgets
)

// processState is the state that the workers of a process share. Its lock is held briefly before and after each batch of
// events, never while a Decider decides.
type processState struct {
	mu           sync.Mutex
	workers      int
	observations *observations.Shared
	capacity     *lease.CapacityEstimate
	slowStart    slowstart.Settings
	warmingUp    map[string]*warmingServer // by server ID
	checkedAt    map[string]float64        // time of the latest health check by any worker, by server ID
	overspent    int                       // parts sent beyond a lease by workers that knew of the lease; must stay 0

	entries   map[string]decision.Server // the endpoint list, by server ID
	startedAt map[string]float64         // start time of the latest process of each listed server, by server ID

	// updates holds the latest endpoint updates, at most maxUpdates, oldest first. All updates since startup are numbered from 0.
	updates           []decision.EndpointUpdate
	firstUpdateNumber int // number of updates[0]
}

// warmingServer is a server in slow start.
type warmingServer struct {
	budget             *lease.Budget
	startedAt          float64 // start time of the server's process
	roundingVariate    float64 // random number from [0, 1), added to the fractional budget before rounding down
	windowEndsAt       float64 // when the next roundingVariate is drawn: one OverloadWindow after the current one was drawn
	announcementNumber int     // number of the endpoint update that announced the server
}

func newProcessState(workers int, settings decision.Settings, seed uint64) *processState {
	rng := rand.New(rand.NewPCG(seed, capacityStream))
	return &processState{
		workers: workers, observations: observations.NewShared(workers), slowStart: settings.SlowStart,
		capacity:  lease.NewCapacityEstimate(settings.SlowStart, settings.Brokers, rng),
		warmingUp: map[string]*warmingServer{}, checkedAt: map[string]float64{}, entries: map[string]decision.Server{},
		startedAt: map[string]float64{},
	}
}

// resize sets the number of brokers that share the capacity of a server in slow start.
func (s *processState) resize(brokers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity.Resize(brokers)
}

// warmServers returns the number of warm servers, but at least a third of all servers, as the decision package does.
func (s *processState) warmServers() int {
	return max(len(s.entries)-len(s.warmingUp), len(s.entries)/3, 1)
}

// applyUpdate applies an endpoint update once for all workers, before it is sent to them. From then on each worker's
// decisions are based on it, even if the worker's loop has not processed the event yet.
func (s *processState) applyUpdate(u decision.EndpointUpdate, now float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Mode == decision.FullUpdate || u.Mode == decision.CachedUpdate {
		s.removeUnlisted(u.Servers)
	}
	for _, e := range u.Servers {
		if e.State == decision.Removed {
			s.remove(e.ID)
		} else {
			s.put(e, now)
		}
	}
	s.updates = append(s.updates, u)
	if len(s.updates) > maxUpdates {
		s.updates = slices.Clone(s.updates[1:])
		s.firstUpdateNumber++
	}
}

// removeUnlisted removes all servers except those listed.
func (s *processState) removeUnlisted(listed []decision.Server) {
	listedIDs := map[string]bool{}
	for _, e := range listed {
		listedIDs[e.ID] = true
	}
	for id := range s.entries {
		if !listedIDs[id] {
			s.remove(id)
		}
	}
}

// put adds or replaces one entry of the endpoint list. If the server has started since the previous entry, its observations
// are dropped and its slow start begins again.
func (s *processState) put(e decision.Server, now float64) {
	startedAt, known := s.startedAt[e.ID]
	s.entries[e.ID] = e
	if known && e.Started <= startedAt {
		return
	}
	if known {
		s.observations.Forget(e.ID) // observations of the previous process do not apply to the new one
	}
	s.startedAt[e.ID] = e.Started
	delete(s.warmingUp, e.ID)
	if s.slowStart.OverloadWindow > 0 && s.capacity.CapacityFraction(e.Started, now) < 1 {
		s.warmingUp[e.ID] = &warmingServer{
			budget:    lease.NewBudget(s.workers, s.slowStart.OverloadWindow),
			startedAt: e.Started, announcementNumber: s.firstUpdateNumber + len(s.updates),
		}
	}
}

// remove removes a server and all data about it.
func (s *processState) remove(id string) {
	delete(s.entries, id)
	delete(s.startedAt, id)
	delete(s.warmingUp, id)
	delete(s.checkedAt, id)
	s.observations.Forget(id)
}

// missedUpdates returns the endpoint updates that a worker has missed if it has received the first seen updates. If some of
// the missed updates are no longer kept, it returns one full update instead.
func (s *processState) missedUpdates(seen int) (missed []decision.Event) {
	if seen < s.firstUpdateNumber {
		return []decision.Event{s.fullUpdate()}
	}
	for _, u := range s.updates[seen-s.firstUpdateNumber:] {
		missed = append(missed, u)
	}
	return missed
}

// fullUpdate returns a full update with the current endpoint list, ordered by ID.
func (s *processState) fullUpdate() decision.EndpointUpdate {
	u := decision.EndpointUpdate{Mode: decision.FullUpdate}
	for _, e := range s.entries {
		u.Servers = append(u.Servers, e)
	}
	slices.SortFunc(u.Servers, func(a, b decision.Server) int { return strings.Compare(a.ID, b.ID) })
	return u
}

// recordOutcome records the outcome of an attempt or a health check for the other workers.
func (s *processState) recordOutcome(worker int, now float64, id string, status decision.Status, o observations.Observation) {
	if _, listed := s.entries[id]; !listed {
		return
	}
	switch status {
	case decision.OK:
		o.Kind = observations.Answered
		if s.warmingUp[id] == nil {
			s.capacity.Answered(now, s.warmServers())
		}
	case decision.TimedOut, decision.Cancelled:
		o.Kind = observations.TimedOut
	case decision.NotSent:
		return
	default:
		o.Kind = observations.Failed
	}
	s.observations.Record(worker, id, now, o)
}

// appendLeases appends an event for each server in slow start, with the worker's lease.
func (s *processState) appendLeases(worker int, now float64, events []decision.Event) []decision.Event {
	for id, w := range s.warmingUp {
		fraction := s.capacity.CapacityFraction(w.startedAt, now)
		if fraction >= 1 {
			delete(s.warmingUp, id)
			continue
		}
		if now >= w.windowEndsAt {
			w.roundingVariate = s.capacity.RoundingVariate()
			w.windowEndsAt = now + s.slowStart.OverloadWindow
		}
		budget := s.capacity.Budget(fraction, w.roundingVariate, now, s.warmServers())
		l := w.budget.Renew(worker, budget, now)
		if l.Parts == 0 {
			w.budget.RecordUnmetDemand(worker, now)
		}
		events = append(events, decision.SlowStartLease{Server: id, Parts: l.Parts, ExpiresAt: l.ExpiresAt})
	}
	return events
}
