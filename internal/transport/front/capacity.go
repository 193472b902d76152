package front

import (
	"time"
)

// rejectOverCapacity answers 503 on a connection that got no slot. Closing it with its request unread would reset the
// connection and lose the answer, so it lingers. At most maxRejecting connections do so concurrently, since descriptors are
// scarce; more are closed without an answer.
func (f *Front) rejectOverCapacity(c *conn) {
	select {
	case f.rejectSlots <- struct{}{}:
	default:
		c.sock.Close()
		return
	}
	f.wg.Go(func() {
		defer func() { <-f.rejectSlots }()
		defer c.startReader()()
		defer c.flow.Close()
		c.rejectAndClose(errOverCapacity)
	})
}

// admit takes a slot for a new connection. If none is free, it evicts a connection that awaits no answer, so that clients that
// send nothing, send half a request or never close cannot lock out others: only requests in flight can use up the slots.
func (f *Front) admit() bool {
	select {
	case f.slots <- struct{}{}:
		return true
	default:
	}
	if !f.evictOne() {
		return false
	}
	wait := time.NewTimer(evictionTimeout)
	defer wait.Stop()
	select {
	case f.slots <- struct{}{}:
		return true
	case <-wait.C:
		return false
	}
}

// reserveBuffer reserves n bytes of requests for a connection, in place of what it had reserved, and reports whether the sum of
// all connections stays within MaxBufferedBytes. If it does not, nothing changes. A reservation that does not grow always
// succeeds. This bounds the memory of many large requests, each of which is within its own limit.
func (f *Front) reserveBuffer(c *conn, n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	grows := n > c.reservedBytes
	sum := f.bufferedBytes + n - c.reservedBytes
	if grows && sum > f.opt.MaxBufferedBytes {
		return false
	}
	f.bufferedBytes, c.reservedBytes = sum, n
	return true
}
