// Package recovery collects a broker's server-health state for a snapshot and decides after a restart which of that state is
// still valid. It does no I/O and reads no clock: the caller passes the time, in Unix seconds.
package recovery

import (
	"math"
	"slices"
	"strings"

	"mothrouter/internal/decision"
	"mothrouter/internal/estimate/servicetime"
	"mothrouter/internal/state/snapshot"
)

const (
	minFailureWeight   = 0.25 // minimum weight of one outcome in a server's failure ratio, as in package serverstats
	fleetLatencyWeight = 0.05 // weight of one latency in the fleet's service time
	rateTimeConstant   = 5.0  // time constant, in seconds, of the answer rate
	peakTimeConstant   = 60.0 // time constant, in seconds, of the decay of the peak answer rate
	silenceFactor      = 6    // a server counts as silent after this multiple of the fleet's geometric mean latency
	minSilence         = 0.02 // seconds; a shorter silence may be chance
	logLatencyOffset   = 1e-6 // seconds, added to a latency before its logarithm is taken
)

// Collector aggregates the outcomes of attempts into server-health state. It keeps state of listed servers only, so that the
// size of the endpoint list bounds its memory. It is not safe for concurrent use.
type Collector struct {
	servers        map[string]*snapshot.Server
	answeredAt     map[string]float64 // time of the latest answer, by server id
	serviceTime    float64            // mean latency of the fleet; 0: unknown
	meanLogLatency float64            // mean of log(latency), on which a few slow servers have little effect
	decayedAnswers float64            // number of answers, decayed with rateTimeConstant
	peakRate       float64            // peak answer rate per server, in answers per second
	advancedAt     float64            // time up to which decayedAnswers and peakRate are decayed
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector {
	return &Collector{servers: map[string]*snapshot.Server{}, answeredAt: map[string]float64{}}
}

// UpdateEndpoints applies an update of the endpoint list. It discards the state of servers that were removed or have
// restarted.
func (c *Collector) UpdateEndpoints(u decision.EndpointUpdate) {
	if u.Mode == decision.FailedUpdate {
		return
	}
	listedIDs := map[string]bool{}
	for _, s := range u.Servers {
		listedIDs[s.ID] = s.State != decision.Removed
		if !listedIDs[s.ID] {
			c.forget(s.ID)
		} else if old := c.servers[s.ID]; old == nil || s.StartedAt > old.StartedAt { // a new process
			delete(c.answeredAt, s.ID)
			c.servers[s.ID] = &snapshot.Server{ID: s.ID, StartedAt: s.StartedAt, LoadReport: decision.NoLoadReport}
		}
	}
	if u.Mode == decision.DeltaUpdate {
		return
	}
	for id := range c.servers {
		if !listedIDs[id] {
			c.forget(id)
		}
	}
}

// forget discards the state of a server.
func (c *Collector) forget(id string) {
	delete(c.servers, id)
	delete(c.answeredAt, id)
}

// RecordOutcome records the outcome of an attempt or a health check. latency is in seconds; outcomes of servers that are not
// listed are ignored.
func (c *Collector) RecordOutcome(now float64, server string, status decision.Status, latency float64, report decision.LoadReport) {
	s := c.servers[server]
	if s == nil {
		return
	}
	if report != decision.NoLoadReport {
		s.LoadReport, s.LoadReportedAt = report, now
	}
	switch status {
	case decision.NotSent:
	case decision.OK:
		c.answeredAt[server] = now
		recordLatency(s, latency, now)
		c.recordFleetLatency(latency)
		c.advance(now)
		c.decayedAnswers++
		recordFailure(s, 0, now)
	case decision.TimedOut, decision.Cancelled:
		// A server that hangs answers no attempt at all, so an abandoned attempt counts as a failure only if it lasted long
		// enough and the server answered no other attempt in the meantime.
		silence := math.Max(silenceFactor*math.Exp(c.meanLogLatency), minSilence)
		if latency < silence || c.answeredAt[server] >= now-latency {
			return
		}
		if latency > s.ServiceTime { // the latency of an abandoned attempt is a lower bound
			recordLatency(s, latency, now)
		}
		recordFailure(s, 1, now)
	default:
		recordFailure(s, 1, now)
	}
}

// recordLatency moves a server's service time towards a latency.
func recordLatency(s *snapshot.Server, latency, now float64) {
	s.ServiceTime += servicetime.ObservationWeight(now-s.ServiceTimeAt) * (latency - s.ServiceTime)
	s.ServiceTimeAt = now
}

// recordFailure moves a server's failure ratio towards outcome: 1 for a failure, 0 for a success.
func recordFailure(s *snapshot.Server, outcome, now float64) {
	weight := math.Max(minFailureWeight, servicetime.ObservationWeight(now-s.FailureRatioAt))
	s.FailureRatio += weight * (outcome - s.FailureRatio)
	s.FailureRatioAt = now
}

// recordFleetLatency moves the fleet's service time and mean log latency towards a latency.
func (c *Collector) recordFleetLatency(latency float64) {
	logLatency := math.Log(latency + logLatencyOffset)
	if c.serviceTime == 0 {
		c.serviceTime, c.meanLogLatency = latency, logLatency
	}
	c.meanLogLatency += fleetLatencyWeight * (logLatency - c.meanLogLatency)
	c.serviceTime += fleetLatencyWeight * (latency - c.serviceTime)
}

// advance decays the answer rate and its peak up to now, and raises the peak to the rate.
func (c *Collector) advance(now float64) {
	elapsed := math.Max(now-c.advancedAt, 0)
	c.advancedAt = now
	c.decayedAnswers *= math.Exp(-elapsed / rateTimeConstant)
	rate := c.decayedAnswers / rateTimeConstant / float64(max(len(c.servers), 1))
	c.peakRate = math.Max(c.peakRate*math.Exp(-elapsed/peakTimeConstant), rate)
}

// Snapshot returns the state as of now. It lists the servers that have any state, ordered by id.
func (c *Collector) Snapshot(now float64) *snapshot.Snapshot {
	c.advance(now)
	s := &snapshot.Snapshot{WrittenAt: now, ServiceTime: c.serviceTime, PeakThroughput: c.peakRate}
	for _, server := range c.servers {
		if server.ServiceTimeAt > 0 || server.FailureRatioAt > 0 || server.LoadReportedAt > 0 {
			s.Servers = append(s.Servers, *server)
		}
	}
	slices.SortFunc(s.Servers, func(a, b snapshot.Server) int { return strings.Compare(a.ID, b.ID) })
	return s
}
