package decision

// Policy and its event handling. The interface (settings, events, actions) is in api.go; docs/design.md
// describes how the decisions fit together.

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
	// windowMargin is in seconds. Comparisons with the end of a time window are conservative by this margin,
	// because servers measure windows in microseconds.
	windowMargin = 1e-6
	// pcgStream is the second half of the PCG seed, the same in all brokers: 2^64 divided by the golden
	// ratio, a common choice for a constant without structure.
	pcgStream = 0x9e3779b97f4a7c15
	// timerToken identifies the only timer that a Policy sets.
	timerToken = 1
)

// Policy implements Decider for one broker. It is not safe for concurrent use.
type Policy struct {
	settings Settings
	rng      *rand.Rand
	now      float64  // time of the current batch
	actions  []Action // of the current batch, in order
	wakeTime float64  // earliest time for which this batch has requested another batch; +Inf: none
	timerAt  float64  // earliest timer that was set and has not fired; +Inf: none

	endpoints
	healthChecks
	queryTable
	admissionStats
	quarantineTable

	fleet       serverstats.Fleet
	retryBudget retrybudget.Budget // queries and parts count as requests
	drawRound   int                // replica draws of the same round share one random variate per server
}

// New returns a Policy for one broker. It is deterministic: equal settings, seeds and events give equal
// actions.
func New(settings Settings, seed uint64) *Policy {
	if !settings.RetryAfterSupported {
		settings.MaxRetryAfter = 0 // clients would ignore it
	}
	p := &Policy{
		settings: settings,
		rng:      rand.New(rand.NewPCG(seed, pcgStream)),
		timerAt:  math.Inf(1),
		fleet:    serverstats.NewFleet(len(settings.Classes)),
	}
	p.retryBudget.Settings = settings.RetryBudget
	p.serversByID = map[string]*server{}
	p.replicaSets = replicasets.New(settings.ReplicaSets, settings.ReplicationFactor, ordinal)
	if !settings.PollEndpoints {
		p.pollAt = math.Inf(1)
	}
	p.meanFitness = 1
	p.healthCheckQueue = lazyheap.New(observedAt, ordinal)
	p.queriesByNumber = map[int64]*query{}
	p.queriesByID = map[RequestID]*query{}
	p.partsByID = map[RequestID]*part{}
	p.poisonQueries = map[uint64]float64{}
	p.quarantineUntil = make([]float64, len(settings.Classes))
	return p
}

// Handle processes a batch of events, in order, and returns the actions to carry out, in order. now is in
// seconds and must not decrease from one call to the next.
func (p *Policy) Handle(now float64, events []Event) []Action {
	p.now = now
	p.actions = nil
	p.wakeTime = math.Inf(1)
	p.fleet.Advance(now, len(p.servers), p.updateWarmingServers(), p.settings.SlowStart.OverloadWindow)
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

// onClassesChanged replaces the classes of future queries. It discards the observed client waits, which
// reflect the previous deadlines.
func (p *Policy) onClassesChanged(changed ClassesChanged) {
	p.settings.Classes = changed.Classes
	p.retryDetector = clientpatience.RetryDetector{}
}

// onSlowStartLease replaces a server's lease. Attempts sent under the previous lease no longer count.
func (p *Policy) onSlowStartLease(lease SlowStartLease) {
	s := p.serversByID[lease.Server]
	if s == nil {
		return
	}
	s.lease = &lease
	s.slowStartSends = nil
}

func (p *Policy) onTimerFired() {
	if p.timerAt <= p.now+windowMargin {
		p.timerAt = math.Inf(1)
	}
}

// setTimer sets a timer for the earliest wake-up that the batch requested, unless a pending timer fires no
// later.
func (p *Policy) setTimer() {
	if p.wakeTime >= p.timerAt {
		return
	}
	p.timerAt = p.wakeTime
	p.emit(SetTimer{Token: timerToken, At: max(p.wakeTime, p.now)})
}

// emit appends an action to the result of the current batch.
func (p *Policy) emit(a Action) { p.actions = append(p.actions, a) }

// wakeAt requests another batch no later than t.
func (p *Policy) wakeAt(t float64) { p.wakeTime = min(p.wakeTime, t) }
