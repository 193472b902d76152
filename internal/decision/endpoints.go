package decision

// The record servers that the endpoint list names, and when the broker polls the list.

import (
	"maps"
	"math"
	"slices"

	"mothrouter/internal/collections/replicasets"
	"mothrouter/internal/estimate/serverstats"
)

const (
	pollBackoff      = 0.5 // seconds after a failed poll; doubled by each further one,
	maxPollDoublings = 5   // so often at most
	minPollInterval  = 1.0 // seconds until a poll without any reply is repeated
)

// endpoints are the servers that are listed, or are still answering.
type endpoints struct {
	servers     []*server
	byID        map[string]*server // looked up, never iterated
	replicaSets replicasets.Index[*server]
	removed     []*server // off the list, with attempts in flight
	warmingUp   []*server // in slow start
	lastNumber  int       // servers numbered so far
	pollAt      float64   // when to poll the list again; +Inf: subscribed or not needed
	failedPolls int       // in a row
}

// server is what this broker knows of one record server.
type server struct {
	Server
	serverstats.Stats
	slowStart
	number   int     // in the order of the list
	keyRound int     // the draw round that drawKey belongs to
	drawKey  float64 // exponential variate / weight in that round
	removed  bool    // in endpoints.removed
}

func (s *server) IsReady() bool { return s.State == Ready }
func number(s *server) int      { return s.number }

func (p *Policy) onEndpointUpdate(u EndpointUpdate) {
	if u.Mode == FailedUpdate {
		p.backOffPolls()
		return
	}
	if u.Mode != CachedUpdate {
		p.failedPolls, p.pollAt = 0, math.Inf(1)
	}
	if u.Mode != DeltaUpdate {
		for _, s := range p.servers {
			s.State = Removed
		}
		p.replicaSets.Clear()
	}
	for _, e := range u.Servers {
		p.updateServer(e)
	}
	if u.Mode != DeltaUpdate {
		for _, s := range p.servers {
			if s.State == Removed {
				p.index(s)
			}
		}
	}
	p.forgetRemoved()
}

// backOffPolls polls soon, then less often: a directory that is down is not helped by more calls.
func (p *Policy) backOffPolls() {
	p.failedPolls++
	if p.settings.PollEndpoints {
		backoff := pollBackoff * math.Pow(2, float64(min(p.failedPolls, maxPollDoublings)))
		p.pollAt = p.now + min(backoff, p.settings.PollInterval/3)
	}
}

// updateServer takes up one entry of the list.
func (p *Policy) updateServer(e Server) {
	e.Zone = max(e.Zone, 0) // an odd zone is no index
	s := p.byID[e.ID]
	if s == nil {
		p.lastNumber++
		s = &server{number: p.lastNumber, Stats: serverstats.NewStats()}
		s.warmingSince = math.Inf(-1)
		p.byID[e.ID] = s
		p.servers = append(p.servers, s)
	}
	p.replicaSets.Remove(s.ReplicaSet, s)
	if e.Started > 0 && e.Started != s.Started {
		s.Restarted() // a new process: what was known of the old one is void
		s.warmingSince = e.Started
		if !s.warming {
			s.warming = true
			p.warmingUp = append(p.warmingUp, s)
		}
	}
	s.Server, s.Failures.Zone = e, e.Zone
	p.index(s)
}

// index files a server where its state and replica set put it.
func (p *Policy) index(s *server) {
	if s.State != Removed {
		p.replicaSets.Insert(s.ReplicaSet, s)
	} else if !s.removed {
		s.removed = true
		p.removed = append(p.removed, s)
	}
	if s.IsReady() {
		p.fleet.Failures.Include(&s.Failures)
	} else {
		p.fleet.Failures.Exclude(&s.Failures)
	}
	p.queueHealthCheck(s)
}

// forgetRemoved forgets servers off the list once nothing is in flight: they would count as a fleet down.
func (p *Policy) forgetRemoved() {
	idle := func(s *server) bool { return s.State == Removed && s.InFlight == 0 }
	forgets := slices.ContainsFunc(p.removed, idle)
	p.removed = slices.DeleteFunc(p.removed, func(s *server) bool {
		s.removed = s.State == Removed && s.InFlight > 0
		return !s.removed
	})
	if forgets {
		maps.DeleteFunc(p.byID, func(_ string, s *server) bool { return idle(s) })
		p.servers = slices.DeleteFunc(p.servers, idle)
		p.warmingUp = slices.DeleteFunc(p.warmingUp, idle)
		p.stalest.Remove(idle)
	}
}
