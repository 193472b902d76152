// Package recovery keeps what a broker learns of the record servers in a form that outlives it, and decides after a
// restart what of it is still worth something. It does no I/O and keeps no clock.
package recovery

import (
	"math"
	"slices"
	"strings"

	"mothrouter/internal/decision"
	"mothrouter/internal/snapshot"
)

const (
	failStep = 0.25 // least weight of one outcome in a server's share of failures, as in the module
	newsMost = 0.9  // and the most: the rarer outcomes are, the more each tells
	newsSpan = 2.0  // seconds of outcomes that outweigh older ones
	allStep  = 0.05 // in the pace of all
	rateSpan = 5.0  // seconds over which the answered rate is averaged
	peakSpan = 60.0 // seconds in which its peak is forgotten

	silentTimes = 6    // usual latencies without a word make a silence
	silentLeast = 0.02 // seconds: shorter ones are chance
)

// Learner watches outcomes, and holds what would be worth remembering. It is bounded by the list: what is no longer
// on it is forgotten.
type Learner struct {
	servers    map[string]*snapshot.Server
	answered   map[string]float64 // when a server last answered
	pace       float64
	usual      float64 // mean logarithm of latencies: a few slow servers do not move it much
	rate, peak float64
	at         float64
}

// NewLearner returns one that has seen nothing.
func NewLearner() *Learner {
	return &Learner{servers: map[string]*snapshot.Server{}, answered: map[string]float64{}}
}

// List takes up the list.
func (l *Learner) List(e decision.EndpointUpdate) {
	if e.Mode == decision.FailedUpdate {
		return
	}
	here := map[string]bool{}
	for _, s := range e.Servers {
		here[s.ID] = s.State != decision.Removed
		if old := l.servers[s.ID]; s.State == decision.Removed {
			l.forget(s.ID)
		} else if old == nil || s.Started > old.Started { // of another process, nothing holds
			delete(l.answered, s.ID)
			l.servers[s.ID] = &snapshot.Server{ID: s.ID, Started: s.Started, Load: decision.NoLoadReport}
		}
	}
	if e.Mode != decision.DeltaUpdate {
		for id := range l.servers {
			if !here[id] {
				l.forget(id)
			}
		}
	}
}

func (l *Learner) forget(id string) {
	delete(l.servers, id)
	delete(l.answered, id)
}

// Saw books how an attempt or a probe ended.
func (l *Learner) Saw(now float64, server string, status decision.Status, latency float64, load decision.LoadReport) {
	s := l.servers[server]
	if s == nil {
		return
	}
	if load != decision.NoLoadReport {
		s.Load, s.LoadAt = load, now
	}
	failed := 1.0
	switch status {
	case decision.NotSent:
		return
	case decision.TimedOut, decision.Cancelled:
		// A server that hangs ends no attempt: what was given up tells of it, if it has answered nothing since.
		if latency < math.Max(silentTimes*math.Exp(l.usual), silentLeast) || l.answered[server] >= now-latency {
			return
		}
		if latency > s.Pace { // it would have taken longer still
			s.Pace, s.PaceAt = s.Pace+newsStep(now-s.PaceAt)*(latency-s.Pace), now
		}
	case decision.OK:
		failed = 0
		l.answered[server] = now
		s.Pace, s.PaceAt = s.Pace+newsStep(now-s.PaceAt)*(latency-s.Pace), now
		if l.pace == 0 {
			l.pace, l.usual = latency, math.Log(latency+1e-6)
		}
		l.usual += allStep * (math.Log(latency+1e-6) - l.usual)
		l.pace += allStep * (latency - l.pace)
		l.pass(now)
		l.rate++
	}
	s.Failed, s.FailedAt = s.Failed+math.Max(failStep, newsStep(now-s.FailedAt))*(failed-s.Failed), now
}

// newsStep is the weight of an outcome so long after the one before.
func newsStep(since float64) float64 { return math.Min(newsMost, 1-math.Exp2(-since/newsSpan)) }

func (l *Learner) pass(now float64) {
	dt := math.Max(now-l.at, 0)
	l.at = now
	l.rate *= math.Exp(-dt / rateSpan)
	l.peak = math.Max(l.peak*math.Exp(-dt/peakSpan), l.rate/rateSpan/float64(max(len(l.servers), 1)))
}

// Snapshot is what would be worth remembering now, in the order of ids.
func (l *Learner) Snapshot(now float64) *snapshot.Snapshot {
	l.pass(now)
	s := &snapshot.Snapshot{Written: now, Pace: l.pace, Peak: l.peak}
	for _, v := range l.servers {
		if v.PaceAt > 0 || v.FailedAt > 0 || v.LoadAt > 0 {
			s.Servers = append(s.Servers, *v)
		}
	}
	slices.SortFunc(s.Servers, func(a, b snapshot.Server) int { return strings.Compare(a.ID, b.ID) })
	return s
}
