package decision

// Health checks, the load reports that they bring, and the fitness of servers computed from these.

import (
	"cmp"
	"math"

	"mothrouter/internal/collections/lazyheap"
	"mothrouter/internal/estimate/serverstats"
)

const (
	// fitnessInterval is in seconds, between two computations of fitness: the refresh period of the thesis
	// that docs/design.md names.
	fitnessInterval = 10.0
	// healthCheckTimeout is in seconds: the replies to the health checks that precede a computation of
	// fitness are awaited this long. Later replies count in the next one.
	healthCheckTimeout = 0.3
	// healthCheckThreshold is the fraction of attempts refused or reset from which servers are also checked
	// one by one, since attempts alone then find the recovered ones too late.
	healthCheckThreshold = 0.2
)

// healthChecks schedules health checks and the computation of fitness.
type healthChecks struct {
	healthCheckAt float64                 // time of the next round of checks of all servers
	fitnessAt     float64                 // time of the next computation of fitness; +Inf: not scheduled
	meanFitness   float64                 // fitness assumed for a server without a load report
	stalest       *lazyheap.Heap[*server] // servers that may be checked, the one observed longest ago first
}

// observedAt returns the time of the latest outcome or health check at a server.
func observedAt(s *server) float64 { return s.ObservedAt }

func (p *Policy) onHealthChecked(check HealthChecked) {
	s := p.byID[check.Server]
	if s == nil {
		return
	}
	// A successful check proves the connection, not that parts succeed: it clears refused and reset
	// connections alone.
	if check.Status != OK || s.Failures.Slow {
		p.recordOutcome(s, check.Status)
	}
	s.RecordLoadReport(check.LoadReport, p.now)
}

func (p *Policy) onPeerObservation(peer PeerObservation) {
	s := p.byID[peer.Server]
	if s == nil || peer.At < s.Started {
		return
	}
	p.fleet.RecordPeer(&s.Stats, peer.At, peer.FailureRatio, peer.Weight, peer.ServiceTime)
	s.RecordLoadReport(peer.LoadReport, cmp.Or(peer.LoadReportedAt, peer.At))
}

// checkStalestHealth checks, while attempts are often refused or reset, the idle server observed longest ago.
func (p *Policy) checkStalestHealth() {
	if !p.settings.HealthChecksAllowed || p.fleet.DisconnectRatio < healthCheckThreshold {
		return
	}
	stalest, found := p.stalest.Min(isCheckable)
	if !found {
		return
	}
	stalest.ObservedAt = p.now
	p.emit(CheckHealth{stalest.ID})
}

// isCheckable reports whether only a health check can bring news of a server. One with attempts in flight is
// queued again when these finish.
func isCheckable(s *server) bool { return s.IsReady() && s.InFlight == 0 }

// queueHealthCheck queues a server for checkStalestHealth.
func (p *Policy) queueHealthCheck(s *server) {
	if p.settings.HealthChecksAllowed && isCheckable(s) {
		p.stalest.Push(s)
	}
}

// runPeriodicWork polls the endpoint list, checks the health of all servers and computes their fitness, each
// when it is due.
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

// checkAllIfDue schedules the next fitness computation. Where load reports arrive with health checks only, it
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
