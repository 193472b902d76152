package cores

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"mothrouter/internal/decision"
	"mothrouter/internal/evidence"
	"mothrouter/internal/lease"
	"mothrouter/internal/slowstart"
)

// share is what the workers of a process have in common. Each worker's Decider is wrapped in a sharer, which puts
// what the worker sees here and hands it what the others saw, as events that the module knows: PeerObservation and SlowStartLease.
// The lock is held for the few steps between a batch's events, never while a Decider decides.
type share struct {
	mu      sync.Mutex
	workers int
	board   *evidence.Board
	bearing *lease.CapacityEstimate
	limits  slowstart.Settings
	cold    map[string]*coldServer
	started map[string]float64 // of all servers on the list, with the time of their last start
	ready   int                // how many of them take work
	probed  map[string]float64 // when one was last probed by whichever worker
	over    int                // parts beyond a lease by workers that had been told; stays 0

	entries map[string]decision.Server // the list as it is now
	news    []decision.EndpointUpdate  // the latest news, those from number first on
	first   int
}

// coldServer is a server that warms up.
type coldServer struct {
	budget      *lease.Budget
	started     float64
	luck, until float64 // how the present window's room is rounded
	told        int     // number of the news that brought it
}

const (
	probeAgain = 0.25 // seconds in which a server is probed once, by whichever worker
	newsKept   = 64   // a worker that lags behind more news gets the whole list instead
)

func newShare(workers int, set decision.Settings, seed uint64) *share {
	return &share{
		workers: workers, board: evidence.NewBoard(workers), limits: set.SlowStart,
		bearing: lease.NewCapacityEstimate(set.SlowStart, set.Brokers, rand.New(rand.NewPCG(seed, 0x3c6ef372fe94f82b))),
		cold:    map[string]*coldServer{}, started: map[string]float64{}, probed: map[string]float64{},
		entries: map[string]decision.Server{},
	}
}

// resize takes up how many brokers share a cold server's room.
func (s *share) resize(brokers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bearing.Resize(brokers)
}

// warm is how many servers are warm, at least a third of all, as the module counts.
func (s *share) warm() int { return max(s.ready-len(s.cold), len(s.started)/3, 1) }

// tell takes up news of the list, once for all workers, before any of them: from then on each worker decides with
// it, also one whose loop has not come to the event yet.
func (s *share) tell(l decision.EndpointUpdate, now float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Mode != decision.FailedUpdate {
		s.list(l, now)
	}
	s.news = append(s.news, l)
	if len(s.news) > newsKept {
		s.news = append([]decision.EndpointUpdate(nil), s.news[1:]...)
		s.first++
	}
}

func (s *share) list(l decision.EndpointUpdate, now float64) {
	if l.Mode != decision.DeltaUpdate { // those that it lacks are gone
		here := map[string]bool{}
		for _, e := range l.Servers {
			here[e.ID] = true
		}
		for id := range s.started {
			if !here[id] {
				s.drop(id)
			}
		}
	}
	for _, e := range l.Servers {
		if e.State == decision.Removed {
			s.drop(e.ID)
			continue
		}
		old, known := s.started[e.ID]
		if s.entries[e.ID] = e; known && e.Started <= old {
			continue
		}
		if known {
			s.board.Forget(e.ID) // what was seen of the old process is void
		}
		s.started[e.ID] = e.Started
		delete(s.cold, e.ID)
		if s.limits.OverloadWindow > 0 && s.bearing.CapacityFraction(e.Started, now) < 1 {
			s.cold[e.ID] = &coldServer{budget: lease.NewBudget(s.workers, s.limits.OverloadWindow), started: e.Started,
				told: s.first + len(s.news)}
		}
	}
	s.ready = len(s.started)
}

func (s *share) drop(id string) {
	delete(s.entries, id)
	delete(s.started, id)
	delete(s.cold, id)
	delete(s.probed, id)
	s.board.Forget(id)
}

// catchUp is the news that a worker has not had, which had those before number got.
func (s *share) catchUp(got int) (news []decision.Event) {
	if got < s.first {
		l := decision.EndpointUpdate{Mode: decision.FullUpdate}
		for _, e := range s.entries {
			l.Servers = append(l.Servers, e)
		}
		slices.SortFunc(l.Servers, func(a, b decision.Server) int { return strings.Compare(a.ID, b.ID) })
		return append(news, l)
	}
	for _, l := range s.news[got-s.first:] {
		news = append(news, l)
	}
	return news
}

// see books an outcome.
func (s *share) see(worker int, now float64, id string, status decision.Status, latency float64, load decision.LoadReport) {
	if _, listed := s.started[id]; !listed {
		return // gone: nothing is kept of it
	}
	seen := evidence.Seen{Latency: latency, Load: load}
	switch status {
	case decision.OK:
		seen.Kind = evidence.Good
		if s.cold[id] == nil {
			s.bearing.Answered(now, s.warm())
		}
	case decision.TimedOut, decision.Cancelled:
		seen.Kind = evidence.Silent
	case decision.NotSent:
		return
	default:
		seen.Kind = evidence.Failed
	}
	s.board.See(worker, id, now, seen)
}

// rooms are a worker's leases of all cold servers.
func (s *share) rooms(worker int, now float64, events []decision.Event) []decision.Event {
	for id, c := range s.cold {
		w := s.bearing.CapacityFraction(c.started, now)
		if w >= 1 {
			delete(s.cold, id)
			continue
		}
		if now >= c.until {
			c.luck, c.until = s.bearing.RoundingVariate(), now+s.limits.OverloadWindow
		}
		g := c.budget.Renew(worker, s.bearing.Budget(w, c.luck, now, s.warm()), now)
		if g.Parts == 0 {
			c.budget.Miss(worker, now)
		}
		events = append(events, decision.SlowStartLease{Server: id, Parts: g.Parts, ExpiresAt: g.Until})
	}
	return events
}

// sharer is one worker's Decider with what it shares.
type sharer struct {
	*share
	worker int
	inner  decision.Decider
	got    int // news of the list that inner has had
}

// before takes what the worker saw and adds what it should hear. A panic must not leave the lock held: the other
// workers go on.
func (d *sharer) before(now float64, events []decision.Event) []decision.Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.catchUp(d.got)
	d.got = d.first + len(d.news)
	for _, e := range events {
		switch e := e.(type) {
		case decision.EndpointUpdate:
			continue // it is among the news, perhaps of a batch ago
		case decision.AttemptFinished:
			d.see(d.worker, now, e.Server, e.Status, e.Latency, e.LoadReport)
		case decision.HealthChecked:
			if e.Status != decision.TimedOut {
				d.see(d.worker, now, e.Server, e.Status, e.Latency, e.LoadReport)
			}
		}
		all = append(all, e)
	}
	if d.board.Waiting(d.worker) {
		for _, h := range d.board.Take(d.worker, now) {
			all = append(all, h)
		}
	}
	if len(d.cold) > 0 {
		all = d.rooms(d.worker, now, all)
	}
	return all
}

// Handle implements decision.Decider.
func (d *sharer) Handle(now float64, events []decision.Event) []decision.Action {
	events = d.before(now, events)
	actions := d.inner.Handle(now, events)
	return d.after(now, actions)
}

// after books what the worker sends.
func (d *sharer) after(now float64, actions []decision.Action) []decision.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := actions[:0]
	for _, a := range actions {
		switch a := a.(type) {
		case decision.Send:
			// One that was decided while the news came counts, but broke no lease that its worker knew of.
			if c := d.cold[a.Server]; c != nil && !c.budget.Spend(d.worker, 1, now) && c.told < d.got {
				d.over++
			}
		case decision.CheckHealth:
			if at, asked := d.probed[a.Server]; asked && now-at < probeAgain {
				continue // another worker asks it just now, and what it says is heard by all
			}
			if _, listed := d.started[a.Server]; listed {
				d.probed[a.Server] = now
			}
		}
		kept = append(kept, a)
	}
	for _, c := range d.cold {
		c.budget.Settle(d.worker)
	}
	return kept
}
