package front

import (
	"errors"
	"os"
	"time"
)

// readResult is the result of one read.
type readResult struct {
	n          int // bytes received, also with an error
	err        error
	returnedAt time.Time // when the read returned
}

// startRead starts a read unless one is in progress or reading has ended. If MaxBufferedBytes leaves no memory for more of a
// request, it ends the connection and returns false.
func (c *conn) startRead() bool {
	if c.reading || c.readingEnded {
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

// startReader starts the reading goroutine. The returned function closes the connection, which ends the goroutine.
func (c *conn) startReader() (end func()) {
	c.readBuffers = make(chan []byte, 1)
	c.readResults = make(chan readResult, 1)
	go c.readLoop()
	return func() {
		c.sock.Close()
		close(c.readBuffers)
	}
}

// readLoop reads into each buffer from readBuffers until the channel is closed. An error other than the deadline that
// interruptRead sets marks the client as disconnected.
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

// onRead processes the result of a read. It returns false if the connection has ended.
func (c *conn) onRead(r readResult) bool {
	c.reading = false
	if c.discarding {
		c.discardedBytes += r.n
	} else {
		c.reader.Advance(r.n)
		c.readLog.add(r.n, r.returnedAt)
	}
	if c.discarding && c.discardedBytes > maxPipelinedBytes {
		c.front.core.Disconnect(c.request)
		c.rejectAndClose(errTooMuchPipelined)
		return false
	}
	if r.err != nil && !errors.Is(r.err, os.ErrDeadlineExceeded) {
		if c.request != nil {
			c.front.core.Disconnect(c.request)
		}
		return false
	}
	return true
}

// interruptRead ends the read in progress and returns how many bytes it received. ok is false if the connection has ended.
func (c *conn) interruptRead() (n int, ok bool) {
	if !c.reading {
		return 0, true
	}
	c.sock.SetReadDeadline(time.Unix(1, 0))
	r := <-c.readResults
	c.sock.SetReadDeadline(time.Time{})
	return r.n, c.onRead(r)
}

// bufferedBytes returns how many bytes of requests the connection holds beyond the maxIdleBuffer that every one may hold.
func (c *conn) bufferedBytes() int {
	n := c.reader.Buffered()
	if c.request != nil {
		n += len(c.request.Payload)
	}
	return max(n-maxIdleBuffer, 0)
}
