package decision

// The endpoint list: the known servers, the replicas of each shard, and the polling of the list.

import (
	"maps"
	"math"
	"slices"

	"mothrouter/internal/collections/replicasets"
	"mothrouter/internal/estimate/serverstats"
)

const (
	// pollBackoff is in seconds and doubles with each consecutive failed poll: to 1 s after the first one, so
	// that a single lost reply causes little delay.
	pollBackoff = 0.5
	// maxPollDoublings limits the backoff to 0.5 s * 2^5 = 16 s.
	maxPollDoublings = 5
	// maxBackoffsPerInterval further limits the backoff to a third of Settings.PollInterval: three polls may
	// fail before the list is older than the operator allows.
	maxBackoffsPerInterval = 3
	// minPollInterval is in seconds. A poll that receives no reply at all, not even a failure, is repeated no
	// sooner than after this interval.
	minPollInterval = 1.0
)

// endpoints holds the servers on the endpoint list, and removed servers with attempts still in flight.
type endpoints struct {
	servers        []*server                  // in the order in which they were first listed
	serversByID    map[string]*server         // for lookup only, since iteration order is random
	replicaSets    replicasets.Index[*server] // ready and draining servers, by replica set
	removedServers []*server                  // removed from the list, with attempts in flight
	warmingServers []*server                  // servers with slowStart.warming set
	lastOrdinal    int                        // ordinal of the most recently added server
	pollAt         float64                    // time of the next poll; +Inf: subscribed, or polling is off
	failedPolls    int                        // consecutive failed polls
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

// markAllRemoved marks all servers as removed before a complete list is applied, which sets the state of
// those that remain.
func (p *Policy) markAllRemoved() {
	for _, s := range p.servers {
		s.State = Removed
	}
	p.replicaSets.Clear()
}

// indexRemoved indexes the servers that a complete list did not contain.
func (p *Policy) indexRemoved() {
	for _, s := range p.servers {
		if s.State == Removed {
			p.index(s)
		}
	}
}

// backOffPolls schedules the next poll after a failed one, with exponential backoff, so that polls do not add
// to the load on a failing discovery service.
func (p *Policy) backOffPolls() {
	p.failedPolls++
	if !p.settings.PollEndpoints {
		return
	}
	doublings := min(p.failedPolls, maxPollDoublings)
	backoff := pollBackoff * math.Pow(2, float64(doublings))
	p.pollAt = p.now + min(backoff, p.settings.PollInterval/maxBackoffsPerInterval)
}

// updateServer applies one entry of an endpoint update.
func (p *Policy) updateServer(entry Server) {
	entry.Zone = max(entry.Zone, 0) // failure ratios are indexed by zone
	s := p.serversByID[entry.ID]
	if s == nil {
		s = p.addServer(entry.ID)
	}
	p.replicaSets.Remove(s.ReplicaSet, s)
	if entry.StartedAt > 0 && entry.StartedAt != s.StartedAt {
		p.restartServer(s, entry.StartedAt)
	}
	s.Server = entry
	s.Failures.Zone = entry.Zone
	p.index(s)
}

// addServer adds a server without statistics, which is assumed to have started long ago.
func (p *Policy) addServer(id string) *server {
	p.lastOrdinal++
	s := &server{ordinal: p.lastOrdinal, Stats: serverstats.NewStats()}
	s.warmingSince = math.Inf(-1)
	p.serversByID[id] = s
	p.servers = append(p.servers, s)
	return s
}

// restartServer discards the statistics of a server's previous process and begins the slow start of the new
// process, which was started at startedAt.
func (p *Policy) restartServer(s *server, startedAt float64) {
	s.Restarted()
	s.warmingSince = startedAt
	if !s.warming {
		s.warming = true
		p.warmingServers = append(p.warmingServers, s)
	}
}

// index updates the replica-set index, the list of removed servers, the fleet's failure ratios and the health
// check queue after a change of a server's state.
func (p *Policy) index(s *server) {
	if s.State != Removed {
		p.replicaSets.Insert(s.ReplicaSet, s)
	} else if !s.inRemovedServers {
		s.inRemovedServers = true
		p.removedServers = append(p.removedServers, s)
	}
	if s.IsReady() {
		p.fleet.Failures.Include(&s.Failures)
	} else {
		p.fleet.Failures.Exclude(&s.Failures)
	}
	p.queueHealthCheck(s)
}

// forgetRemoved deletes removed servers that have no attempt in flight. If kept longer, they would count as
// unavailable servers.
func (p *Policy) forgetRemoved() {
	anyForgettable := slices.ContainsFunc(p.removedServers, isForgettable)
	p.removedServers = slices.DeleteFunc(p.removedServers, updateRemoved)
	if !anyForgettable {
		return
	}
	maps.DeleteFunc(p.serversByID, func(_ string, s *server) bool { return isForgettable(s) })
	p.servers = slices.DeleteFunc(p.servers, isForgettable)
	p.warmingServers = slices.DeleteFunc(p.warmingServers, isForgettable)
	p.healthCheckQueue.Remove(isForgettable)
}

// isForgettable reports whether a server has been removed from the list and has no attempt in flight.
func isForgettable(s *server) bool { return s.State == Removed && s.InFlight == 0 }

// updateRemoved updates server.inRemovedServers and reports whether the server must be deleted from
// endpoints.removedServers: it is listed again or has no attempt in flight.
func updateRemoved(s *server) bool {
	s.inRemovedServers = s.State == Removed && s.InFlight > 0
	return !s.inRemovedServers
}
