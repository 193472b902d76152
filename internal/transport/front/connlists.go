package front

import (
	"container/list"
	"time"
)

// evictOne evicts the connection that is least likely to be sending a request, and reports whether it found one.
func (f *Front) evictOne() bool {
	switch {
	case f.evict(&f.lingeringConns, 0):
	case f.evict(&f.newConns, newConnGrace):
	case f.evict(&f.idleConns, 0):
	case f.evict(&f.newConns, 0):
	case f.evict(&f.receivingConns, 0):
	default:
		return false
	}
	return true
}

// evict asks the first connection of a list to end, if it has been in the list for minAge, and reports whether it did. The
// connection ends itself, since only its own goroutine knows whether a request has just been read.
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

// markLingering adds a connection to the lingering ones, if it has a slot to free.
func (f *Front) markLingering(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, hasSlot := f.conns[c]; hasSlot {
		f.moveTo(c, &f.lingeringConns)
	}
}

// markReceiving records that part of a request has been received. If it is not the first of its connection, the connection
// joins those that are evicted last.
func (f *Front) markReceiving(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.list != &f.newConns {
		f.moveTo(c, &f.receivingConns)
		c.evicted = false
	}
}

// moveTo moves a connection to the end of a list; with nil it only removes it from its current one. The caller holds mu.
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

// markIdle adds a connection to those between requests, and evicts the one that is idle longest if there are more than
// MaxIdleConns. Clients share a limit on connections to a broker: without eviction, clients that send one request and stay
// connected would lock the others out.
func (f *Front) markIdle(c *conn) {
	f.mu.Lock()
	if !c.evicted {
		f.moveTo(c, &f.idleConns)
	}
	tooMany := f.opt.MaxIdleConns > 0 && f.idleConns.Len() > f.opt.MaxIdleConns
	f.mu.Unlock()
	if tooMany {
		f.evict(&f.idleConns, 0)
	}
}

// markBusy removes a connection from the lists, since a complete request has been received, and revokes an eviction.
func (f *Front) markBusy(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moveTo(c, nil)
	c.evicted = false
}
