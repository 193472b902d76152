package decision

// Health checks, the load reports that they bring, and the fitness of servers that follows from these.

import (
	"cmp"
	"math"

	"mothrouter/internal/collections/lazyheap"
	"mothrouter/internal/estimate/serverstats"
)

const (
	fitnessInterval      = 10.0 // seconds between two computations of fitness (the thesis's refresh)
	healthCheckTimeout   = 0.3  // seconds in which the health checks before one are answered
	healthCheckThreshold = 0.2  // disconnect ratio of attempts from which further health checks pay
)

// healthChecks says when servers are asked for load reports, and what followed from these.
type healthChecks struct {
	healthCheckAt float64                 // when to check all servers
	fitnessAt     float64                 // when to compute their fitness
	meanFitness   float64                 // that of an unreported server
	stalest       *lazyheap.Heap[*server] // those to check, first the one observed longest ago
}

func (p *Policy) onHealthChecked(e HealthChecked) {
	if s := p.byID[e.Server]; s != nil {
		if e.Status != OK || s.Failures.Slow { // an answered check says nothing of errors and full queues
			p.recordOutcome(s, e.Status)
		}
		s.RecordLoadReport(e.LoadReport, p.now)
	}
}

func (p *Policy) onPeerObservation(e PeerObservation) {
	s := p.byID[e.Server]
	if s == nil || e.At < s.Started {
		return
	}
	p.fleet.RecordPeer(&s.Stats, e.At, e.FailureRatio, e.Weight, e.ServiceTime)
	s.RecordLoadReport(e.LoadReport, cmp.Or(e.LoadReportedAt, e.At))
}

// checkStalestHealth checks, while attempts are often cut off, the server observed longest ago.
func (p *Policy) checkStalestHealth() {
	if !p.settings.HealthChecksAllowed || p.fleet.DisconnectRatio < healthCheckThreshold {
		return
	}
	idle := func(s *server) bool { return s.IsReady() && s.InFlight == 0 } // others come back when they are
	if oldest, found := p.stalest.Min(idle); found {
		oldest.ObservedAt = p.now
		p.emit(CheckHealth{oldest.ID})
	}
}

// queueHealthCheck queues a server whose health may be checked.
func (p *Policy) queueHealthCheck(s *server) {
	if p.settings.HealthChecksAllowed && s.IsReady() && s.InFlight == 0 {
		p.stalest.Push(s)
	}
}

// runPeriodicWork polls the list, asks for load reports and computes fitness, each when it is due.
func (p *Policy) runPeriodicWork() {
	if p.now >= p.pollAt {
		p.emit(WatchEndpoints{On: true})
		p.pollAt = p.now + max(p.settings.PollInterval/2, minPollInterval)
	}
	if p.now >= p.healthCheckAt {
		p.healthCheckAt, p.fitnessAt = p.now+fitnessInterval, p.now
		if p.settings.ReportMode == ReportPull && p.settings.HealthChecksAllowed {
			p.fitnessAt += healthCheckTimeout
			for _, s := range p.servers {
				if s.IsReady() {
					p.emit(CheckHealth{s.ID})
				}
			}
		}
	}
	if p.now >= p.fitnessAt {
		p.fitnessAt = math.Inf(1)
		if mean, ok := serverstats.ComputeFitness(p.servers); ok {
			p.meanFitness = mean
		}
	}
	p.wakeAt(min(p.pollAt, p.healthCheckAt, p.fitnessAt))
}
