package cores

import (
	"mothrouter/internal/decision"
	"mothrouter/internal/workers/observations"
)

// sharedDecider wraps one worker's Decider. It shares what the worker observes, and hands the worker what the others
// observed and its leases of servers in slow start, as the events PeerObservation and SlowStartLease.
type sharedDecider struct {
	*processState
	worker      int
	inner       decision.Decider
	seenUpdates int // updates of the endpoint list that inner has had
}

// Handle implements decision.Decider.
func (d *sharedDecider) Handle(now float64, events []decision.Event) []decision.Action {
	events = d.beforeBatch(now, events)
	actions := d.inner.Handle(now, events)
	return d.afterBatch(now, actions)
}

// beforeBatch shares what the worker observed and adds what it has to know. A panic must not leave the lock held: the
// other workers go on.
func (d *sharedDecider) beforeBatch(now float64, events []decision.Event) []decision.Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.missedUpdates(d.seenUpdates)
	d.seenUpdates = d.firstUpdate + len(d.updates)
	for _, e := range events {
		switch e := e.(type) {
		case decision.EndpointUpdate:
			continue // it is among the updates, perhaps of a batch ago
		case decision.AttemptFinished:
			o := observations.Observation{Latency: e.Latency, LoadReport: e.LoadReport}
			d.recordOutcome(d.worker, now, e.Server, e.Status, o)
		case decision.HealthChecked:
			if e.Status != decision.TimedOut {
				o := observations.Observation{Latency: e.Latency, LoadReport: e.LoadReport}
				d.recordOutcome(d.worker, now, e.Server, e.Status, o)
			}
		}
		all = append(all, e)
	}
	if d.observations.HasPending(d.worker) {
		for _, o := range d.observations.Collect(d.worker, now) {
			all = append(all, o)
		}
	}
	if len(d.warmingUp) > 0 {
		all = d.leases(d.worker, now, all)
	}
	return all
}

// afterBatch counts what the worker sends against its leases, and drops health checks that another worker has just begun.
func (d *sharedDecider) afterBatch(now float64, actions []decision.Action) []decision.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := actions[:0]
	for _, a := range actions {
		switch a := a.(type) {
		case decision.Send:
			d.spendLease(a.Server, now)
		case decision.CheckHealth:
			if !d.mayCheckHealth(a.Server, now) {
				continue
			}
		}
		kept = append(kept, a)
	}
	for _, w := range d.warmingUp {
		w.budget.EndDecision(d.worker)
	}
	return kept
}

// spendLease counts a part that is sent. If it was decided before the worker had the update that brought the lease, it
// counts against the budget, but is not overspent.
func (d *sharedDecider) spendLease(server string, now float64) {
	w := d.warmingUp[server]
	if w != nil && !w.budget.Spend(d.worker, 1, now) && w.announcedAt < d.seenUpdates {
		d.overspent++
	}
}

// mayCheckHealth reports whether no worker has checked a server's health within healthCheckInterval: the result is shared.
func (d *sharedDecider) mayCheckHealth(server string, now float64) bool {
	if at, checked := d.checkedAt[server]; checked && now-at < healthCheckInterval {
		return false
	}
	if _, listed := d.entries[server]; listed {
		d.checkedAt[server] = now
	}
	return true
}
