package front

import (
	"container/list"
	"time"
)

// evictOne evicts the connection that is least likely to have a request under way, and reports whether it found one.
func (f *Front) evictOne() bool {
	switch {
	case f.evict(&f.lingering, 0):
	case f.evict(&f.newConns, newConnGrace):
	case f.evict(&f.idleConns, 0):
	case f.evict(&f.newConns, 0):
	case f.evict(&f.receiving, 0):
	default:
		return false
	}
	return true
}

// evict asks the first connection of a list to end, if it has been there for minAge, and reports whether it did. The
// connection ends itself: only its own goroutine knows whether a request has just been read.
func (f *Front) evict(l *list.List, minAge time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := l.Front()
	if first == nil {
		return false
	}
	c := first.Value.(*conn)
	if time.Since(c.listedAt) < minAge {
		return false
	}
	f.moveTo(c, nil)
	c.evicted = true
	c.wakeUp()
	return true
}

// isEvicted reports whether a connection must end to free its slot.
func (f *Front) isEvicted(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.evicted
}

// markLingering adds a connection to the lingering ones, unless it has no slot to free.
func (f *Front) markLingering(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, hasSlot := f.conns[c]; hasSlot {
		f.moveTo(c, &f.lingering)
	}
}

// markReceiving records that a request has been received in part. After an earlier request, its connection is the last to be
// evicted.
func (f *Front) markReceiving(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.list != &f.newConns {
		f.moveTo(c, &f.receiving)
		c.evicted = false
	}
}

// moveTo moves a connection to the end of a list, or, with nil, out of its own. The caller holds mu.
func (f *Front) moveTo(c *conn, l *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list = l
	if l == nil {
		return
	}
	c.listedAt = time.Now()
	c.element = l.PushBack(c)
}

// markIdle adds a connection to those between requests, and evicts the longest idle one above MaxIdleConns. The clients share a
// bound on connections to a broker: without eviction, some that send one request and stay connected would lock the others out.
func (f *Front) markIdle(c *conn) {
	f.mu.Lock()
	if !c.evicted {
		f.moveTo(c, &f.idleConns)
	}
	many := f.opt.MaxIdleConns > 0 && f.idleConns.Len() > f.opt.MaxIdleConns
	f.mu.Unlock()
	if many {
		f.evict(&f.idleConns, 0)
	}
}

// markBusy removes a connection from the lists, since its request is complete, and revokes an eviction.
func (f *Front) markBusy(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moveTo(c, nil)
	c.evicted = false
}
