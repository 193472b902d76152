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
}

// Shutdown ends the front in the stages of the plan. First, answers announce that the connection closes, and clients may use
// each connection once more: closing all at once would make every client reconnect at the same moment, perhaps without a broker
// to connect to. Then the listener and idle connections close, the others after their answers. At AnswerBy, connections
// that have received part of a request end too. Shutdown returns when all connections have ended or ctx is done.
func (f *Front) Shutdown(ctx context.Context, plan drain.ShutdownPlan) {
	f.advanceShutdown(func() { f.shutdown.announceClose = true })
	sleep(ctx, plan.CloseIdle-plan.AnnounceClose)
	f.advanceShutdown(f.closeListener)
	closeAllTimer := time.AfterFunc(plan.AnswerBy-plan.CloseIdle, func() {
		f.advanceShutdown(func() { f.shutdown.closeAll = true })
	})
	defer closeAllTimer.Stop()
	select {
	case <-f.ended():
	case <-ctx.Done():
	}
}

// advanceShutdown calls change, which changes the stage, with mu held, and makes all connections check the stage.
func (f *Front) advanceShutdown(change func()) {
	f.mu.Lock()
	change()
	f.mu.Unlock()
	f.wakeAll()
}

// sleep returns after wait, or once ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
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
