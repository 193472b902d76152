package decision

// Policy, its settings and its loop over events. The interface (settings, events, actions) is in api.go;
// docs/design.md describes how the decisions fit together.

import (
	"math"
	"math/rand/v2"
	"slices"

	"mothrouter/internal/collections/lazyheap"
	"mothrouter/internal/collections/replicasets"
	"mothrouter/internal/estimate/clientpatience"
	"mothrouter/internal/estimate/retrybudget"
	"mothrouter/internal/estimate/serverstats"
)

const (
	// edgeSlack is in seconds: times are compared with a window's edge this far on the safe side, since
	// servers count windows in microseconds.
	edgeSlack = 1e-6
	// seedStream is the second half of the generator's seed, the same in all brokers: 2^64 divided by the
	// golden ratio, as is usual for a constant without structure.
	seedStream = 0x9e3779b97f4a7c15
	// wakeToken is the token of the one timer that a Policy keeps.
	wakeToken = 1
)

// Policy decides for one broker. It is not safe for concurrent use.
type Policy struct {
	settings Settings
	rng      *rand.Rand
	now      float64  // time of the current batch
	actions  []Action // of the current batch, in order
	wakeTime float64  // earliest time at which the current batch requests another one; +Inf: none
	timerAt  float64  // earliest timer that was set and has not fired; +Inf: none

	endpoints
	healthChecks
	queryTable
	admission
	poison

	fleet       serverstats.Fleet
	retryBudget retrybudget.Budget // queries and parts are its requests
	drawRound   int                // replica draws of one round share a variate for each server
}

// New returns the Policy of one broker. Equal settings, seeds and events give equal actions.
func New(settings Settings, seed uint64) *Policy {
	if !settings.RetryAfterSupported {
		settings.MaxRetryAfter = 0 // clients would ignore it
	}
	p := &Policy{
		settings: settings,
		rng:      rand.New(rand.NewPCG(seed, seedStream)),
		timerAt:  math.Inf(1),
		fleet:    serverstats.NewFleet(len(settings.Classes)),
	}
	p.retryBudget.Settings = settings.RetryBudget
	p.byID = map[string]*server{}
	p.replicaSets = replicasets.New(settings.ReplicaSets, settings.ReplicationFactor, number)
	if !settings.PollEndpoints {
		p.pollAt = math.Inf(1)
	}
	p.meanFitness = 1
	p.stalest = lazyheap.New(observedAt, number)
	p.queries = map[int64]*query{}
	p.byQuery = map[RequestID]*query{}
	p.parts = map[RequestID]*part{}
	p.poisonQueries = map[uint64]float64{}
	p.quarantineUntil = make([]float64, len(settings.Classes))
	return p
}

// Handle takes the events of one batch at a time in seconds, which never decreases, and returns the actions
// to carry out. Events are handled, and actions listed, in order.
func (p *Policy) Handle(now float64, events []Event) []Action {
	p.now = now
	p.actions = nil
	p.wakeTime = math.Inf(1)
	p.fleet.Advance(now, len(p.servers), p.warmingServers(), p.settings.SlowStart.OverloadWindow)
	for _, event := range events {
		p.handleEvent(event)
	}
	p.runPeriodicWork()
	for _, q := range p.openQueries {
		p.advance(q)
	}
	p.openQueries = slices.DeleteFunc(p.openQueries, func(q *query) bool { return q.ended })
	p.setTimer()
	return p.actions
}

func (p *Policy) handleEvent(event Event) {
	switch e := event.(type) {
	case EndpointUpdate:
		p.onEndpointUpdate(e)
	case Query:
		p.onQuery(e)
	case Part:
		p.onPart(e)
	case AttemptFinished:
		p.onAttemptFinished(e)
	case ClientDisconnected:
		p.onClientDisconnected(e)
	case HealthChecked:
		p.onHealthChecked(e)
	case PeerObservation:
		p.onPeerObservation(e)
	case RestoredState:
		p.fleet.Restore(e.ServiceTime, e.PeakThroughput)
	case FleetResized:
		p.settings.Brokers = e.Brokers
	case ClassesChanged:
		p.onClassesChanged(e)
	case SlowStartLease:
		p.onSlowStartLease(e)
	case TimerFired:
		p.onTimerFired()
	}
}

// onClassesChanged replaces the classes of queries to come. The waits of clients so far were for the previous
// deadlines.
func (p *Policy) onClassesChanged(changed ClassesChanged) {
	p.settings.Classes = changed.Classes
	p.waits = clientpatience.RetryDetector{}
}

// onSlowStartLease replaces a server's lease: the sends under the previous one no longer count.
func (p *Policy) onSlowStartLease(lease SlowStartLease) {
	s := p.byID[lease.Server]
	if s == nil {
		return
	}
	s.lease = &lease
	s.slowStartSends = nil
}

func (p *Policy) onTimerFired() {
	if p.timerAt <= p.now+edgeSlack {
		p.timerAt = math.Inf(1)
	}
}

// setTimer sets a timer for the earliest request of the batch, unless one is set that fires no later.
func (p *Policy) setTimer() {
	if p.wakeTime >= p.timerAt {
		return
	}
	p.timerAt = p.wakeTime
	p.emit(SetTimer{Token: wakeToken, At: max(p.wakeTime, p.now)})
}

// emit adds an action to those of the current batch.
func (p *Policy) emit(a Action) { p.actions = append(p.actions, a) }

// wakeAt requests a further batch at a time, at the latest.
func (p *Policy) wakeAt(t float64) { p.wakeTime = min(p.wakeTime, t) }
