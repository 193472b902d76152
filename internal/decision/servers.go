package decision

// What this broker knows of the servers: their list, their load reports, and when it asks for more.

import (
	"cmp"
	"math"
	"slices"

	"mothrouter/internal/failures"
	"mothrouter/internal/servicetime"
)

const (
	probeAbove   = 0.2  // share of attempts cut off from which probes pay
	probeSettle  = 0.3  // probes of a rebuild have answered by then
	rebuildEvery = 10.0 // seconds between rebuilds of the fitness table (the thesis's refresh)
)

// server is what this broker knows of one server.
type server struct {
	Server
	load        LoadReport
	heardAt     float64 // when load came; 0: never
	answeredAt  float64 // its latest success
	passed      float64 // when the latest part was sent that it answered
	busySince   float64 // when the first part was sent after its latest success
	abandoned   []abandonedPart
	failed      failures.Record
	fitness     float64 // 0: unreported at the last rebuild
	newsAt      float64 // its latest outcome, or when it was probed to learn whether it is well
	own         int     // this broker's attempts out there
	serviceTime servicetime.Server

	sends                  []float64       // times of sends within FallTime, for the cold cap
	coldSince              float64         // start of the warm-up; -Inf: warm
	rounding, roundedUntil float64         // how the present window's room is rounded
	allowance              *SlowStartLease // of a budget shared with other brokers; nil: there is none

	turn int     // the draw's turn that key belongs to
	key  float64 // exponential variate / weight in that turn

	number                 int  // of its place in the list's order
	cold, going, forgotten bool // in Policy.cold, in Policy.going, in neither and no list
}

func (s *server) ready() bool { return s.State == Ready }
func number(s *server) int    { return s.number }

func (p *Policy) onList(l EndpointUpdate) {
	if l.Mode == FailedUpdate {
		// Ask again soon, then less often: a directory that is down is not helped by more calls.
		p.watchFails++
		if p.set.PollEndpoints {
			p.watchAt = p.now + math.Min(0.5*math.Pow(2, float64(min(p.watchFails, 5))), p.set.PollInterval/3)
		}
		return
	}
	if l.Mode != CachedUpdate {
		p.watchFails, p.watchAt = 0, math.Inf(1)
	}
	if l.Mode != DeltaUpdate {
		for _, s := range p.servers {
			s.State = Removed
		}
		p.cells.Clear()
	}
	for _, e := range l.Servers {
		e.Zone = max(e.Zone, 0) // an odd zone is no index
		s := p.byID[e.ID]
		if s == nil {
			p.numbered++
			s = &server{load: NoLoadReport, coldSince: math.Inf(-1), number: p.numbered}
			p.byID[e.ID] = s
			p.servers = append(p.servers, s)
		}
		p.cells.Remove(s.ReplicaSet, s)
		if e.Started > 0 && e.Started != s.Started {
			// A new process: what was known of the old one is void.
			s.coldSince, s.load, s.heardAt, s.fitness, s.abandoned = e.Started, NoLoadReport, 0, 0, nil
			s.failed.Share = 0
			if !s.cold {
				s.cold, p.cold = true, append(p.cold, s)
			}
		}
		s.Server, s.failed.Zone = e, e.Zone
		p.place(s)
	}
	if l.Mode != DeltaUpdate {
		for _, s := range p.servers {
			if s.State == Removed {
				p.place(s)
			}
		}
	}
	p.forgetGone()
}

// place files a server where its entry of the list puts it.
func (p *Policy) place(s *server) {
	if s.State != Removed {
		p.cells.Insert(s.ReplicaSet, s)
	}
	if s.State == Removed && !s.going {
		s.going, p.going = true, append(p.going, s)
	}
	if s.ready() {
		p.failed.Include(&s.failed)
	} else {
		p.failed.Exclude(&s.failed)
	}
	p.await(s)
}

// forgetGone forgets servers that are gone once nothing is out there: they would count as a fleet down.
func (p *Policy) forgetGone() {
	some := false
	p.going = slices.DeleteFunc(p.going, func(s *server) bool {
		s.forgotten = s.State == Removed && s.own == 0
		s.going, some = s.State == Removed && !s.forgotten, some || s.forgotten
		if s.forgotten {
			delete(p.byID, s.ID)
		}
		return !s.going
	})
	if some {
		forgotten := func(s *server) bool { return s.forgotten }
		p.servers, p.cold = slices.DeleteFunc(p.servers, forgotten), slices.DeleteFunc(p.cold, forgotten)
		p.news.Remove(forgotten)
	}
}

func (p *Policy) onProbed(e HealthChecked) {
	if s := p.byID[e.Server]; s != nil {
		if e.Status != OK || s.failed.Slow { // an answered probe says nothing of errors and full queues
			p.countOutcome(s, e.Status)
		}
		p.takeLoad(s, e.LoadReport, p.now)
	}
}

// onHeard takes hearsay, unless this broker's own news is as new.
func (p *Policy) onHeard(e PeerObservation) {
	s := p.byID[e.Server]
	if s == nil || e.At < s.Started {
		return
	}
	if e.Weight > 0 && e.At > s.failed.At {
		p.failed.Hear(&s.failed, e.FailureRatio, e.Weight, e.At)
	}
	if e.ServiceTime > 0 && e.At > s.serviceTime.At {
		s.serviceTime = servicetime.Server{Mean: e.ServiceTime, At: e.At}
	}
	p.takeLoad(s, e.LoadReport, cmp.Or(e.LoadReportedAt, e.At))
}

func (p *Policy) takeLoad(s *server, l LoadReport, at float64) {
	if l != NoLoadReport && at >= s.heardAt {
		s.load, s.heardAt = l, at
	}
}

// probeOldest probes, while attempts are often cut off, the server of which news is oldest: one a part.
func (p *Policy) probeOldest() {
	if !p.set.HealthChecksAllowed || p.cut < probeAbove {
		return
	}
	idle := func(s *server) bool { return s.ready() && s.own == 0 } // others come back when they are
	if oldest, found := p.news.Least(idle); found {
		oldest.newsAt = p.now
		p.do(CheckHealth{oldest.ID})
	}
}

// await queues a server that may be probed.
func (p *Policy) await(s *server) {
	if p.set.HealthChecksAllowed && s.ready() && s.own == 0 {
		p.news.Push(s)
	}
}

func (p *Policy) upkeep() {
	if p.now >= p.watchAt {
		p.do(WatchEndpoints{On: true})
		p.watchAt = p.now + math.Max(p.set.PollInterval/2, 1) // in case no reply comes at all
	}
	if p.now >= p.probeAt {
		p.probeAt, p.rebuildAt = p.now+rebuildEvery, p.now
		if p.set.ReportMode == ReportPull && p.set.HealthChecksAllowed {
			p.rebuildAt = p.now + probeSettle
			for _, s := range p.servers {
				if s.ready() {
					p.do(CheckHealth{s.ID})
				}
			}
		}
	}
	if p.now >= p.rebuildAt {
		p.rebuild()
		p.rebuildAt = math.Inf(1)
	}
	p.wakeAt(min(p.watchAt, p.probeAt, p.rebuildAt))
}
