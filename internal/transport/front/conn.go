package front

import (
	"container/list"
	"net"
	"sync/atomic"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/drain"
	"mothrouter/internal/transport/httpwire"
)

// conn is one client connection. Its serve goroutine owns it; a second goroutine only reads.
type conn struct {
	front *Front
	sock  net.Conn
	reply chan broker.Result // cap 1: a connection has one query at a time
	wake  chan struct{}      // the front shuts down, or wants this connection's place

	reader       httpwire.RequestReader
	readBuffers  chan []byte     // where the reader reads to
	readResults  chan readResult // what it read
	reading      bool            // a read is out
	discarding   bool            // the read that is out is for bytes that are discarded
	received     readLog         // when the bytes of requests were received
	disconnected atomic.Bool     // the client has gone

	request    *broker.Request // in flight; nil: none
	closeAfter bool            // the connection closes after the answer to it
	discarded  int             // bytes discarded behind it
	hadRequest bool            // a request has come whole
	receiving  bool            // a request has come in part
	timer      *time.Timer     // of the time between requests, or for a request to come whole
	expired    bool            // it has fired
	out        []byte          // buffer for answers

	// The front's mu guards these.
	list     *list.List // that it stands in; nil: it has a request in flight
	element  *list.Element
	listedAt time.Time
	evicted  bool // its place is wanted
	reserved int  // bytes of requests that it holds
}

// Finish implements broker.Client.
func (c *conn) Finish(r broker.Result) { c.reply <- r }

// serve drives the connection until it ends. One read is always out, so that a client that goes away while it waits is
// noticed: at once, on the reader's goroutine, whatever else is going on.
func (c *conn) serve() {
	defer c.startReader()()
	timeout := FirstRequestTimeout
	if c.front.stage().closeIdle {
		timeout = drain.LastRequestTimeout
	}
	c.timer = time.NewTimer(timeout)
	defer c.timer.Stop()
	for open := true; open; {
		open = c.startRead() && c.awaitEvent() && c.advance()
	}
}

// awaitEvent waits for the next event: bytes, an answer, a time-out, or a wake-up. It returns false where the connection
// has ended.
func (c *conn) awaitEvent() bool {
	select {
	case r := <-c.readResults:
		return c.onRead(r)
	case r := <-c.reply:
		return c.onResult(r)
	case <-c.timer.C:
		c.expired = c.request == nil
	case <-c.wake:
	}
	return true
}

// onResult answers the request in flight. It returns false where the connection has ended.
func (c *conn) onResult(r broker.Result) bool {
	resp := responseTo(r, c.closeAfter)
	c.front.opt.Metrics.RecordResponse(c.request.Class, resp.Status)
	open := c.write(resp)
	c.request = nil
	if !open {
		c.linger()
		return false
	}
	c.front.reserveBuffer(c, c.bufferedBytes())
	c.front.markIdle(c)
	c.timer.Reset(idleTimeout)
	return true
}

// advance serves what has been received and then ends the connection if it should end, until it waits for something. It
// returns false where the connection has ended.
func (c *conn) advance() bool {
	for {
		if !c.serveRequests() {
			return false
		}
		if c.request != nil {
			return true
		}
		c.noteReceiving()
		stage, evicted := c.front.stage(), c.front.isEvicted(c)
		ends := c.expired || evicted || stage.closeAll || stage.closeIdle && !c.receiving
		if !ends {
			return true
		}
		// It ends between requests. What the reader has taken off the socket by now is served all the same, since its client
		// cannot know that it was dropped. What comes later was never read, and is sent once more.
		n, ok := c.interruptRead()
		if !ok {
			return false
		}
		if n == 0 {
			c.endBetweenRequests(evicted)
			return false
		}
	}
}

// serveRequests serves requests until one is in flight or more bytes must come first. It returns false where the connection
// has ended.
func (c *conn) serveRequests() bool {
	for c.request == nil {
		req, err := c.reader.Next()
		if err != nil {
			c.rejectAndClose(err)
			return false
		}
		if req == nil {
			return !c.reader.ExpectsContinue() || c.send([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		c.hadRequest, c.receiving, c.expired = true, false, false
		c.timer.Reset(idleTimeout)
		c.front.markBusy(c)
		if !c.handle(req) {
			c.linger()
			return false
		}
		if c.request == nil {
			c.front.markIdle(c)
		}
	}
	return true
}

// noteReceiving notes that a further request has begun to come, and limits the time for it to come whole.
func (c *conn) noteReceiving() {
	if c.receiving || !c.reader.Receiving() {
		return
	}
	c.front.markReceiving(c)
	c.receiving, c.expired = true, false
	if c.hadRequest { // the first one's time counts from the start
		c.timer.Reset(requestTimeout)
	}
}

func (c *conn) endBetweenRequests(evicted bool) {
	switch {
	case c.receiving && evicted:
		c.rejectEvicted()
	case c.receiving:
		c.rejectAndClose(errRequestTimeout)
	case !evicted:
		c.linger()
	}
}
