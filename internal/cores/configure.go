package cores

import (
	"errors"
	"sync/atomic"
	"time"

	"mothrouter/internal/broker"
)

// Configure takes a change into force in all workers, and returns once it is. Each worker applies it whole at one
// point of its loop, and the shared open cap is resized at that of the last of them. So for the short while in which
// the loops come to it, queries of some workers are taken under the new classes and those of others under the old
// ones, all within the old cap; no query is taken or ends under a mixture of classes. A worker that has died has no
// say. After an error all workers have the settings before: what may change is the same for each, so one that refuses
// is not alone.
func (g *Group) Configure(c broker.Change) error {
	g.configuring.Lock()
	defer g.configuring.Unlock()
	var living []*worker
	for _, w := range g.workers {
		if !w.dead.Load() {
			living = append(living, w)
		}
	}
	var left atomic.Int64
	left.Store(int64(len(living)))
	applied := func() {
		if left.Add(-1) == 0 {
			g.open.Resize(c.ConcurrencyLimit)
		}
	}
	var waits []func() error
	for _, w := range living {
		waits = append(waits, w.b.ConfigureAsync(c, applied))
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
	g.open.Resize(c.ConcurrencyLimit) // one that has died meanwhile has not counted
	return nil
}

// LongestDeadline is the longest deadline of a class in force, or of one that a query which is held was taken under.
func (g *Group) LongestDeadline() (longest time.Duration) {
	for _, w := range g.workers {
		if !w.dead.Load() {
			longest = max(longest, w.b.LongestDeadline())
		}
	}
	return longest
}
