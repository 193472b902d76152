// Package recovery collects a broker's server-health state for a snapshot, and decides after a restart which of it is
// still valid. It does no I/O and reads no clock: the caller passes in the time, in Unix seconds.
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

// Collector collects the outcomes of attempts as server-health state. It holds state of listed servers only, so that the
// endpoint list bounds its memory. It is not safe for concurrent use.
type Collector struct {
	servers        map[string]*snapshot.Server
	answeredAt     map[string]float64 // latest answer of a server
	serviceTime    float64            // mean latency of the fleet; 0: not known
	meanLogLatency float64            // a few slow servers do not move it much
	decayedAnswers float64            // decayed over rateWindow
	peakRate       float64            // answers a second of one server
	advancedAt     float64
}

// NewCollector returns a collector without any state.
func NewCollector() *Collector {
	return &Collector{servers: map[string]*snapshot.Server{}, answeredAt: map[string]float64{}}
}

// UpdateEndpoints applies an update of the endpoint list. The state of servers that are removed or have restarted is
// discarded.
func (c *Collector) UpdateEndpoints(u decision.EndpointUpdate) {
	if u.Mode == decision.FailedUpdate {
		return
	}
	listed := map[string]bool{}
	for _, s := range u.Servers {
		listed[s.ID] = s.State != decision.Removed
		if !listed[s.ID] {
			c.forget(s.ID)
		} else if old := c.servers[s.ID]; old == nil || s.Started > old.Started { // a new process
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

// RecordOutcome records the outcome of an attempt or a health check, with its latency in seconds.
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
		// A server that hangs answers no attempt: an abandoned one counts as a failure if no answer arrived meanwhile.
		silence := math.Max(silenceFactor*math.Exp(c.meanLogLatency), minSilence)
		if latency < silence || c.answeredAt[server] >= now-latency {
			return
		}
		if latency > s.ServiceTime { // the latency is a lower bound
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

// advance decays the answer rate and its peak to a time.
func (c *Collector) advance(now float64) {
	elapsed := math.Max(now-c.advancedAt, 0)
	c.advancedAt = now
	c.decayedAnswers *= math.Exp(-elapsed / rateTimeConstant)
	rate := c.decayedAnswers / rateTimeConstant / float64(max(len(c.servers), 1))
	c.peakRate = math.Max(c.peakRate*math.Exp(-elapsed/peakTimeConstant), rate)
}

// Snapshot returns the state as of now, of the servers of which there is any, ordered by id.
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
