package front

import (
	"errors"
	"os"
	"time"

	"mothrouter/internal/transport/fairqueue"
)

// startRead starts a read unless one is in progress, reading has ended or pauses, or what was read waits for a turn. If
// MaxBufferedBytes leaves no memory for more of a request, it ends the connection and returns false.
func (c *conn) startRead() bool {
	if c.reading || c.readingEnded || c.readPaused || c.request == nil && c.flow.Waiting() {
		return true
	}
	reserved := !c.reader.Full() && c.reserveNext()
	if c.request == nil && !reserved {
		c.rejectAndClose(errBufferFull)
		return false
	}
	c.discarding = !reserved
	if (c.discarding || c.unsubmitted) && !c.acquireReadTurn() {
		return true
	}
	if c.discarding {
		c.closeAfter = true
		c.read(readCommand{buffer: c.discardBuffer(), total: discardSize})
		return true
	}
	c.read(readCommand{buffer: c.reader.Grow()})
	return true
}

// acquireReadTurn takes a turn for a read of bytes that are not served, and reports whether it has begun. The turn ends at once: its
// only purpose is the order of reads.
func (c *conn) acquireReadTurn() bool {
	begun := c.flow.Acquire()
	c.flow.Release(fairqueue.RequestCost(discardSize))
	return begun
}

// read passes a command to the reading goroutine, which must not be reading. The read must not block if the latest one may have
// left something behind: a query may wait to know that there is nothing.
func (c *conn) read(command readCommand) {
	command.probe = !c.drained
	c.readCommands <- command
	c.reading = true
}

// discardBuffer returns a buffer for bytes that are not kept. Pipelined bytes are kept up to the size of one request. Beyond that
// they are read and discarded, so that the client's close is still detected, and the connection ends after the answer.
func (c *conn) discardBuffer() []byte {
	if c.discard == nil {
		c.discard = make([]byte, discardBufferSize)
	}
	return c.discard
}

// reserveNext reserves the memory of the next read and reports whether it is available.
func (c *conn) reserveNext() bool {
	return c.front.reserveBuffer(c, c.heldBytes(c.reader.BufferedAfterGrow()))
}

// heldBytes returns how many bytes of requests the connection holds beyond the maxIdleBuffer that every one may hold, if its
// reader holds buffered bytes.
func (c *conn) heldBytes(buffered int) int {
	if c.request != nil {
		buffered += len(c.request.Payload)
	}
	return max(buffered-maxIdleBuffer, 0)
}

// onRead processes the result of a read. It returns false if the connection has ended.
func (c *conn) onRead(r readResult) bool {
	c.reading = false
	c.drained = r.drained
	c.flow.Charge(readTime + readTimeKB*time.Duration(r.n>>10))
	if c.discarding {
		c.discardedBytes += r.n
	} else if r.n > 0 {
		c.reader.Advance(r.n)
		c.readLog.add(r.n, r.returnedAt)
		c.unparsed = true
	}
	if r.n > 0 && r.n < smallRead && c.request != nil && !c.unsubmitted {
		c.pauseReading()
	}
	if c.discarding && c.discardedBytes > maxPipelinedBytes {
		c.disconnect()
		c.rejectAndClose(errTooMuchPipelined)
		return false
	}
	if r.err != nil && !errors.Is(r.err, os.ErrDeadlineExceeded) {
		c.disconnect()
		return false
	}
	return true
}

// pauseReading starts no read for smallReadPause, so that bytes that come one by one behind a request in flight, and are read without
// a turn, wake the process rarely.
func (c *conn) pauseReading() {
	c.readPaused = true
	if c.readTimer == nil {
		c.readTimer = time.NewTimer(smallReadPause)
		return
	}
	c.readTimer.Reset(smallReadPause)
}

// readResumes returns the channel that receives when reading goes on after a pause, nil if it does not pause.
func (c *conn) readResumes() <-chan time.Time {
	if !c.readPaused {
		return nil
	}
	return c.readTimer.C
}

// disconnect ends the query in flight without an answer, if there is one.
func (c *conn) disconnect() {
	if c.request != nil && !c.unsubmitted {
		c.front.core.Disconnect(c.request)
	}
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
