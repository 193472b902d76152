package main

import (
	"context"
	"sync"
	"time"

	"mothrouter/internal/drain"
)

// shutDown shuts the process down gracefully: it answers the accepted requests and closes client connections at the times
// of a drain.ShutdownPlan, and returns once every accepted request has its answer, also if that is late because the process
// was held up. The plan is made once: a later revision does not change it.
func (p *process) shutDown() {
	p.log.Info("shutting down")
	startedAt := time.Now()
	plan := drain.PlanShutdown(p.longestDeadline())
	p.core.SetShutdownDeadline(startedAt.Add(plan.AnswerBy))
	if p.startConfig.AcceptFD != 0 { // another process shares the inherited socket and accepts new connections
		go p.closeListener() // waits if another process has just made an accept block
	}
	ctx, cancel := context.WithDeadline(p.ctx, startedAt.Add(plan.AbandonBy))
	defer cancel()
	var fronts sync.WaitGroup
	fronts.Go(func() { p.clientFront.Shutdown(ctx, startedAt, plan) })
	if p.flightFront != nil {
		fronts.Go(func() { p.flightFront.Shutdown(ctx, startedAt, plan) })
	}
	fronts.Wait()
	p.core.Drain(ctx)
	p.log.Info("shut down", "duration", time.Since(startedAt), "unanswered queries", p.core.Gauges().Queries)
}

// closeListener closes the listener for clients.
func (p *process) closeListener() {
	if err := p.listener.Close(); err != nil {
		p.log.Warn("closing the listener failed", "error", err)
	}
}

// longestDeadline returns the longest deadline among the classes in force and those under which queries in flight were
// accepted.
func (p *process) longestDeadline() time.Duration {
	if p.configFollower != nil {
		if longest := p.core.LongestDeadline(); longest > 0 { // 0 once the loop has ended
			return longest
		}
	}
	return p.startConfig.LongestDeadline()
}
