package broker

import (
	"context"
	"time"
)

// SetShutdownDeadline sets the time by which every query, in flight or accepted later, must have its final answer, because the
// process is killed at that time. A query with a later deadline is answered from its answered parts, rejected or failed by that
// time.
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

// shuttingDownSoon reports whether the shutdown deadline is too close to answer another query.
func (b *Broker) shuttingDownSoon() bool {
	return !b.shutdownDeadline.IsZero() && time.Until(b.shutdownDeadline) <= deadlineMargin
}

// Drain waits until no query is in flight, ctx is done or the loop has ended. It does not stop new queries.
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

// releaseIdleWaiters unblocks pending calls of Drain.
func (b *Broker) releaseIdleWaiters() {
	for _, idle := range b.idleWaiters {
		close(idle)
	}
	b.idleWaiters = nil
}

// Abort fails every query in flight after a panic has ended the loop, so that no client waits for an answer that cannot come.
// It blocks until Run has returned.
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

// runRecovered runs f and discards a panic: the inbox may hold another function that panics like the one that ended the loop.
func runRecovered(f func()) {
	defer func() { _ = recover() }()
	f()
}
