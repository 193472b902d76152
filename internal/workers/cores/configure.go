package cores

import (
	"errors"
	"sync/atomic"
	"time"

	"mothrouter/internal/broker"
)

// Configure applies a change to all workers, and returns once it is in force. Each worker applies it at one point of its
// loop, and the shared limit is resized at that of the last of them. So for the short while in which the loops come to it,
// queries of some workers are accepted under the new classes and those of others under the old ones, all within the old
// limit; no query is served under a mixture of classes. A worker that has panicked has no say. After an error all workers
// have the settings before: what may change is the same for each, so one that refuses is not alone.
func (g *Group) Configure(c broker.Change) error {
	g.configuring.Lock()
	defer g.configuring.Unlock()
	var living []*worker
	for _, w := range g.workers {
		if !w.dead.Load() {
			living = append(living, w)
		}
	}
	var pending atomic.Int64
	pending.Store(int64(len(living)))
	applied := func() {
		if pending.Add(-1) == 0 {
			g.limiter.Resize(c.ConcurrencyLimit)
		}
	}
	var waits []func() error
	for _, w := range living {
		waits = append(waits, w.broker.ConfigureAsync(c, applied))
	}
	inForce := 0
	for _, wait := range waits {
		switch err := wait(); {
		case err == nil:
			inForce++
		case !errors.Is(err, broker.ErrEnded):
			return err
		}
	}
	if inForce == 0 {
		return broker.ErrEnded
	}
	g.limiter.Resize(c.ConcurrencyLimit) // one that has panicked meanwhile has not counted
	return nil
}

// LongestDeadline is the longest deadline of a class in force, or of one that a query in flight was accepted under.
func (g *Group) LongestDeadline() (longest time.Duration) {
	for _, w := range g.workers {
		if !w.dead.Load() {
			longest = max(longest, w.broker.LongestDeadline())
		}
	}
	return longest
}
