package front

import (
	"container/list"
	"net"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/drain"
	"mothrouter/internal/transport/fairqueue"
	"mothrouter/internal/transport/httpwire"
	"mothrouter/internal/transport/presence"
)

// conn is one client connection. Its serve goroutine owns it; a second goroutine only reads. Input is processed in turns, so that
// what one client sends cannot delay the others.
type conn struct {
	front *Front
	sock  net.Conn
	flow  *fairqueue.Flow    // grants the turns in which input is processed
	reply chan broker.Result // cap 1: a connection has one query at a time
	wake  chan struct{}      // wakes serve: the stage of a shutdown or drain has changed, or the connection is evicted

	reader       httpwire.RequestReader
	readCommands chan readCommand  // to the reading goroutine
	readResults  chan readResult   // from the reading goroutine
	reading      bool              // a read is in progress
	readingEnded bool              // no further read is started: only requests that have been read are served
	readPaused   bool              // no read is started until readTimer fires
	readTimer    *time.Timer       // nil until needed
	drained      bool              // the latest read has left nothing behind
	discarding   bool              // the bytes of the read in progress will be discarded
	discard      []byte            // for bytes that are discarded; nil until needed
	unparsed     bool              // reader may hold another complete request
	readLog      readLog           // when the bytes of requests were received
	presence     *presence.Tracker // whether the client has closed the connection

	request        *broker.Request // in flight; nil: none
	unsubmitted    bool            // request waits until all that its client had sent has been read
	closeAfter     bool            // the connection closes after the answer to request
	discardedBytes int             // pipelined bytes discarded after request
	hadRequest     bool            // a complete request has been received
	receiving      bool            // part of the next request has been received
	timer          *time.Timer     // idleTimeout, requestTimeout or FirstRequestTimeout, whichever applies
	expired        bool            // timer has fired
	out            []byte          // buffer for answers

	// The front's mu guards these.
	list          *list.List // the list of Front that contains it; nil: none, such as while a request is in flight
	element       *list.Element
	listedAt      time.Time
	evicted       bool // the connection must end to free its slot
	reservedBytes int  // bytes of requests in its buffers, as counted in Front.bufferedBytes
}

func newConn(f *Front, sock net.Conn) *conn {
	return &conn{
		front:    f,
		sock:     sock,
		flow:     f.scheduler.NewFlow(),
		reply:    make(chan broker.Result, 1),
		wake:     make(chan struct{}, 1),
		drained:  true,
		presence: presence.NewTracker(sock),
	}
}

// Finish implements broker.Client.
func (c *conn) Finish(r broker.Result) { c.reply <- r }

// serve serves the connection until it ends. A read is always in progress, so that the reading goroutine detects at once that
// a waiting client has closed the connection.
func (c *conn) serve() {
	defer c.startReader()()
	defer c.flow.Close()
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

// awaitEvent waits for the next event: a read, an answer, a turn, a timeout, or a wake-up. It returns false if the connection has
// ended.
func (c *conn) awaitEvent() bool {
	c.flow.Release(fairqueue.RequestCost(0)) // a turn is not kept while the connection waits
	select {
	case r := <-c.readResults:
		return c.onRead(r)
	case r := <-c.reply:
		return c.onResult(r)
	case <-c.flow.Granted():
		c.flow.Begin()
	case <-c.readResumes():
		c.readPaused = false
	case <-c.timer.C:
		c.expired = c.request == nil
	case <-c.wake:
	}
	return true
}

// onResult answers the request in flight. It returns false if the connection has ended.
func (c *conn) onResult(r broker.Result) bool {
	resp := responseTo(r, c.closeAfter)
	c.front.opt.Metrics.RecordResponse(c.request.Class, resp.Status)
	open := c.write(resp)
	c.request = nil
	c.readPaused = false
	if !open {
		c.linger()
		return false
	}
	c.front.reserveBuffer(c, c.heldBytes(c.reader.Buffered()))
	c.front.markIdle(c)
	c.timer.Reset(idleTimeout)
	return true
}

// advance serves the requests that have been received, until one is in flight, a turn must be awaited or more bytes must be
// received first, and then ends the connection if it must end. It returns false if the connection has ended.
func (c *conn) advance() bool {
	for {
		if !c.serveRequests() {
			return false
		}
		if c.request != nil || c.flow.Waiting() {
			return true
		}
		c.noteReceiving()
		evicted := c.front.isEvicted(c)
		if !evicted && !c.mustEnd() {
			return true
		}
		// The connection ends between requests. A request that has already been read from the socket is served, since the
		// client could not know that it was dropped. A request that arrives later is never read, and the client resends it.
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

// mustEnd reports whether a connection between requests must end: its timer has fired, or a shutdown or drain requires it.
func (c *conn) mustEnd() bool {
	if c.expired {
		return true
	}
	stage := c.front.stage()
	return stage.closeAll || stage.closeIdle && !c.receiving
}

// serveRequests serves requests, each in a turn of its own, until one is in flight, a turn must be awaited or more bytes must be
// received first. It returns false if the connection has ended.
func (c *conn) serveRequests() bool {
	c.submit()
	for c.request == nil && c.unparsed {
		if !c.flow.Acquire() {
			return true
		}
		if !c.serveNext() {
			return false
		}
	}
	return true
}

// serveNext processes the next request in the turn that has begun. The answer is written after the turn, since the write may
// block. It returns false if the connection has ended.
func (c *conn) serveNext() bool {
	unread := c.reader.Unread()
	req, err := c.reader.Next()
	c.unparsed = req != nil && c.reader.Unread() > 0
	var resp *httpwire.Response
	if req != nil {
		c.noteRequest()
		resp = c.handle(req)
	}
	c.flow.Release(fairqueue.RequestCost(unread - c.reader.Unread()))
	switch {
	case err != nil:
		c.rejectAndClose(err)
		return false
	case req == nil:
		return !c.reader.ExpectsContinue() || c.send([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	case resp == nil:
		c.submit()
		return true
	}
	if !c.write(*resp) {
		c.linger()
		return false
	}
	c.front.markIdle(c)
	return true
}

// noteRequest records that a complete request has been received.
func (c *conn) noteRequest() {
	c.hadRequest = true
	c.receiving = false
	c.expired = false
	c.timer.Reset(idleTimeout)
	c.front.markBusy(c)
}

// submit submits the query that waits, once everything that its client had sent has been read: the client's close could stand
// behind it, and nothing may be sent on for a client that has left.
func (c *conn) submit() {
	if c.unsubmitted && (c.drained || c.readingEnded) {
		c.unsubmitted = false
		c.front.core.Submit(c.request, c)
	}
}

// noteReceiving records that part of the next request has been received, and limits the time to receive the rest.
func (c *conn) noteReceiving() {
	if c.receiving || !c.reader.Receiving() {
		return
	}
	c.front.markReceiving(c)
	c.receiving = true
	c.expired = false
	if c.hadRequest { // the timeout of the first request runs from the start of the connection
		c.timer.Reset(requestTimeout)
	}
}

// endBetweenRequests rejects a request received in part. Without one, it lingers unless the slot is needed now.
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
