package main

import (
	"context"
	"sync"
	"time"

	"mothrouter/internal/drain"
)

// shutDown ends the process in order: what was taken is answered, and clients are sent away as planned. The error is that of
// a front that ended before its time. The plan stands from here on: a revision that comes later moves no moment of it.
func (p *process) shutDown() error {
	p.log.Info("shutting down")
	startedAt, plan := time.Now(), drain.PlanShutdown(p.longestDeadline())
	p.core.SetShutdownDeadline(startedAt.Add(plan.AnswerBy))
	if p.startConfig.AcceptFD != 0 { // the socket is not this process's alone: who comes is taken by the next one
		if err := p.listener.Close(); err != nil {
			p.log.Warn("closing the listener failed", "error", err)
		}
	}
	wait := time.NewTimer(plan.AnnounceClose)
	select {
	case err := <-p.frontEnded:
		if wait.Stop(); err != nil {
			return err
		}
	case <-wait.C:
	}
	exitCtx, stop := context.WithDeadline(p.ctx, startedAt.Add(plan.ExitBy))
	defer stop()
	var stops sync.WaitGroup
	stops.Go(func() { p.clientFront.Shutdown(exitCtx, plan) })
	if p.flightFront != nil {
		stops.Go(func() { p.flightFront.Stop(exitCtx) })
	}
	stops.Wait()
	p.core.Drain(exitCtx)
	return nil
}

// longestDeadline is the longest deadline of a class that is in force, or that a query held was taken under.
func (p *process) longestDeadline() time.Duration {
	if p.configFollower != nil {
		if longest := p.core.LongestDeadline(); longest > 0 { // 0: the loop has ended
			return longest
		}
	}
	return p.startConfig.LongestDeadline()
}
