package cores

import (
	"mothrouter/internal/decision"
	"mothrouter/internal/workers/observations"
)

// sharedDecider wraps one worker's Decider. It shares the worker's observations with the other workers, and passes their
// observations and the worker's leases for servers in slow start to the Decider, as the events PeerObservation and
// SlowStartLease.
type sharedDecider struct {
	*processState
	worker      int
	inner       decision.Decider
	seenUpdates int // number of endpoint updates that inner has received
}

// Handle implements decision.Decider.
func (d *sharedDecider) Handle(now float64, events []decision.Event) []decision.Action {
	events = d.beforeBatch(now, events)
	actions := d.inner.Handle(now, events)
	return d.afterBatch(now, actions)
}

// beforeBatch shares the worker's observations and returns the batch with the events that the worker has missed. It unlocks
// with defer, since the other workers continue after a panic and must not find the lock held.
func (d *sharedDecider) beforeBatch(now float64, events []decision.Event) []decision.Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	batch := d.missedUpdates(d.seenUpdates)
	d.seenUpdates = d.firstUpdateNumber + len(d.updates)
	for _, e := range events {
		switch e := e.(type) {
		case decision.EndpointUpdate:
			continue // already passed on as a missed update, in this batch or an earlier one
		case decision.AttemptFinished:
			o := observations.Observation{Latency: e.Latency, LoadReport: e.LoadReport}
			d.recordOutcome(d.worker, now, e.Server, e.Status, o)
		case decision.HealthChecked:
			if e.Status != decision.TimedOut {
				o := observations.Observation{Latency: e.Latency, LoadReport: e.LoadReport}
				d.recordOutcome(d.worker, now, e.Server, e.Status, o)
			}
		}
		batch = append(batch, e)
	}
	if d.observations.HasPending(d.worker) {
		for _, o := range d.observations.Collect(d.worker, now) {
			batch = append(batch, o)
		}
	}
	if len(d.warmingUp) > 0 {
		batch = d.appendLeases(d.worker, now, batch)
	}
	return batch
}

// afterBatch counts the parts that the worker sends against its leases, and drops health checks that another worker has
// started within healthCheckInterval.
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

// spendLease counts a part sent to a server in slow start against the server's budget and the worker's lease. A part beyond
// the lease is counted in overspent, unless it was decided before the worker received the update that announced the server.
func (d *sharedDecider) spendLease(server string, now float64) {
	w := d.warmingUp[server]
	if w != nil && !w.budget.Spend(d.worker, 1, now) && w.announcementNumber < d.seenUpdates {
		d.overspent++
	}
}

// mayCheckHealth reports whether a health check may start: none of the workers, which share the results, has checked the
// server within healthCheckInterval.
func (d *sharedDecider) mayCheckHealth(server string, now float64) bool {
	if at, checked := d.checkedAt[server]; checked && now-at < healthCheckInterval {
		return false
	}
	if _, listed := d.entries[server]; listed {
		d.checkedAt[server] = now
	}
	return true
}
