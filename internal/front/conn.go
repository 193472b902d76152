package front

import (
	"container/list"
	"errors"
	"net"
	"time"

	"cloverhook/internal/broker"
	"cloverhook/internal/drain"
	"cloverhook/internal/httpwire"
)

// conn is one client connection. Its serve goroutine owns it; a second goroutine only reads.
type conn struct {
	f       *Front
	sock    net.Conn
	reader  httpwire.RequestReader
	out     []byte
	reply   chan broker.Result // cap 1: a connection has one query at a time
	wake    chan struct{}      // the front ends
	spaces  chan []byte        // where the reader reads to
	ends    chan readEnd       // what it read
	reading bool               // a read is out
	held    *broker.Request    // nil: none
	closes  bool               // the held request's client ends the connection after it

	// The front's mu guards these.
	in       *list.List // that it stands in; nil: it holds a request
	at       *list.Element
	since    time.Time // when it came there
	evicted  bool      // closed to make room
	buffered int       // bytes of requests that it holds
}

// Finish is called by the core's loop.
func (c *conn) Finish(r broker.Result) { c.reply <- r }

type readEnd struct {
	n   int
	err error
}

// serve drives the connection until it ends. One read is always out, so that a client that goes away while
// it waits is noticed.
func (c *conn) serve() {
	c.spaces, c.ends = make(chan []byte, 1), make(chan readEnd, 1)
	go func() {
		for p := range c.spaces {
			n, err := c.sock.Read(p)
			c.ends <- readEnd{n, err}
		}
	}()
	defer close(c.spaces)
	defer c.sock.Close()
	limit := FirstLimit
	if _, ending := c.f.state(); ending {
		limit = drain.LastAnswers
	}
	idle := time.NewTimer(limit)
	defer idle.Stop()
	first, started := true, false // no request has come whole; one has begun to come
	for {
		if !c.reading && !c.reader.Full() {
			space := c.reader.Space()
			if !c.f.buffer(c, c.holds()) && c.held == nil {
				c.refuse(errNoRoom)
				return
			}
			c.spaces <- space
			c.reading = true
		}
		select {
		case e := <-c.ends:
			c.reading = false
			c.reader.Filled(e.n)
			if e.err != nil {
				if c.held != nil {
					c.f.core.Leave(c.held)
				}
				return
			}
			if !started && c.held == nil {
				if started = true; !first {
					idle.Reset(wholeLimit)
				}
			}
		case r := <-c.reply:
			resp := result(r, c.closes)
			c.f.opt.Tally.Ended(c.held.Class, resp.Status)
			ok := c.write(resp)
			c.held = nil
			if !ok {
				return
			}
			c.f.buffer(c, c.holds())
			c.f.rest(c)
			started = false
			idle.Reset(idleLimit)
		case <-idle.C:
			if c.held != nil {
				continue
			}
			if started {
				c.refuse(errTooSlow)
			}
			return
		case <-c.wake:
		}
		for c.held == nil {
			req, err := c.reader.Next()
			if err != nil {
				c.refuse(err)
				return
			}
			if req == nil {
				if c.reader.Expects() && !c.send([]byte("HTTP/1.1 100 Continue\r\n\r\n")) {
					return
				}
				break
			}
			first, started = false, false
			idle.Reset(idleLimit)
			if !c.f.hold(c) || !c.handle(req) {
				return
			}
			if c.held == nil {
				c.f.rest(c)
			}
		}
		if _, ending := c.f.state(); ending && c.held == nil && !started {
			return
		}
	}
}

// holds is how many bytes of requests the connection holds, beside what each may.
func (c *conn) holds() int {
	n := c.reader.Size()
	if c.held != nil {
		n += len(c.held.Text)
	}
	return max(n-keepMost, 0)
}

var (
	errTooSlow = &httpwire.Error{Status: 408, Reason: "the request did not come whole in time"}
	errNoRoom  = &httpwire.Error{Status: 503, Reason: "no room for a request of this size now"}
)

// handle answers a request or hands it to the core. It returns false where the connection ends.
func (c *conn) handle(req *httpwire.Request) bool {
	resp := httpwire.Response{Close: req.Close, NoBody: req.Method == "HEAD"}
	index, known := c.f.opt.Classes[req.Class()]
	down, refuses := c.f.drained()
	switch {
	case req.Path == "/up":
		if resp.Status = 200; req.Method != "GET" && req.Method != "HEAD" {
			resp.Status, resp.Allow = 405, "GET, HEAD"
		} else if down || !c.f.core.Serving() {
			resp.Status = 503
		}
	case !known:
		resp.Status, resp.Body = 404, problem{"no class of query has this name"}
	case req.Method != "POST":
		resp.Status, resp.Allow = 405, "POST"
	default:
		r, err := c.request(req, index)
		if err == nil && refuses {
			resp.Status, resp.RetryAfter, resp.Body = 503, c.f.opt.Advice, problem{"refused: this broker is being drained"}
			c.f.opt.Tally.Ended(index, resp.Status)
			break
		}
		if err == nil {
			c.held, c.closes = r, req.Close
			c.f.core.Take(r, c)
			return true
		}
		var e *httpwire.Error
		if resp.Status = 400; errors.As(err, &e) {
			resp.Status = e.Status
		}
		resp.Body = problem{err.Error()}
		c.f.opt.Tally.Ended(index, resp.Status)
	}
	return c.write(resp)
}

// request makes a core's request of a query.
func (c *conn) request(req *httpwire.Request, class int) (*broker.Request, error) {
	now := time.Now()
	r, err := httpwire.ParseQuery(req)
	if err != nil {
		return nil, err
	}
	r.Class, r.Arrived = class, now
	if err := r.Check(c.f.opt.Shards); err != nil {
		return nil, &httpwire.Error{Status: 400, Reason: err.Error()}
	}
	return r, nil
}

// refuse answers input that breaks the protocol; the connection ends after it.
func (c *conn) refuse(err error) {
	resp := httpwire.Response{Status: 400, Body: problem{err.Error()}, Close: true}
	var e *httpwire.Error
	if errors.As(err, &e) {
		resp.Status = e.Status
	}
	if resp.Status == 503 {
		resp.RetryAfter = c.f.opt.Advice
	}
	c.write(resp)
	c.linger()
}

// linger ends the sending side and gives the client a moment to take the answer: closing with bytes
// unread would reset the connection, and the answer could be lost with it.
func (c *conn) linger() {
	t, ok := c.sock.(*net.TCPConn)
	if !ok {
		return
	}
	t.CloseWrite()
	wait := time.NewTimer(lingerFor)
	defer wait.Stop()
	trash := make([]byte, keepMost) // read and forgotten
	for left := lingerMost; left > 0; {
		if !c.reading {
			c.spaces <- trash
			c.reading = true
		}
		select {
		case <-wait.C:
			return
		case e := <-c.ends:
			if c.reading = false; e.err != nil {
				return
			}
			left -= e.n
		}
	}
}

// problem is the body of an answer that is not 200.
type problem struct {
	Error string `json:"error"`
}

// result is a query's final answer as a response.
func result(r broker.Result, closes bool) httpwire.Response {
	resp := httpwire.Response{Close: closes}
	switch r.Outcome {
	case broker.Answered:
		a := httpwire.Answer{Whole: r.Whole, Results: make([]httpwire.Hit, 0, len(r.Values))}
		for _, v := range r.Values {
			a.Results = append(a.Results, httpwire.Hit{Partition: v.Shard, Value: string(v.Data)})
		}
		resp.Status, resp.Body = 200, a
	case broker.Refused:
		resp.Status, resp.RetryAfter = 503, r.RetryAfter
		resp.Body = problem{"refused: trying again is harmless"}
	case broker.Overdue:
		resp.Status, resp.Body = 504, problem{"the time is up"}
	case broker.Duplicate:
		resp.Status, resp.Body = 409, problem{"a query of this id is being served"}
	default:
		resp.Status, resp.Body = 500, problem{"failed: parts may have run"}
	}
	return resp
}

// write sends a response and tells whether the connection goes on.
func (c *conn) write(resp httpwire.Response) bool {
	if closing, _ := c.f.state(); closing {
		resp.Close = true
	}
	c.out = resp.Append(c.out[:0])
	sent := c.send(c.out)
	if cap(c.out) > keepMost {
		c.out = nil
	}
	return sent && !resp.Close
}

// send writes bytes and tells whether all went.
func (c *conn) send(b []byte) bool {
	c.sock.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := c.sock.Write(b)
	return err == nil
}
