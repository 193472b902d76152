package main

import (
	"context"
	"sync"
	"time"

	"mothrouter/internal/drain"
)

// end ends the process in order: what was taken is answered, and clients are sent away as planned. The error is that of
// a front that ended before its time. The plan stands from here on: a revision that comes later moves no moment of it.
func (p *process) end() error {
	p.log.Info("shutting down")
	since, plan := time.Now(), drain.PlanShutdown(p.longest())
	p.core.SetShutdownDeadline(since.Add(plan.AnswerBy))
	if p.cfg.AcceptFD != 0 { // the socket is not this process's alone: who comes is taken by the next one
		if err := p.listener.Close(); err != nil {
			p.log.Warn("closing the listener failed", "error", err)
		}
	}
	wait := time.NewTimer(plan.AnnounceClose)
	select {
	case err := <-p.served:
		if wait.Stop(); err != nil {
			return err
		}
	case <-wait.C:
	}
	last, stop := context.WithDeadline(p.ctx, since.Add(plan.ExitBy))
	defer stop()
	var ends sync.WaitGroup
	ends.Go(func() { p.clients.Shutdown(last, plan) })
	if p.flights != nil {
		ends.Go(func() { p.flights.Stop(last) })
	}
	ends.Wait()
	p.core.Drain(last)
	return nil
}

// longest is the longest deadline of a class that is in force, or that a query held was taken under.
func (p *process) longest() time.Duration {
	if p.revisions != nil {
		if longest := p.core.LongestDeadline(); longest > 0 { // 0: the loop has ended
			return longest
		}
	}
	return p.cfg.LongestDeadline()
}
