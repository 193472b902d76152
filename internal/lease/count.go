package lease

import "sync/atomic"

// Count is a budget of which each unit is held and given back, such as the queries and parts held or the
// descriptors. Workers draw on one counter: what one does not use, another may, and the sum is exact at any time.
// It may be used by several goroutines.
type Count struct {
	whole atomic.Int64
	used  atomic.Int64
}

// NewCount returns a budget of so many units; 0: it has no bound.
func NewCount(whole int) *Count {
	c := &Count{}
	c.Resize(whole)
	return c
}

// Resize changes the budget; 0: it has no bound. What is held beyond a smaller one stays held, and none is taken until
// enough of it has been given back.
func (c *Count) Resize(whole int) { c.whole.Store(int64(whole)) }

// Take takes n units, all or nothing.
func (c *Count) Take(n int) bool {
	if whole := c.whole.Load(); c.used.Add(int64(n)) > whole && whole > 0 {
		c.used.Add(-int64(n))
		return false
	}
	return true
}

// Give gives n units back.
func (c *Count) Give(n int) { c.used.Add(-int64(n)) }

// Used is how many units are held.
func (c *Count) Used() int { return int(c.used.Load()) }
