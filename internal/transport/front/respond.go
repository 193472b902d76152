package front

import (
	"errors"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/transport/httpwire"
)

// Errors that are sent to clients, with their HTTP statuses.
var (
	errRequestTimeout   = &httpwire.Error{Status: 408, Reason: "the request did not come whole in time"}
	errTooMuchPipelined = &httpwire.Error{Status: 413, Reason: "too much came behind a request that is not answered yet"}
	errOverCapacity     = &httpwire.Error{Status: 503, Reason: "too many requests are held"}
	errBufferFull       = &httpwire.Error{Status: 503, Reason: "no room for a request of this size now"}
)

// handle returns the response to a request, or nil if it is a query for the broker, which becomes the request in flight.
func (c *conn) handle(req *httpwire.Request) *httpwire.Response {
	resp := &httpwire.Response{Close: req.Close, NoBody: req.Method == "HEAD"}
	class, known := c.front.opt.Classes[req.Class()]
	switch {
	case req.Path == "/up":
		c.setReadiness(resp, req.Method)
	case !known:
		resp.Status = 404
		resp.Body = problem{"no class of query has this name"}
	case req.Method != "POST":
		resp.Status = 405
		resp.Allow = "POST"
	default:
		return c.handleQuery(req, class, resp)
	}
	return resp
}

// setReadiness sets the response to a request for /up: 200 if new clients should connect, else 503.
func (c *conn) setReadiness(resp *httpwire.Response, method string) {
	down, _ := c.front.drainState()
	switch {
	case method != "GET" && method != "HEAD":
		resp.Status = 405
		resp.Allow = "GET, HEAD"
	case down || !c.front.core.Ready():
		resp.Status = 503
	default:
		resp.Status = 200
	}
}

// handleQuery makes a query the request in flight and returns nil. A query that is invalid, or that arrives while a drain rejects
// requests, is answered with resp.
func (c *conn) handleQuery(req *httpwire.Request, class int, resp *httpwire.Response) *httpwire.Response {
	rejects := c.front.RejectsRequests()
	r, err := c.newRequest(req, class)
	if err == nil && !rejects {
		c.request = r
		c.unsubmitted = true
		c.closeAfter = req.Close
		c.discardedBytes = 0
		return nil
	}
	if err != nil {
		resp.Status = statusOf(err)
		resp.Body = problem{err.Error()}
	} else {
		resp.Status = 503
		resp.RetryAfter = c.front.opt.RetryAfter
		resp.Body = problem{"refused: this broker is being drained"}
	}
	c.front.opt.Metrics.RecordResponse(class, resp.Status)
	return resp
}

// newRequest returns the broker's request for a query. Its errors are *httpwire.Error.
func (c *conn) newRequest(req *httpwire.Request, class int) (*broker.Request, error) {
	r, err := httpwire.ParseQuery(req)
	if err != nil {
		return nil, err
	}
	r.Class = class
	r.ReceivedAt = c.readLog.lastByte(c.reader.Unread())
	r.Conn = c.presence
	if err := r.Normalize(c.front.opt.Shards); err != nil {
		return nil, &httpwire.Error{Status: 400, Reason: err.Error()}
	}
	return r, nil
}

// rejectAndClose answers input that cannot be served, and ends the connection.
func (c *conn) rejectAndClose(err error) {
	c.write(c.closingResponse(err))
	c.linger()
}

// rejectEvicted answers a request that was read in part and whose rest will not be read. The slot is needed now, so the
// connection neither lingers nor waits for a client that does not read.
func (c *conn) rejectEvicted() {
	resp := c.closingResponse(errOverCapacity)
	c.sock.SetWriteDeadline(time.Now().Add(evictionTimeout))
	_, _ = c.sock.Write(resp.Append(nil)) // the connection ends whether or not the client reads the answer
}

// statusOf returns the HTTP status for an error of a client's input.
func statusOf(err error) int {
	var e *httpwire.Error
	if errors.As(err, &e) {
		return e.Status
	}
	return 400
}

// closingResponse returns the last answer on a connection whose input cannot be served.
func (c *conn) closingResponse(err error) httpwire.Response {
	resp := httpwire.Response{Status: statusOf(err), Body: problem{err.Error()}, Close: true}
	if resp.Status == 503 {
		resp.RetryAfter = c.front.opt.RetryAfter
	}
	return resp
}

// linger is a lingering close: it closes the sending side and gives the client lingerTimeout to read the answer and to close.
// Closing with bytes unread would reset the connection, and the answer could be lost with it. Bytes received meanwhile are
// discarded. Lingering connections are evicted first, and hold no buffers.
func (c *conn) linger() {
	halfCloser, ok := c.sock.(interface{ CloseWrite() error })
	if !ok || c.presence.Closed() {
		return
	}
	_ = halfCloser.CloseWrite() // fails only if the connection has ended
	if !c.releaseBuffers() {
		return
	}
	c.front.markLingering(c)
	startedAt := time.Now()
	wait := time.NewTimer(c.lingerTimeout())
	defer wait.Stop()
	for remaining := maxLingerBytes; remaining > 0; {
		if !c.reading && c.acquireReadTurn() {
			c.read(readCommand{buffer: c.discardBuffer(), total: discardSize})
		}
		select {
		case <-wait.C:
			return
		case <-c.flow.Granted():
			c.flow.Begin()
		case <-c.wake:
			if c.front.isEvicted(c) {
				return
			}
			wait.Reset(time.Until(startedAt.Add(c.lingerTimeout())))
		case r := <-c.readResults:
			c.reading = false
			c.flow.Charge(readTime + readTimeKB*time.Duration(r.n>>10))
			if r.err != nil {
				return
			}
			remaining -= r.n
		}
	}
}

// releaseBuffers drops what was received and the buffers that held it. It returns false if the client has closed the connection.
func (c *conn) releaseBuffers() bool {
	if c.reading {
		c.sock.SetReadDeadline(time.Unix(1, 0))
		<-c.readResults
		c.reading = false
		c.sock.SetReadDeadline(time.Time{})
	}
	c.reader = httpwire.RequestReader{}
	c.readLog = readLog{}
	c.request, c.out = nil, nil
	c.front.reserveBuffer(c, 0)
	return !c.presence.Closed()
}

// lingerTimeout returns how long the connection lingers, by the stage of the shutdown.
func (c *conn) lingerTimeout() time.Duration {
	if c.front.stage().exit {
		return exitLinger
	}
	return lingerTimeout
}

// problem is the JSON body of a response other than 200.
type problem struct {
	Error string `json:"error"`
}

// responseTo returns the response for the final result of a query.
func responseTo(r broker.Result, closes bool) httpwire.Response {
	resp := httpwire.Response{Close: closes}
	switch r.Outcome {
	case broker.Answered:
		a := httpwire.Answer{Complete: r.Complete, Results: make([]httpwire.PartResult, 0, len(r.Values))}
		for _, v := range r.Values {
			a.Results = append(a.Results, httpwire.PartResult{Partition: v.Shard, Value: string(v.Data)})
		}
		resp.Status = 200
		resp.Body = a
	case broker.Rejected:
		resp.Status = 503
		resp.RetryAfter = r.RetryAfter
		resp.Body = problem{"refused: trying again is harmless"}
	case broker.DeadlineExceeded:
		resp.Status = 504
		resp.Body = problem{"the time is up"}
	case broker.Duplicate:
		resp.Status = 409
		resp.Body = problem{"a query of this id is being served"}
	default:
		resp.Status = 500
		resp.Body = problem{"failed: parts may have run"}
	}
	return resp
}

// write sends a response and reports whether the connection stays open.
func (c *conn) write(resp httpwire.Response) bool {
	if !resp.Close {
		last, ok := c.isLastResponse()
		if !ok {
			return false
		}
		resp.Close = last
	}
	c.out = resp.Append(c.out[:0])
	sent := c.send(c.out)
	if cap(c.out) > maxIdleBuffer {
		c.out = nil
	}
	return sent && !resp.Close
}

// isLastResponse reports whether the response that is about to be written is the connection's last. During a shutdown or
// drain, a request of which bytes have been read is still served: its client could not know that it was dropped. In the last
// stage nothing more is read, so that a client that keeps sending cannot delay the end. ok is false if the client has closed
// the connection.
func (c *conn) isLastResponse() (last, ok bool) {
	stage := c.front.stage()
	if c.closeAfter || !stage.announceClose {
		return c.closeAfter, true
	}
	if _, ok := c.interruptRead(); !ok {
		return true, false
	}
	if stage.closeAll {
		c.readingEnded = true
		c.presence.IgnoreUnread()
	}
	return c.closeAfter || !c.reader.Receiving(), true
}

// send writes b and reports whether all of it was written.
func (c *conn) send(b []byte) bool {
	startedAt := time.Now()
	c.sock.SetWriteDeadline(startedAt.Add(writeTimeout))
	_, err := c.sock.Write(b)
	c.flow.Charge(min(time.Since(startedAt), maxWriteTime))
	if err != nil {
		c.presence.MarkClosed()
	}
	return err == nil
}
