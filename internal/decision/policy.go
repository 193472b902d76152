package decision

// The module: every decision. Its interface (settings, events, actions) is in api.go. Each part drops
// unsuitable replicas and draws one in proportion to weight = fitness x factors; docs/design.md tells why.

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
	edgeSlack  = 1e-6 // windows count by the microsecond; keep a whole one clear of their edges
	seedStream = 0x9e3779b97f4a7c15
)

// Policy decides for one broker. It is not safe for concurrent use.
type Policy struct {
	settings Settings
	rng      *rand.Rand
	now      float64
	actions  []Action // of the present batch
	wakeTime float64  // earliest time at which the present batch wants to be woken
	timerAt  float64  // earliest timer that is set; +Inf: none
	endpoints
	healthChecks
	fleet       serverstats.Fleet
	retryBudget retrybudget.Budget // queries and parts are its requests
	queryTable
	admission
	drawRound int // draws of one round share a variate for each server
}

// New returns the decisions of one broker. Equal settings, seeds and events give equal actions.
func New(s Settings, seed uint64) *Policy {
	p := &Policy{settings: s, rng: rand.New(rand.NewPCG(seed, seedStream)), timerAt: math.Inf(1)}
	p.fleet = serverstats.NewFleet(len(s.Classes))
	p.retryBudget.Settings = s.RetryBudget
	p.byID = map[string]*server{}
	p.replicaSets = replicasets.New(s.ReplicaSets, s.ReplicationFactor, number)
	if !s.PollEndpoints {
		p.pollAt = math.Inf(1)
	}
	p.meanFitness = 1
	p.stalest = lazyheap.New(observedAt, number)
	p.queries, p.byQuery, p.parts = map[int64]*query{}, map[RequestID]*query{}, map[RequestID]*part{}
	p.poisonQueries, p.quarantineUntil = map[uint64]float64{}, make([]float64, len(s.Classes))
	if !s.RetryAfterSupported {
		p.settings.MaxRetryAfter = 0 // clients would not hear it
	}
	return p
}

// Handle takes the events of one moment in their order and returns what to do, in order.
func (p *Policy) Handle(now float64, events []Event) []Action {
	p.now, p.actions, p.wakeTime = now, nil, math.Inf(1)
	p.fleet.Advance(now, len(p.servers), p.warmingServers(), p.settings.SlowStart.OverloadWindow)
	for _, e := range events {
		p.handleEvent(e)
	}
	p.runPeriodicWork()
	for _, q := range p.openQueries {
		p.advance(q)
	}
	p.openQueries = slices.DeleteFunc(p.openQueries, func(q *query) bool { return q.ended })
	if p.wakeTime < p.timerAt {
		p.timerAt = p.wakeTime
		p.emit(SetTimer{Token: 1, At: max(p.wakeTime, now)})
	}
	return p.actions
}

func (p *Policy) handleEvent(e Event) {
	switch e := e.(type) {
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
	case ClassesChanged: // open queries keep their class; waits were for the old deadlines
		p.settings.Classes, p.waits = e.Classes, clientpatience.Waits{}
	case SlowStartLease:
		if s := p.byID[e.Server]; s != nil {
			s.lease, s.slowStartSends = &e, nil
		}
	case TimerFired:
		if p.timerAt <= p.now+edgeSlack {
			p.timerAt = math.Inf(1)
		}
	}
}

func (p *Policy) emit(a Action) { p.actions = append(p.actions, a) }

// wakeAt has the next batch come at a time at the latest.
func (p *Policy) wakeAt(t float64) { p.wakeTime = min(p.wakeTime, t) }
