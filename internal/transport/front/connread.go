package front

import (
	"errors"
	"os"
	"time"
)

// readResult is the result of one read.
type readResult struct {
	n   int // bytes received, also with an error
	err error
	at  time.Time // when the read returned
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
	c.readBuffers = make(chan []byte, 1)
	c.readResults = make(chan readResult, 1)
	go c.readLoop()
	return func() {
		c.sock.Close()
		close(c.readBuffers)
	}
}

// readLoop reads to each of readBuffers until the channel is closed. An error other than the deadline that interruptRead sets
// marks the client as disconnected.
func (c *conn) readLoop() {
	for buffer := range c.readBuffers {
		n, err := c.sock.Read(buffer)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.disconnected.Store(true)
		}
		c.readResults <- readResult{n, err, time.Now()}
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
	if c.discarding {
		c.discarded += e.n
	} else {
		c.reader.Advance(e.n)
		c.received.add(e.n, e.at)
	}
	if c.discarding && c.discarded > maxPipelinedBytes {
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
