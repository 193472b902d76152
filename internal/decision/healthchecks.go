package decision

// Health checks, the load reports that they return, and the fitness of servers computed from load reports.

import (
	"cmp"
	"math"

	"mothrouter/internal/collections/lazyheap"
	"mothrouter/internal/estimate/serverstats"
)

const (
	// fitnessInterval is the time in seconds between two computations of fitness. The thesis that
	// docs/design.md cites uses the same refresh period.
	fitnessInterval = 10.0
	// healthCheckTimeout is in seconds: a computation of fitness waits this long for the replies to the
	// preceding health checks. Later replies count in the next computation.
	healthCheckTimeout = 0.3
	// healthCheckThreshold is the fraction of attempts refused or reset above which idle servers are also
	// checked one by one, since attempts alone would detect recovered servers too late.
	healthCheckThreshold = 0.2
)

// healthChecks schedules health checks and the computation of fitness.
type healthChecks struct {
	healthCheckAt    float64                 // time of the next check of all servers
	fitnessAt        float64                 // time of the next computation of fitness; +Inf: not scheduled
	meanFitness      float64                 // fitness assumed for servers without a load report
	healthCheckQueue *lazyheap.Heap[*server] // candidates for a check, least recently observed first
}

// observedAt returns the time of a server's latest outcome or health check.
func observedAt(s *server) float64 { return s.ObservedAt }

func (p *Policy) onHealthChecked(check HealthChecked) {
	s := p.serversByID[check.Server]
	if s == nil {
		return
	}
	// A successful check shows that the server can be reached, not that parts succeed. So it only offsets
	// refused and reset connections.
	if check.Status != OK || s.Failures.SlowDecay {
		p.recordOutcome(s, check.Status)
	}
	s.RecordLoadReport(check.LoadReport, p.now)
}

func (p *Policy) onPeerObservation(peer PeerObservation) {
	s := p.serversByID[peer.Server]
	if s == nil || peer.At < s.StartedAt {
		return
	}
	p.fleet.RecordPeer(&s.Stats, peer.At, peer.FailureRatio, peer.Weight, peer.ServiceTime)
	s.RecordLoadReport(peer.LoadReport, cmp.Or(peer.LoadReportedAt, peer.At))
}

// checkStalestServer checks the least recently observed idle server if many attempts are refused or reset.
func (p *Policy) checkStalestServer() {
	if !p.settings.HealthChecksAllowed || p.fleet.DisconnectRatio < healthCheckThreshold {
		return
	}
	stalest, found := p.healthCheckQueue.Min(isCheckable)
	if !found {
		return
	}
	stalest.ObservedAt = p.now
	p.emit(CheckHealth{stalest.ID})
}

// isCheckable reports whether a health check of a server is useful. A server with attempts in flight is
// observed by their outcomes; it is queued again when they finish.
func isCheckable(s *server) bool { return s.IsReady() && s.InFlight == 0 }

// queueHealthCheck adds a server to the queue of checkStalestServer, if it may be checked.
func (p *Policy) queueHealthCheck(s *server) {
	if p.settings.HealthChecksAllowed && isCheckable(s) {
		p.healthCheckQueue.Push(s)
	}
}

// runPeriodicWork polls the endpoint list, checks the health of all servers and computes their fitness, if
// due.
func (p *Policy) runPeriodicWork() {
	p.pollIfDue()
	p.checkAllIfDue()
	p.computeFitnessIfDue()
	p.wakeAt(min(p.pollAt, p.healthCheckAt, p.fitnessAt))
}

func (p *Policy) pollIfDue() {
	if p.now < p.pollAt {
		return
	}
	p.emit(WatchEndpoints{On: true})
	p.pollAt = p.now + max(p.settings.PollInterval/2, minPollInterval)
}

// checkAllIfDue schedules the next fitness computation. If load reports arrive only with health checks, it
// checks all ready servers first.
func (p *Policy) checkAllIfDue() {
	if p.now < p.healthCheckAt {
		return
	}
	p.healthCheckAt = p.now + fitnessInterval
	p.fitnessAt = p.now
	if p.settings.ReportMode != ReportPull || !p.settings.HealthChecksAllowed {
		return
	}
	p.fitnessAt += healthCheckTimeout
	for _, s := range p.servers {
		if s.IsReady() {
			p.emit(CheckHealth{s.ID})
		}
	}
}

func (p *Policy) computeFitnessIfDue() {
	if p.now < p.fitnessAt {
		return
	}
	p.fitnessAt = math.Inf(1)
	mean, reported := serverstats.ComputeFitness(p.servers)
	if reported {
		p.meanFitness = mean
	}
}
