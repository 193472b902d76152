package front

import (
	"time"
)

// rejectOverCapacity answers 503 on a connection without a slot. Closing with its request unread would reset the connection and
// lose the answer, so that it lingers; only maxRejecting do at once, since descriptors are short.
func (f *Front) rejectOverCapacity(c *conn) {
	select {
	case f.rejecting <- struct{}{}:
	default:
		c.sock.Close()
		return
	}
	f.wg.Go(func() {
		defer func() { <-f.rejecting }()
		defer c.startReader()()
		c.rejectAndClose(errOverCapacity)
	})
}

// admit takes a slot for one more connection. It guards usual clients against those that connect and send nothing, send half
// a request or never close: such a connection, which awaits no answer, is evicted where no slot is free. Only requests in
// flight can fill the front.
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

// reserveBuffer sets the bytes of requests that a connection holds, and reports whether the sum stays within MaxBufferedBytes;
// fewer than before always do. It bounds the memory of many large requests, each of which is within its own bound.
func (f *Front) reserveBuffer(c *conn, n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	grows := n > c.reserved
	f.bufferedBytes += n - c.reserved
	c.reserved = n
	return !grows || f.bufferedBytes <= f.opt.MaxBufferedBytes
}
