package broker

import (
	"context"
	"time"
)

// SetShutdownDeadline sets the time by which every query, in flight or accepted later, must have its answer, as the process
// is killed then. A query with a later deadline is answered from the parts that are answered, rejected or failed.
func (b *Broker) SetShutdownDeadline(t time.Time) {
	b.post(func() {
		b.shutdownDeadline = t
		for _, q := range b.queries {
			if q.deadline.After(t) {
				q.stopTimer()
				q.deadline = t
				b.armDeadline(q)
			}
		}
	})
}

// shuttingDownSoon reports whether the process ends too soon to answer one more query.
func (b *Broker) shuttingDownSoon() bool {
	return !b.shutdownDeadline.IsZero() && time.Until(b.shutdownDeadline) <= answerLead
}

// Drain waits until no query is in flight, ctx ends or the loop ends. It does not stop new queries.
func (b *Broker) Drain(ctx context.Context) {
	idle := make(chan struct{})
	b.post(func() {
		if len(b.queries) == 0 {
			close(idle)
			return
		}
		b.idleWaiters = append(b.idleWaiters, idle)
	})
	select {
	case <-idle:
	case <-ctx.Done():
	case <-b.stopped:
	}
}

// releaseIdleWaiters ends the waits of Drain.
func (b *Broker) releaseIdleWaiters() {
	for _, idle := range b.idleWaiters {
		close(idle)
	}
	b.idleWaiters = nil
}

// Abort fails every query in flight after a panic has ended the loop, so that no client waits in vain. It blocks until Run
// has returned.
func (b *Broker) Abort() {
	<-b.stopped
	b.inbox.close()
	for _, f := range b.inbox.drain() {
		runRecovered(f)
	}
	for _, q := range b.queries {
		b.finish(q, Result{Outcome: Failed})
	}
	b.releaseIdleWaiters()
}

// runRecovered runs f and drops its panic: what made the loop panic may be in the inbox again.
func runRecovered(f func()) {
	defer func() { _ = recover() }()
	f()
}
