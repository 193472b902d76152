package lease

import "sync/atomic"

// Semaphore is a budget of which each unit is held and given back, such as the queries and parts held or the
// descriptors. Workers draw on one counter: what one does not use, another may, and the sum is exact at any time.
// It may be used by several goroutines.
type Semaphore struct {
	capacity atomic.Int64
	acquired atomic.Int64
}

// NewSemaphore returns a budget of so many units; 0: it has no bound.
func NewSemaphore(capacity int) *Semaphore {
	c := &Semaphore{}
	c.Resize(capacity)
	return c
}

// Resize changes the budget; 0: it has no bound. What is held beyond a smaller one stays held, and none is taken until
// enough of it has been given back.
func (c *Semaphore) Resize(capacity int) { c.capacity.Store(int64(capacity)) }

// TryAcquire takes n units, all or nothing.
func (c *Semaphore) TryAcquire(n int) bool {
	if capacity := c.capacity.Load(); c.acquired.Add(int64(n)) > capacity && capacity > 0 {
		c.acquired.Add(-int64(n))
		return false
	}
	return true
}

// Release gives n units back.
func (c *Semaphore) Release(n int) { c.acquired.Add(-int64(n)) }

// Acquired is how many units are held.
func (c *Semaphore) Acquired() int { return int(c.acquired.Load()) }
