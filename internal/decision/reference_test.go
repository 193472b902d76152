package decision

// plainPolicy is the oracle of the random days: Policy with all that it keeps up to date replaced by what walks over
// all servers and attempts, or over logs of what was sent and received, give at the moment of use. The decisions
// themselves (which weight, which limit, which timeout) are Policy's own: recorded_test.go holds these to what was
// recorded, and the tests of each unit to what they are for.
//
//	what Policy keeps up to date                what plainPolicy does
//	failure ratios by zone, bounds, median      fades each ratio at its use and sorts all of them
//	replica sets, changed entry by entry        builds the index from the list after each update
//	removed servers, servers that warm up       looks at each server
//	heap of servers to check                    looks for the one observed longest ago
//	window of the retry budget                  filters a log of requests and retries
//	attempts in flight at a server              counts the live attempts of all parts
//	sends in a slow-start window                filters a log of sends
//	canary parts without an answer              counts them from a list of canary parts

import (
	"fmt"
	"math"
	"slices"

	"mothrouter/internal/collections/replicasets"
	"mothrouter/internal/estimate/failures"
	"mothrouter/internal/estimate/retrybudget"
	"mothrouter/internal/estimate/servicetime"
)

// plainRatio is a failure ratio at a time, which fades afterwards.
type plainRatio struct {
	value  float64
	at     float64
	slowly bool // the latest outcome was refused or reset: it fades with the half-life of service times
}

// The constants of package serverstats that are used here, and those of package retrybudget.
const (
	outcomeZoneWeight      = 0.05  // weight of one outcome in a zone's failure ratio and in the disconnect ratio
	outcomeServerWeight    = 0.25  // least weight of one outcome in a server's failure ratio
	failureRatioHalfLife   = 5.0   // seconds
	negligibleFailureRatio = 1e-33 // Policy takes such a median for 0
	budgetSlack            = 1e-6  // seconds, and retries
)

// plainPolicy decides for one broker.
type plainPolicy struct {
	*Policy
	zones        []plainRatio
	ratios       map[*server]plainRatio
	placeholders []*failures.Server // as many as servers are ready, so that the fleet has that size
	requests     []float64          // times of queries and parts, for the retry budget
	retries      []float64          // times of retries, for the retry budget
	sends        map[*server][]float64
}

func newPlain(settings Settings, seed uint64) *plainPolicy {
	return &plainPolicy{
		Policy: New(settings, seed),
		ratios: map[*server]plainRatio{},
		sends:  map[*server][]float64{},
	}
}

func (p *plainPolicy) Handle(now float64, events []Event) []Action {
	p.now = now
	p.actions = nil
	p.wakeTime = math.Inf(1)
	p.survey()
	for _, event := range events {
		p.handleEvent(event)
	}
	p.recount()
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

func (p *plainPolicy) handleEvent(event Event) {
	switch e := event.(type) {
	case Query:
		p.requests = append(p.requests, p.now)
		p.Policy.handleEvent(e)
	case Part:
		p.requests = append(p.requests, p.now)
		p.Policy.handleEvent(e) // its heap of servers to check is empty
		if q := p.queries[e.QueryNumber]; q != nil && !q.ended {
			p.checkStalestHealth()
		}
	case SlowStartLease:
		p.Policy.handleEvent(e)
		delete(p.sends, p.byID[e.Server])
	case HealthChecked:
		if s := p.byID[e.Server]; s != nil {
			p.learnFromCheck(s, e)
		}
	case EndpointUpdate:
		p.onEndpointUpdate(e)
	case AttemptFinished:
		p.onAttemptFinished(e)
	case PeerObservation:
		if s := p.byID[e.Server]; s != nil && e.At >= s.Started {
			p.learnFromPeer(s, e)
		}
	default:
		p.Policy.handleEvent(e)
	}
}

// survey brings the figures of the fleet to the time of the batch.
func (p *plainPolicy) survey() {
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

// failureRatio returns a server's failure ratio, which fades towards that of its zone if there are several.
func (p *plainPolicy) failureRatio(s *server) float64 {
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
	if own.slowly {
		halfLife = max(halfLife, p.fleet.ServiceTime.HalfLife)
	}
	return zone + (own.value-zone)*math.Exp2(-(p.now-own.at)/halfLife)
}

// recordOutcome counts an outcome for or against a server, its zone and this broker's connections.
func (p *plainPolicy) recordOutcome(s *server, status Status) {
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
	p.ratios[s] = plainRatio{value: ratio + weight*(failed-ratio), at: p.now, slowly: disconnected > 0}
	z := &p.zones[s.Zone]
	faded := (1 - outcomeZoneWeight) * z.value * math.Exp2(-(p.now-z.at)/failureRatioHalfLife)
	*z = plainRatio{value: outcomeZoneWeight*failed + faded, at: p.now}
	p.fleet.DisconnectRatio += outcomeZoneWeight * (disconnected - p.fleet.DisconnectRatio)
	s.ObservedAt = p.now
}

// exposeRatio lets Policy's own decisions read a server's failure ratio: one of this moment, in a fleet of one zone.
func (p *plainPolicy) exposeRatio(s *server) {
	s.Failures.Ratio = p.failureRatio(s)
	s.Failures.At = p.now
}

func (p *plainPolicy) onEndpointUpdate(update EndpointUpdate) {
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
		forgotten := s.State == Removed && s.InFlight == 0
		if forgotten {
			delete(p.byID, s.ID)
			delete(p.ratios, s)
			delete(p.sends, s)
		}
		return forgotten
	})
	p.replicaSets = replicasets.New(p.settings.ReplicaSets, p.settings.ReplicationFactor, number)
	for _, s := range p.servers {
		if s.State != Removed {
			p.replicaSets.Insert(s.ReplicaSet, s)
		}
	}
}

func (p *plainPolicy) updateServer(entry Server) {
	entry.Zone = max(entry.Zone, 0)
	for len(p.zones) <= entry.Zone {
		p.zones = append(p.zones, plainRatio{})
	}
	s := p.byID[entry.ID]
	if s == nil {
		s = p.addServer(entry.ID)
	}
	if entry.Started > 0 && entry.Started != s.Started {
		s.Restarted()
		s.warmingSince = entry.Started
		ratio := p.ratios[s]
		ratio.value = 0
		p.ratios[s] = ratio
	}
	s.Server = entry
}

func (p *plainPolicy) onAttemptFinished(outcome AttemptFinished) {
	pt, a := p.attemptInFlight(outcome)
	if a == nil {
		return
	}
	s := a.server
	s.InFlight = p.inFlightAt(s)
	s.RecordLoadReport(outcome.LoadReport, p.now)
	p.recordOutcome(s, outcome.Status)
	p.exposeRatio(s)
	p.learnFromAttempt(a, pt.query, outcome)
	a.live = false
	a.mayRun = mayHaveRun(outcome.Status)
	pt.live--
	p.updatePart(pt, outcome)
}

func (p *plainPolicy) learnFromCheck(s *server, check HealthChecked) {
	if check.Status != OK || p.ratios[s].slowly {
		p.recordOutcome(s, check.Status)
	}
	s.RecordLoadReport(check.LoadReport, p.now)
}

func (p *plainPolicy) learnFromPeer(s *server, peer PeerObservation) {
	own := p.ratios[s]
	if peer.Weight > 0 && peer.At > own.at {
		ratio := p.failureRatio(s)
		p.ratios[s] = plainRatio{
			value: ratio + peer.Weight*(peer.FailureRatio-ratio), at: peer.At, slowly: own.slowly,
		}
	}
	p.fleet.RecordPeer(&s.Stats, peer.At, 0, 0, peer.ServiceTime)
	reportedAt := peer.LoadReportedAt
	if reportedAt == 0 {
		reportedAt = peer.At
	}
	s.RecordLoadReport(peer.LoadReport, reportedAt)
}

// checkStalestHealth checks, while attempts are often refused or reset, the idle server observed longest ago.
func (p *plainPolicy) checkStalestHealth() {
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

// recount renews all that Policy's decisions on open queries read.
func (p *plainPolicy) recount() {
	p.countInFlight()
	for _, s := range p.servers {
		p.exposeRatio(s)
		s.slowStartSends = p.sendsInWindow(s)
	}
	p.retryBudget = retrybudget.Budget{Settings: p.settings.RetryBudget}
	p.retryBudget.Min = p.retriesLeft()
	p.retryBudget.Ratio = 0
}

// countInFlight counts the attempts in flight at each server.
func (p *plainPolicy) countInFlight() {
	for _, s := range p.servers {
		s.InFlight = 0
	}
	for _, pt := range p.parts {
		for _, a := range pt.attempts {
			if a.live {
				a.server.InFlight++
			}
		}
	}
}

// inFlightAt returns the number of attempts in flight at a server.
func (p *plainPolicy) inFlightAt(s *server) int {
	p.countInFlight()
	return s.InFlight
}

// sendsInWindow returns the attempts sent to a server while it warmed up, since its lease or in the overload window.
func (p *plainPolicy) sendsInWindow(s *server) []float64 {
	var times []float64
	for _, t := range p.sends[s] {
		if s.lease != nil || t >= p.now-p.settings.SlowStart.OverloadWindow {
			times = append(times, t)
		}
	}
	return times
}

// retriesLeft returns how many further retries the budget allows now.
func (p *plainPolicy) retriesLeft() int {
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

// logSends adds the attempts of the batch to the logs.
func (p *plainPolicy) logSends() {
	for _, action := range p.actions {
		send, isSend := action.(Send)
		if !isSend {
			continue
		}
		if len(p.parts[send.ID].attempts) > 1 {
			p.retries = append(p.retries, p.now)
		}
		s := p.byID[send.Server]
		if p.capacityFraction(s) < 1 {
			p.sends[s] = append(p.sends[s], p.now)
		}
	}
}

// checkCanaries adds an action, which Policy does not have, where a query has not kept to its canary parts: the others
// were sent too early, or too late, or it was not rejected in time.
func (p *plainPolicy) checkCanaries(q *query) {
	if q.ended || !q.admitted || !p.needsCanary(q) {
		return
	}
	canaries := max(len(q.parts)/partsPerCanary, minCanaryParts)
	stride := len(q.parts) / canaries
	unanswered := 0
	early := 0
	for i, pt := range q.parts {
		switch {
		case i%stride == 0 && !pt.answered && !pt.givenUp:
			unanswered++
		case i%stride > 0 && len(pt.attempts) > 0 && pt.attempts[len(pt.attempts)-1].sentAt == p.now:
			early++
		}
	}
	inTime := p.now < q.receivedAt+canaryTimeFraction*(q.objectiveAt-q.receivedAt)
	fansOut := inTime && float64(unanswered) <= maxCanaryMissing*float64(canaries)
	if q.fannedOut != fansOut || !fansOut && (!inTime || early > 0) {
		p.emit(Log{Line: fmt.Sprint("canary parts of query ", q.ID, ": ", unanswered, " unanswered, others sent: ", early)})
	}
}
