// Package recovery collects what a broker learns of the record servers in a form that outlives it, and decides after a
// restart what of it still counts. It does no I/O and keeps no clock: the caller hands in the time, in Unix seconds.
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
	minFailureWeight   = 0.25 // of one outcome in a server's failure ratio, as in the decision module
	fleetLatencyWeight = 0.05 // of one latency in the fleet's service time
	rateTimeConstant   = 5.0  // time constant, in seconds, of the answer rate
	peakTimeConstant   = 60.0 // time constant, in seconds, with which its peak is forgotten
	silenceFactor      = 6    // usual latencies without an answer make a silence
	minSilence         = 0.02 // seconds: shorter ones are chance
	minLatency         = 1e-6 // seconds, added where a logarithm is taken
)

// Collector watches outcomes, and holds what is worth restoring. It is bounded by the endpoint list: servers that are off
// it are forgotten. It is not safe for concurrent use.
type Collector struct {
	servers        map[string]*snapshot.Server
	answeredAt     map[string]float64 // latest answer of a server
	serviceTime    float64            // mean latency of the fleet; 0: not known
	meanLogLatency float64            // a few slow servers do not move it much
	decayedAnswers float64            // decayed over rateWindow
	peakRate       float64            // answers a second of one server
	advancedAt     float64
}

// NewCollector returns a collector that has seen nothing.
func NewCollector() *Collector {
	return &Collector{servers: map[string]*snapshot.Server{}, answeredAt: map[string]float64{}}
}

// UpdateEndpoints takes up an update of the endpoint list.
func (c *Collector) UpdateEndpoints(u decision.EndpointUpdate) {
	if u.Mode == decision.FailedUpdate {
		return
	}
	listed := map[string]bool{}
	for _, s := range u.Servers {
		listed[s.ID] = s.State != decision.Removed
		if !listed[s.ID] {
			c.forget(s.ID)
		} else if old := c.servers[s.ID]; old == nil || s.Started > old.Started { // another process: nothing holds
			delete(c.answeredAt, s.ID)
			c.servers[s.ID] = &snapshot.Server{ID: s.ID, Started: s.Started, LoadReport: decision.NoLoadReport}
		}
	}
	if u.Mode == decision.DeltaUpdate {
		return
	}
	for id := range c.servers {
		if !listed[id] {
			c.forget(id)
		}
	}
}

func (c *Collector) forget(id string) {
	delete(c.servers, id)
	delete(c.answeredAt, id)
}

// RecordOutcome records how an attempt or a health check ended, after a latency in seconds.
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
		// A server that hangs ends no attempt: what was given up tells of it, if it has answered nothing since.
		silence := math.Max(silenceFactor*math.Exp(c.meanLogLatency), minSilence)
		if latency < silence || c.answeredAt[server] >= now-latency {
			return
		}
		if latency > s.ServiceTime { // it would have taken longer still
			recordLatency(s, latency, now)
		}
		recordFailure(s, 1, now)
	default:
		recordFailure(s, 1, now)
	}
}

func recordLatency(s *snapshot.Server, latency, now float64) {
	s.ServiceTime += servicetime.ObservationWeight(now-s.ServiceTimeAt) * (latency - s.ServiceTime)
	s.ServiceTimeAt = now
}

func recordFailure(s *snapshot.Server, failed, now float64) {
	weight := math.Max(minFailureWeight, servicetime.ObservationWeight(now-s.FailureRatioAt))
	s.FailureRatio += weight * (failed - s.FailureRatio)
	s.FailureRatioAt = now
}

func (c *Collector) recordFleetLatency(latency float64) {
	logLatency := math.Log(latency + minLatency)
	if c.serviceTime == 0 {
		c.serviceTime, c.meanLogLatency = latency, logLatency
	}
	c.meanLogLatency += fleetLatencyWeight * (logLatency - c.meanLogLatency)
	c.serviceTime += fleetLatencyWeight * (latency - c.serviceTime)
}

// advance brings the answer rate and its peak to a time.
func (c *Collector) advance(now float64) {
	elapsed := math.Max(now-c.advancedAt, 0)
	c.advancedAt = now
	c.decayedAnswers *= math.Exp(-elapsed / rateTimeConstant)
	rate := c.decayedAnswers / rateTimeConstant / float64(max(len(c.servers), 1))
	c.peakRate = math.Max(c.peakRate*math.Exp(-elapsed/peakTimeConstant), rate)
}

// Snapshot is what is worth restoring now, in the order of ids.
func (c *Collector) Snapshot(now float64) *snapshot.Snapshot {
	c.advance(now)
	s := &snapshot.Snapshot{WrittenAt: now, ServiceTime: c.serviceTime, PeakThroughput: c.peakRate}
	for _, v := range c.servers {
		if v.ServiceTimeAt > 0 || v.FailureRatioAt > 0 || v.LoadReportedAt > 0 {
			s.Servers = append(s.Servers, *v)
		}
	}
	slices.SortFunc(s.Servers, func(a, b snapshot.Server) int { return strings.Compare(a.ID, b.ID) })
	return s
}
