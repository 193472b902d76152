package front

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/drain"
	"mothrouter/internal/httpwire"
)

// conn is one client connection. Its serve goroutine owns it; a second goroutine only reads.
type conn struct {
	f       *Front
	sock    net.Conn
	reader  httpwire.RequestReader
	out     []byte
	reply   chan broker.Result // cap 1: a connection has one query at a time
	wake    chan struct{}      // the front ends, or wants this connection's place
	spaces  chan []byte        // where the reader reads to
	ends    chan readEnd       // what it read
	reading bool               // a read is out
	reads   readLog            // when the bytes of requests came
	held    *broker.Request    // nil: none
	closes  bool               // the held request's client ends the connection after it
	trash   bool               // the read that is out is for bytes that are forgotten
	behind  int                // so many of them came behind the held request
	left    atomic.Bool        // the client has gone

	// The front's mu guards these.
	in       *list.List // that it stands in; nil: it holds a request
	at       *list.Element
	since    time.Time // when it came there
	evicted  bool      // its place is wanted
	buffered int       // bytes of requests that it holds
}

// Finish is called by the core's loop.
func (c *conn) Finish(r broker.Result) { c.reply <- r }

type readEnd struct {
	n   int
	err error
	at  time.Time
}

// serve drives the connection until it ends. One read is always out, so that a client that goes away while
// it waits is noticed: at once, on the reader's goroutine, whatever else is going on.
func (c *conn) serve() {
	defer c.open()()
	limit := FirstLimit
	if c.f.state().idle {
		limit = drain.LastAnswers
	}
	idle := time.NewTimer(limit)
	defer idle.Stop()
	first, started := true, false // no request has come whole; one has begun to come
	over := false                 // its time between requests is up
	for {
		if !c.reading {
			space := c.space()
			if !c.f.buffer(c, c.holds()) && c.held == nil {
				c.refuse(errNoRoom)
				return
			}
			c.spaces <- space
			c.reading = true
		}
		select {
		case e := <-c.ends:
			if !c.filled(e) {
				return
			}
		case r := <-c.reply:
			resp := result(r, c.closes)
			c.f.opt.Metrics.Ended(c.held.Class, resp.Status)
			ok := c.write(resp)
			c.held = nil
			if !ok {
				c.linger()
				return
			}
			c.f.buffer(c, c.holds())
			c.f.rest(c)
			idle.Reset(idleLimit)
		case <-idle.C:
			over = c.held == nil
		case <-c.wake:
		}
		// What has come is served, and what asks the connection to end is looked at, until it waits for something.
		for {
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
				first, started, over = false, false, false
				idle.Reset(idleLimit)
				c.f.hold(c)
				if !c.handle(req) {
					c.linger()
					return
				}
				if c.held == nil {
					c.f.rest(c)
				}
			}
			if c.held != nil {
				break
			}
			if !started && c.reader.Begun() {
				c.f.begin(c)
				started, over = true, false
				if !first {
					idle.Reset(wholeLimit)
				}
			}
			s, evicted := c.f.state(), c.f.evicts(c)
			if !over && !evicted && !s.all && (!s.idle || started) {
				break
			}
			// It ends between requests. What the reader has taken off the socket by now is served all the same, since
			// its client cannot know that nobody looked at it. What comes later was never read, and is sent once more.
			n, ok := c.halt()
			if !ok {
				return
			}
			if n > 0 {
				continue
			}
			switch {
			case started && evicted:
				c.makeRoom()
			case started:
				c.refuse(errTooSlow)
			case !evicted:
				c.linger()
			}
			return
		}
	}
}

// open starts the reader; the returned function ends it, and the connection.
func (c *conn) open() (end func()) {
	c.spaces, c.ends = make(chan []byte, 1), make(chan readEnd, 1)
	go func() {
		for p := range c.spaces {
			n, err := c.sock.Read(p)
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				c.left.Store(true)
			}
			c.ends <- readEnd{n, err, time.Now()}
		}
	}()
	return func() {
		c.sock.Close()
		close(c.spaces)
	}
}

// space is where the next bytes go. Behind a held request only so much is kept: what comes beyond is read and
// forgotten, so that its client's close is noticed, and the connection ends after the answer.
func (c *conn) space() []byte {
	if c.trash = c.reader.Full(); c.trash {
		c.closes = true
		return make([]byte, readMost)
	}
	return c.reader.Space()
}

// filled takes what a read has brought. It returns false where the connection has ended.
func (c *conn) filled(e readEnd) bool {
	c.reading = false
	if !c.trash {
		c.reader.Filled(e.n)
		c.reads.add(e.n, e.at)
	} else if c.behind += e.n; c.behind > behindMost {
		c.f.core.Disconnect(c.held)
		c.refuse(errFlood)
		return false
	}
	if e.err != nil && !errors.Is(e.err, os.ErrDeadlineExceeded) {
		if c.held != nil {
			c.f.core.Disconnect(c.held)
		}
		return false
	}
	return true
}

// halt ends the read that is out, and returns how many bytes it brought; ok is false where the client has gone.
func (c *conn) halt() (n int, ok bool) {
	if !c.reading {
		return 0, true
	}
	c.sock.SetReadDeadline(time.Unix(1, 0))
	e := <-c.ends
	c.sock.SetReadDeadline(time.Time{})
	return e.n, c.filled(e)
}

// holds is how many bytes of requests the connection holds, beside what each may.
func (c *conn) holds() int {
	n := c.reader.Size()
	if c.held != nil {
		n += len(c.held.Payload)
	}
	return max(n-keepMost, 0)
}

var (
	errTooSlow = &httpwire.Error{Status: 408, Reason: "the request did not come whole in time"}
	errFlood   = &httpwire.Error{Status: 413, Reason: "too much came behind a request that is not answered yet"}
	errFull    = &httpwire.Error{Status: 503, Reason: "too many requests are held"}
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
		} else if down || !c.f.core.Ready() {
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
			c.f.opt.Metrics.Ended(index, resp.Status)
			break
		}
		if err == nil {
			c.held, c.closes, c.behind = r, req.Close, 0
			c.f.core.Submit(r, c)
			return true
		}
		var e *httpwire.Error
		if resp.Status = 400; errors.As(err, &e) {
			resp.Status = e.Status
		}
		resp.Body = problem{err.Error()}
		c.f.opt.Metrics.Ended(index, resp.Status)
	}
	return c.write(resp)
}

// request makes a core's request of a query.
func (c *conn) request(req *httpwire.Request, class int) (*broker.Request, error) {
	r, err := httpwire.ParseQuery(req)
	if err != nil {
		return nil, err
	}
	r.Class, r.ReceivedAt, r.Disconnected = class, c.reads.lastByte(c.reader.Unread()), &c.left
	if err := r.Normalize(c.f.opt.Shards); err != nil {
		return nil, &httpwire.Error{Status: 400, Reason: err.Error()}
	}
	return r, nil
}

// refuse answers input that breaks the protocol; the connection ends after it.
func (c *conn) refuse(err error) {
	c.write(c.refusal(err))
	c.linger()
}

// makeRoom answers the request of which a part has been read, since nobody will read the rest. The connection's place
// is wanted now: it neither lingers nor waits for a client that takes no bytes.
func (c *conn) makeRoom() {
	resp := c.refusal(errFull)
	c.sock.SetWriteDeadline(time.Now().Add(roomWait))
	_, _ = c.sock.Write(resp.Append(nil)) // the connection ends whether or not its client takes the answer
}

// refusal is the last answer on a connection whose input cannot be served.
func (c *conn) refusal(err error) httpwire.Response {
	resp := httpwire.Response{Status: 400, Body: problem{err.Error()}, Close: true}
	var e *httpwire.Error
	if errors.As(err, &e) {
		resp.Status = e.Status
	}
	if resp.Status == 503 {
		resp.RetryAfter = c.f.opt.Advice
	}
	return resp
}

// linger is a lingering close: it ends the sending side and gives the client a moment to take the answer and to close.
// Closing with bytes unread would reset the connection, and the answer could be lost with it. What comes meanwhile is
// forgotten. A connection that lingers is the first to make room.
func (c *conn) linger() {
	half, ok := c.sock.(interface{ CloseWrite() error })
	if !ok || c.left.Load() {
		return
	}
	_ = half.CloseWrite() // a socket on which it fails has ended
	c.f.lingers(c)
	wait := time.NewTimer(lingerFor)
	defer wait.Stop()
	trash := make([]byte, readMost)
	for left := lingerMost; left > 0; {
		if !c.reading {
			c.spaces <- trash
			c.reading = true
		}
		select {
		case <-wait.C:
			return
		case <-c.wake:
			if c.f.evicts(c) {
				return
			}
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
		a := httpwire.Answer{Whole: r.Complete, Results: make([]httpwire.Hit, 0, len(r.Values))}
		for _, v := range r.Values {
			a.Results = append(a.Results, httpwire.Hit{Partition: v.Shard, Value: string(v.Data)})
		}
		resp.Status, resp.Body = 200, a
	case broker.Rejected:
		resp.Status, resp.RetryAfter = 503, r.RetryAfter
		resp.Body = problem{"refused: trying again is harmless"}
	case broker.DeadlineExceeded:
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
	if !resp.Close {
		last, ok := c.lastAnswer()
		if !ok {
			return false
		}
		resp.Close = last
	}
	c.out = resp.Append(c.out[:0])
	sent := c.send(c.out)
	if cap(c.out) > keepMost {
		c.out = nil
	}
	return sent && !resp.Close
}

// lastAnswer tells whether the answer that is about to be written is the connection's last. While clients are sent away,
// a request of which bytes have been read is served first: its client could not know that it was read and dropped.
// ok is false where the client has gone.
func (c *conn) lastAnswer() (last, ok bool) {
	end := c.f.state()
	if c.closes || !end.closing {
		return c.closes, true
	}
	if _, ok := c.halt(); !ok {
		return true, false
	}
	return end.all || c.closes || !c.reader.Begun(), true
}

// send writes bytes and tells whether all went.
func (c *conn) send(b []byte) bool {
	c.sock.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := c.sock.Write(b)
	if err != nil {
		c.left.Store(true)
	}
	return err == nil
}
