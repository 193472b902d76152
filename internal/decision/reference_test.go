package decision

// referencePolicy is the reference implementation ("plain form") with which Policy is compared in random scenarios. State that
// Policy updates incrementally is recomputed when it is used, by iterating over all servers and attempts or over logs of events
// and actions. The decisions based on that state (weights, limits, timeouts) are made by Policy's own code. They are checked
// against recorded actions (recorded_test.go) and by the other tests.
//
//	incremental state of Policy                 recomputation by referencePolicy
//	failure ratios by zone, bounds, median      decays each ratio on use and sorts all ratios
//	replica sets, updated by entry              rebuilds the index from the list after each update
//	removed servers, servers warming up         iterates over all servers
//	heap of servers to check                    searches for the least recently observed server
//	window of the retry budget                  filters a log of requests and retries
//	attempts in flight at a server              counts the unfinished attempts of all parts
//	sends in a slow-start window                filters a log of sends
//	unanswered canary parts                     counts them in a list of canary parts

import (
	"fmt"
	"math"
	"slices"

	"mothrouter/internal/collections/replicasets"
	"mothrouter/internal/estimate/failures"
	"mothrouter/internal/estimate/retrybudget"
	"mothrouter/internal/estimate/servicetime"
)

// decayedRatio is a failure ratio at a point in time, after which it decays.
type decayedRatio struct {
	value     float64
	at        float64 // time at which the ratio had this value
	slowDecay bool    // the latest outcome was Unreachable or Reset, so the ratio decays with the half-life of service times
}

// Copies of unexported constants of the packages serverstats and retrybudget.
const (
	outcomeZoneWeight      = 0.05  // weight of one outcome in a zone's failure ratio and in the disconnect ratio
	outcomeServerWeight    = 0.25  // minimum weight of one outcome in a server's failure ratio
	failureRatioHalfLife   = 5.0   // seconds
	negligibleFailureRatio = 1e-33 // Policy reports a smaller median as 0
	budgetSlack            = 1e-6  // tolerance, in seconds and in retries
)

// referencePolicy implements Decider.
type referencePolicy struct {
	*Policy
	zones        []decayedRatio
	ratios       map[*server]decayedRatio
	placeholders []*failures.Server    // one per ready server, so that fleet.Failures has the right size
	requests     []float64             // times of queries and parts, for the retry budget
	retries      []float64             // times of retries, for the retry budget
	sends        map[*server][]float64 // times of attempts during slow start, by server
}

func newReference(settings Settings, seed uint64) *referencePolicy {
	return &referencePolicy{
		Policy: New(settings, seed),
		ratios: map[*server]decayedRatio{},
		sends:  map[*server][]float64{},
	}
}

func (p *referencePolicy) Handle(now float64, events []Event) []Action {
	p.now = now
	p.actions = nil
	p.wakeTime = math.Inf(1)
	p.updateFleetStats()
	for _, event := range events {
		p.handleEvent(event)
	}
	p.recomputeInputs()
	p.runPeriodicWork()
	for _, q := range p.openQueries {
		fannedOut := q.fannedOut
		p.advance(q)
		if !fannedOut {
			p.checkCanaries(q)
		}
	}
	p.logSends()
	p.openQueries = slices.DeleteFunc(p.openQueries, func(q *query) bool { return q.ended })
	p.setTimer()
	return p.actions
}

func (p *referencePolicy) handleEvent(event Event) {
	switch e := event.(type) {
	case Query:
		p.requests = append(p.requests, p.now)
		p.Policy.handleEvent(e)
	case Part:
		p.requests = append(p.requests, p.now)
		p.Policy.handleEvent(e) // checks no server, since its heap is empty
		if q := p.queriesByNumber[e.QueryNumber]; q != nil && !q.ended {
			p.checkStalestServer()
		}
	case SlowStartLease:
		p.Policy.handleEvent(e)
		delete(p.sends, p.serversByID[e.Server])
	case HealthChecked:
		if s := p.serversByID[e.Server]; s != nil {
			p.recordHealthCheck(s, e)
		}
	case EndpointUpdate:
		p.onEndpointUpdate(e)
	case AttemptFinished:
		p.onAttemptFinished(e)
	case PeerObservation:
		if s := p.serversByID[e.Server]; s != nil && e.At >= s.StartedAt {
			p.recordPeerObservation(s, e)
		}
	default:
		p.Policy.handleEvent(e)
	}
}

// updateFleetStats advances the fleet statistics to the time of the batch.
func (p *referencePolicy) updateFleetStats() {
	var ratios []float64
	warming := 0
	for _, s := range p.servers {
		if s.IsReady() {
			ratios = append(ratios, p.failureRatio(s))
			warming += 1 - int(p.capacityFraction(s))
		}
	}
	for len(p.placeholders) < len(ratios) {
		p.placeholders = append(p.placeholders, &failures.Server{})
		p.fleet.Failures.Include(p.placeholders[len(p.placeholders)-1])
	}
	for len(p.placeholders) > len(ratios) {
		last := len(p.placeholders) - 1
		p.fleet.Failures.Exclude(p.placeholders[last])
		p.placeholders = p.placeholders[:last]
	}
	median := p.fleet.MedianFailureRatio
	if len(ratios) > 0 {
		slices.Sort(ratios)
		median = ratios[(len(ratios)-1)/2]
	}
	p.fleet.Advance(p.now, len(p.servers), warming, p.settings.SlowStart.OverloadWindow)
	p.fleet.MedianFailureRatio = median
}

// failureRatio returns a server's failure ratio, which decays to that of its zone if there are several zones, else to 0.
func (p *referencePolicy) failureRatio(s *server) float64 {
	zone := 0.0
	if len(p.zones) > 1 {
		z := p.zones[s.Zone]
		zone = z.value * math.Exp2(-(p.now-z.at)/failureRatioHalfLife)
	}
	own := p.ratios[s]
	if own.value == zone {
		return zone
	}
	halfLife := failureRatioHalfLife
	if own.slowDecay {
		halfLife = max(halfLife, p.fleet.ServiceTime.HalfLife)
	}
	return zone + (own.value-zone)*math.Exp2(-(p.now-own.at)/halfLife)
}

// recordOutcome updates the failure ratios of a server and its zone, and the disconnect ratio, with an outcome.
func (p *referencePolicy) recordOutcome(s *server, status Status) {
	failed, disconnected := 0.0, 0.0
	switch status {
	case TimedOut, Cancelled, NotSent:
		return
	case Error, Overloaded:
		failed = 1
	case Reset, Unreachable:
		failed, disconnected = 1, 1
	}
	ratio := p.failureRatio(s)
	weight := max(outcomeServerWeight, servicetime.ObservationWeight(p.now-p.ratios[s].at))
	p.ratios[s] = decayedRatio{value: ratio + weight*(failed-ratio), at: p.now, slowDecay: disconnected > 0}
	z := &p.zones[s.Zone]
	decayed := (1 - outcomeZoneWeight) * z.value * math.Exp2(-(p.now-z.at)/failureRatioHalfLife)
	*z = decayedRatio{value: outcomeZoneWeight*failed + decayed, at: p.now}
	p.fleet.DisconnectRatio += outcomeZoneWeight * (disconnected - p.fleet.DisconnectRatio)
	s.ObservedAt = p.now
}

// setFailureRatio sets the failure ratio that Policy's code reads. Its time is now and fleet.Failures, which holds placeholders
// only, has a single zone, so that Policy's code neither decays the ratio nor moves it towards that of a zone.
func (p *referencePolicy) setFailureRatio(s *server) {
	s.Failures.Ratio = p.failureRatio(s)
	s.Failures.At = p.now
}

func (p *referencePolicy) onEndpointUpdate(update EndpointUpdate) {
	if update.Mode == FailedUpdate {
		p.backOffPolls()
		return
	}
	if update.Mode != CachedUpdate {
		p.failedPolls, p.pollAt = 0, math.Inf(1)
	}
	for _, s := range p.servers {
		if update.Mode != DeltaUpdate {
			s.State = Removed
		}
	}
	for _, entry := range update.Servers {
		p.updateServer(entry)
	}
	p.countInFlight()
	p.servers = slices.DeleteFunc(p.servers, func(s *server) bool {
		deleted := s.State == Removed && s.InFlight == 0
		if deleted {
			delete(p.serversByID, s.ID)
			delete(p.ratios, s)
			delete(p.sends, s)
		}
		return deleted
	})
	p.replicaSets = replicasets.New(p.settings.ReplicaSets, p.settings.ReplicationFactor, ordinal)
	for _, s := range p.servers {
		if s.State != Removed {
			p.replicaSets.Insert(s.ReplicaSet, s)
		}
	}
}

func (p *referencePolicy) updateServer(entry Server) {
	entry.Zone = max(entry.Zone, 0)
	for len(p.zones) <= entry.Zone {
		p.zones = append(p.zones, decayedRatio{})
	}
	s := p.serversByID[entry.ID]
	if s == nil {
		s = p.addServer(entry.ID)
	}
	if entry.StartedAt > 0 && entry.StartedAt != s.StartedAt {
		s.Restarted()
		s.warmingSince = entry.StartedAt
		ratio := p.ratios[s]
		ratio.value = 0
		p.ratios[s] = ratio
	}
	s.Server = entry
}

func (p *referencePolicy) onAttemptFinished(outcome AttemptFinished) {
	pt, a := p.attemptInFlight(outcome)
	if a == nil {
		return
	}
	s := a.server
	s.InFlight = p.inFlightAt(s)
	s.RecordLoadReport(outcome.LoadReport, p.now)
	p.recordOutcome(s, outcome.Status)
	p.setFailureRatio(s)
	p.recordAttempt(a, pt.query, outcome)
	a.inFlight = false
	a.mayRun = mayHaveRun(outcome.Status)
	pt.attemptsInFlight--
	p.updatePart(pt, outcome)
}

func (p *referencePolicy) recordHealthCheck(s *server, check HealthChecked) {
	if check.Status != OK || p.ratios[s].slowDecay {
		p.recordOutcome(s, check.Status)
	}
	s.RecordLoadReport(check.LoadReport, p.now)
}

func (p *referencePolicy) recordPeerObservation(s *server, peer PeerObservation) {
	own := p.ratios[s]
	if peer.Weight > 0 && peer.At > own.at {
		ratio := p.failureRatio(s)
		p.ratios[s] = decayedRatio{
			value: ratio + peer.Weight*(peer.FailureRatio-ratio), at: peer.At, slowDecay: own.slowDecay,
		}
	}
	p.fleet.RecordPeer(&s.Stats, peer.At, 0, 0, peer.ServiceTime)
	reportedAt := peer.LoadReportedAt
	if reportedAt == 0 {
		reportedAt = peer.At
	}
	s.RecordLoadReport(peer.LoadReport, reportedAt)
}

// checkStalestServer checks the least recently observed idle server if many attempts are refused or reset.
func (p *referencePolicy) checkStalestServer() {
	if !p.settings.HealthChecksAllowed || p.fleet.DisconnectRatio < healthCheckThreshold {
		return
	}
	p.countInFlight()
	var stalest *server
	for _, s := range p.servers {
		if s.IsReady() && s.InFlight == 0 && (stalest == nil || s.ObservedAt < stalest.ObservedAt) {
			stalest = s
		}
	}
	if stalest != nil {
		stalest.ObservedAt = p.now
		p.emit(CheckHealth{stalest.ID})
	}
}

// recomputeInputs recomputes all state that Policy's code reads to decide on open queries.
func (p *referencePolicy) recomputeInputs() {
	p.countInFlight()
	for _, s := range p.servers {
		p.setFailureRatio(s)
		s.slowStartSends = p.sendsInWindow(s)
	}
	p.retryBudget = retrybudget.Budget{Settings: p.settings.RetryBudget}
	p.retryBudget.Min = p.retriesLeft()
	p.retryBudget.Ratio = 0
}

// countInFlight counts the attempts in flight at each server.
func (p *referencePolicy) countInFlight() {
	for _, s := range p.servers {
		s.InFlight = 0
	}
	for _, pt := range p.partsByID {
		for _, a := range pt.attempts {
			if a.inFlight {
				a.server.InFlight++
			}
		}
	}
}

// inFlightAt returns the number of attempts in flight at a server.
func (p *referencePolicy) inFlightAt(s *server) int {
	p.countInFlight()
	return s.InFlight
}

// sendsInWindow returns the send times of attempts to a server during its slow start, since its lease or within the overload
// window.
func (p *referencePolicy) sendsInWindow(s *server) []float64 {
	var times []float64
	for _, t := range p.sends[s] {
		if s.lease != nil || t >= p.now-p.settings.SlowStart.OverloadWindow {
			times = append(times, t)
		}
	}
	return times
}

// retriesLeft returns how many more retries the budget allows now.
func (p *referencePolicy) retriesLeft() int {
	start := p.now - p.settings.RetryBudget.Window
	p.requests = slices.DeleteFunc(p.requests, func(t float64) bool { return t < start+budgetSlack })
	p.retries = slices.DeleteFunc(p.retries, func(t float64) bool { return t < start-budgetSlack })
	allowed := float64(p.settings.RetryBudget.Min) + p.settings.RetryBudget.Ratio*float64(len(p.requests))
	left := 0
	for float64(len(p.retries)+left+1) <= allowed+budgetSlack {
		left++
	}
	return left
}

// logSends adds the attempts sent in the batch to the logs.
func (p *referencePolicy) logSends() {
	for _, action := range p.actions {
		send, isSend := action.(Send)
		if !isSend {
			continue
		}
		if len(p.partsByID[send.ID].attempts) > 1 {
			p.retries = append(p.retries, p.now)
		}
		s := p.serversByID[send.Server]
		if p.capacityFraction(s) < 1 {
			p.sends[s] = append(p.sends[s], p.now)
		}
	}
}

// checkCanaries emits a Log action, so that the comparison with Policy fails, if a query violates the rules for canary parts:
// the other parts were sent too early or too late, or the query was not rejected in time.
func (p *referencePolicy) checkCanaries(q *query) {
	if q.ended || !q.admitted || !p.needsCanary(q) {
		return
	}
	canaries := max(len(q.parts)/partsPerCanary, minCanaryParts)
	stride := len(q.parts) / canaries
	unanswered := 0
	othersSent := 0
	for i, pt := range q.parts {
		switch {
		case i%stride == 0 && !pt.answered && !pt.givenUp:
			unanswered++
		case i%stride > 0 && len(pt.attempts) > 0 && pt.attempts[len(pt.attempts)-1].sentAt == p.now:
			othersSent++
		}
	}
	inTime := p.now < q.receivedAt+canaryTimeFraction*(q.objectiveAt-q.receivedAt)
	fansOut := inTime && float64(unanswered) <= maxCanaryMissing*float64(canaries)
	if q.fannedOut != fansOut || !fansOut && (!inTime || othersSent > 0) {
		p.emit(Log{Line: fmt.Sprint("canary parts of query ", q.ID, ": ", unanswered, " unanswered, others sent: ", othersSent)})
	}
}
