package decision

// The endpoint list: which servers are known, which of them hold a shard, and when the list is polled.

import (
	"maps"
	"math"
	"slices"

	"mothrouter/internal/collections/replicasets"
	"mothrouter/internal/estimate/serverstats"
)

const (
	// pollBackoff is in seconds and doubles with each failed poll in a row: 1 s after the first one, so that
	// a single lost reply costs little.
	pollBackoff = 0.5
	// maxPollDoublings bounds the backoff at 0.5 s * 2^5 = 16 s.
	maxPollDoublings = 5
	// maxBackoffsPerInterval is how many of the longest backoffs fit into Settings.PollInterval: three polls
	// may fail before the list is older than the operators allow.
	maxBackoffsPerInterval = 3
	// minPollInterval is in seconds: a poll without any reply, not even a failure, is repeated no sooner.
	minPollInterval = 1.0
)

// endpoints holds the servers on the endpoint list, and those off it whose attempts are still in flight.
type endpoints struct {
	servers     []*server                  // in the order in which they were first listed
	byID        map[string]*server         // looked up, never iterated: its order is random
	replicaSets replicasets.Index[*server] // servers that are ready or draining, by replica set
	removed     []*server                  // off the list, with attempts in flight
	warmingUp   []*server                  // those with slowStart.warming set
	lastNumber  int                        // number of the newest server
	pollAt      float64                    // time of the next poll; +Inf: subscribed, or not polled
	failedPolls int                        // failed polls in a row
}

func (p *Policy) onEndpointUpdate(update EndpointUpdate) {
	if update.Mode == FailedUpdate {
		p.backOffPolls()
		return
	}
	if update.Mode != CachedUpdate {
		p.failedPolls = 0
		p.pollAt = math.Inf(1)
	}
	listsAll := update.Mode != DeltaUpdate
	if listsAll {
		p.markAllRemoved()
	}
	for _, entry := range update.Servers {
		p.updateServer(entry)
	}
	if listsAll {
		p.indexRemoved()
	}
	p.forgetRemoved()
}

// markAllRemoved marks all servers removed before a complete list is applied, which names those that stay.
func (p *Policy) markAllRemoved() {
	for _, s := range p.servers {
		s.State = Removed
	}
	p.replicaSets.Clear()
}

// indexRemoved indexes the servers that a complete list did not name.
func (p *Policy) indexRemoved() {
	for _, s := range p.servers {
		if s.State == Removed {
			p.index(s)
		}
	}
}

// backOffPolls schedules the next poll after a failed one, later after each further failure, so that polls do
// not add to the load of a failing directory.
func (p *Policy) backOffPolls() {
	p.failedPolls++
	if !p.settings.PollEndpoints {
		return
	}
	doublings := min(p.failedPolls, maxPollDoublings)
	backoff := pollBackoff * math.Pow(2, float64(doublings))
	p.pollAt = p.now + min(backoff, p.settings.PollInterval/maxBackoffsPerInterval)
}

// updateServer applies one entry of the list.
func (p *Policy) updateServer(entry Server) {
	entry.Zone = max(entry.Zone, 0) // zones index the failure ratios by zone
	s := p.byID[entry.ID]
	if s == nil {
		s = p.addServer(entry.ID)
	}
	p.replicaSets.Remove(s.ReplicaSet, s)
	if entry.Started > 0 && entry.Started != s.Started {
		p.restartServer(s, entry.Started)
	}
	s.Server = entry
	s.Failures.Zone = entry.Zone
	p.index(s)
}

// addServer returns a new server without history, which counts as started long ago.
func (p *Policy) addServer(id string) *server {
	p.lastNumber++
	s := &server{number: p.lastNumber, Stats: serverstats.NewStats()}
	s.warmingSince = math.Inf(-1)
	p.byID[id] = s
	p.servers = append(p.servers, s)
	return s
}

// restartServer discards what was known of a server's previous process and begins its slow start.
func (p *Policy) restartServer(s *server, started float64) {
	s.Restarted()
	s.warmingSince = started
	if !s.warming {
		s.warming = true
		p.warmingUp = append(p.warmingUp, s)
	}
}

// index files a server by its state and replica set.
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

// forgetRemoved deletes servers off the list once they have no attempt in flight: kept longer, they would
// count as servers that are down.
func (p *Policy) forgetRemoved() {
	forgets := slices.ContainsFunc(p.removed, isForgettable)
	p.removed = slices.DeleteFunc(p.removed, leavesRemoved)
	if !forgets {
		return
	}
	maps.DeleteFunc(p.byID, func(_ string, s *server) bool { return isForgettable(s) })
	p.servers = slices.DeleteFunc(p.servers, isForgettable)
	p.warmingUp = slices.DeleteFunc(p.warmingUp, isForgettable)
	p.stalest.Remove(isForgettable)
}

// isForgettable reports whether a server is off the list and has no attempt in flight.
func isForgettable(s *server) bool { return s.State == Removed && s.InFlight == 0 }

// leavesRemoved updates server.removed and reports whether the server is no longer off the list with attempts
// in flight.
func leavesRemoved(s *server) bool {
	s.removed = s.State == Removed && s.InFlight > 0
	return !s.removed
}
