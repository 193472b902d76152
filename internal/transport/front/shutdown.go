package front

import (
	"context"
	"errors"
	"net"
	"time"

	"mothrouter/internal/drain"
)

// shutdownStage is the stage of a shutdown or a drain.
type shutdownStage struct {
	announceClose bool // answers say Connection: close
	closeIdle     bool // connections between requests end
	closeAll      bool // connections that have received part of a request end too
	exit          bool // the process exits once every request has its answer: clients are no longer given time to close
}

// Shutdown ends the front in the stages of the plan, whose times count from startedAt. First, answers announce that the
// connection closes, and clients may use each connection once more: closing all at once would make every client reconnect at
// the same moment, perhaps without a broker to connect to. Then the listener and idle connections close, the others after their
// answers. At AnswerBy, connections that have received part of a request end too. From ExitBy on, connections only wait for the
// answers that they owe. Shutdown returns when all connections have ended, however late their answers are, or ctx is done.
func (f *Front) Shutdown(ctx context.Context, startedAt time.Time, plan drain.ShutdownPlan) {
	ended := f.ended()
	for _, step := range []struct {
		at     time.Duration // from startedAt
		change func()
	}{
		{plan.AnnounceClose, func() { f.shutdown.announceClose = true }},
		{plan.CloseIdle, f.closeListener},
		{plan.AnswerBy, func() { f.shutdown.closeAll = true }},
		{plan.ExitBy, func() { f.shutdown.exit = true }},
	} {
		if !waitUntil(ctx, ended, startedAt.Add(step.at)) {
			return
		}
		f.advanceShutdown(step.change)
	}
	select {
	case <-ended:
	case <-ctx.Done():
		f.log.Warn("clients abandoned before they had read their answers", "connections", f.connCount())
	}
}

// waitUntil waits until t. It returns false if ended is closed or ctx is done before.
func waitUntil(ctx context.Context, ended <-chan struct{}, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ended:
	case <-ctx.Done():
	}
	return false
}

// connCount returns the number of connections with a slot.
func (f *Front) connCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// advanceShutdown calls change, which changes the stage, with mu held, and makes all connections check the stage.
func (f *Front) advanceShutdown(change func()) {
	f.mu.Lock()
	change()
	f.mu.Unlock()
	f.wakeAll()
}

// closeListener starts the stage in which no connection is accepted and idle ones end. The caller holds mu.
func (f *Front) closeListener() {
	f.shutdown.closeIdle = true
	if f.listener == nil {
		return
	}
	err := f.listener.Close()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		f.log.Warn("closing the listener failed", "error", err)
	}
}

// ended returns a channel that is closed once Serve has returned and all connections have ended.
func (f *Front) ended() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		<-f.serveEnded
		f.wg.Wait()
		close(done)
	}()
	return done
}

// wakeAll wakes all connections.
func (f *Front) wakeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.wakeUp()
	}
}

// wakeUp makes the serve loop check the stage and eviction again. It does not block.
func (c *conn) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// stage returns the stage of the shutdown or of the drain, whichever is further.
func (f *Front) stage() shutdownStage {
	f.mu.Lock()
	defer f.mu.Unlock()
	stage := f.shutdown
	if f.drain.AnnouncesClose() {
		stage.announceClose = true
	}
	if f.drain.ClosesIdle(time.Now()) {
		stage.closeIdle = true
	}
	return stage
}
