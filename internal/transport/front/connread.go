package front

import (
	"errors"
	"os"
	"time"
)

// readResult is the result of one read.
type readResult struct {
	n   int
	err error
	at  time.Time
}

// startRead starts a read unless one is in progress. It returns false where there is no memory for more of a request: the
// connection has ended.
func (c *conn) startRead() bool {
	if c.reading {
		return true
	}
	buffer := c.nextBuffer()
	if !c.front.reserveBuffer(c, c.bufferedBytes()) && c.request == nil {
		c.rejectAndClose(errBufferFull)
		return false
	}
	c.readBuffers <- buffer
	c.reading = true
	return true
}

// startReader starts the reader; the returned function ends it, and the connection.
func (c *conn) startReader() (end func()) {
	c.readBuffers, c.readResults = make(chan []byte, 1), make(chan readResult, 1)
	go func() {
		for p := range c.readBuffers {
			n, err := c.sock.Read(p)
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				c.disconnected.Store(true)
			}
			c.readResults <- readResult{n, err, time.Now()}
		}
	}()
	return func() {
		c.sock.Close()
		close(c.readBuffers)
	}
}

// nextBuffer returns the slice for the next read. Pipelined bytes are kept up to the size of one request. Beyond that they are
// read and discarded, so that the client's close is still detected, and the connection ends after the answer.
func (c *conn) nextBuffer() []byte {
	c.discarding = c.reader.Full()
	if c.discarding {
		c.closeAfter = true
		return make([]byte, discardSize)
	}
	return c.reader.Grow()
}

// onRead processes the result of a read. It returns false where the connection has ended.
func (c *conn) onRead(e readResult) bool {
	c.reading = false
	if !c.discarding {
		c.reader.Advance(e.n)
		c.received.add(e.n, e.at)
	} else if c.discarded += e.n; c.discarded > maxPipelinedBytes {
		c.front.core.Disconnect(c.request)
		c.rejectAndClose(errTooMuchPipelined)
		return false
	}
	if e.err != nil && !errors.Is(e.err, os.ErrDeadlineExceeded) {
		if c.request != nil {
			c.front.core.Disconnect(c.request)
		}
		return false
	}
	return true
}

// interruptRead ends the read in progress and returns how many bytes it received. ok is false where the connection has ended.
func (c *conn) interruptRead() (n int, ok bool) {
	if !c.reading {
		return 0, true
	}
	c.sock.SetReadDeadline(time.Unix(1, 0))
	e := <-c.readResults
	c.sock.SetReadDeadline(time.Time{})
	return e.n, c.onRead(e)
}

// bufferedBytes returns how many bytes of requests the connection holds beyond the maxIdleBuffer that each may.
func (c *conn) bufferedBytes() int {
	n := c.reader.Buffered()
	if c.request != nil {
		n += len(c.request.Payload)
	}
	return max(n-maxIdleBuffer, 0)
}
