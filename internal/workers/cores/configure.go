package cores

import (
	"errors"
	"sync/atomic"
	"time"

	"mothrouter/internal/broker"
)

// Configure applies a change to all workers, and returns once it is in force. Each worker applies it at one point of its loop,
// and the last worker to do so resizes the shared limit. Until then some workers accept queries under the new classes and
// others under the old ones, all within the old limit; no query is served under a mixture of old and new settings. Workers that
// have panicked are skipped. If Configure returns an error, all workers keep their previous settings: the rules for changes are
// the same for each worker, so either all workers reject a change or none does.
func (g *Group) Configure(c broker.Change) error {
	g.configureMu.Lock()
	defer g.configureMu.Unlock()
	var alive []*worker
	for _, w := range g.workers {
		if !w.dead.Load() {
			alive = append(alive, w)
		}
	}
	var pending atomic.Int64
	pending.Store(int64(len(alive)))
	applied := func() {
		if pending.Add(-1) == 0 {
			g.limiter.Resize(c.ConcurrencyLimit)
		}
	}
	var waits []func() error
	for _, w := range alive {
		waits = append(waits, w.broker.ConfigureAsync(c, applied))
	}
	appliedCount := 0
	for _, wait := range waits {
		switch err := wait(); {
		case err == nil:
			appliedCount++
		case !errors.Is(err, broker.ErrEnded):
			return err
		}
	}
	if appliedCount == 0 {
		return broker.ErrEnded
	}
	// A worker that panicked during the change has not called applied, so pending may not have reached 0.
	g.limiter.Resize(c.ConcurrencyLimit)
	return nil
}

// LongestDeadline returns the longest deadline of the classes in force and of those under which queries in flight were
// accepted.
func (g *Group) LongestDeadline() (longest time.Duration) {
	for _, w := range g.workers {
		if !w.dead.Load() {
			longest = max(longest, w.broker.LongestDeadline())
		}
	}
	return longest
}
