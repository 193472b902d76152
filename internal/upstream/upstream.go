// Package upstream is the link to record servers that speak frames: a driver of few, shared connections.
package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
)

// Options are what the deployment fixes.
type Options struct {
	Streams        int           // calls that one connection carries at once
	Conns          int           // connections held at most; 0: no bound
	Idle           time.Duration // record servers close connections idle for so long
	ConnectTimeout time.Duration
	Fresh          time.Duration   // how long after a word a connection is sure to live; 0: 80 ms
	Relayed        func(class int) // told of each call that was written whole; nil: nobody is
}

// Link is the link to all record servers.
type Link struct {
	opt   Options
	ctx   context.Context
	mu    sync.Mutex // guards everything below, and the conns' fields that say so
	conns map[string][]*conn
	held  int           // conns in all
	pace  time.Duration // mean time of answers; 0: none has come
}

// New makes a link whose connections end with ctx.
func New(ctx context.Context, opt Options) *Link {
	opt.Streams = max(opt.Streams, 1)
	if opt.Fresh == 0 {
		opt.Fresh = freshly
	}
	return &Link{opt: opt, ctx: ctx, conns: map[string][]*conn{}}
}

// Send starts a call on a connection with room, or opens one.
func (l *Link) Send(c *broker.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueue(c.Addr, c.Server, &job{call: c, id: partID(c)})
}

// CheckHealth asks a server how it is, on a connection like a call's.
func (l *Link) CheckHealth(p *broker.HealthCheck) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueue(p.Addr, p.Server, &job{probe: p})
}

// Cancel takes a call off its connection. If its frame may have been written, the server is told.
func (l *Link) Cancel(c *broker.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := partID(c)
	for _, cn := range l.conns[c.Addr] {
		if j := cn.calls[id]; j != nil && j.call == c {
			cn.cancel(j)
			return
		}
	}
}

// enqueue puts a job on a connection. The caller holds mu.
func (l *Link) enqueue(addr string, server *broker.Server, j *job) {
	if cn := l.pick(addr, server, j); cn != nil {
		cn.enqueue(j)
		return
	}
	// No descriptor is left for it, so nothing can have run; and it tells nothing of the server.
	if j.probe != nil {
		j.probe.Finish(unsent(decision.NotSent))
	} else {
		j.call.Finish(unsent(decision.NotSent))
	}
}

// pick returns the connection for a job; nil: none may be opened. A part's id repeats with each attempt: an
// attempt never shares a connection with an earlier one whose answer may still come, so that an R names one
// attempt only. A part that must not run twice shares with no other: an answer that is spoilt makes its
// connection useless for all that is out on it, and it could not be sent again.
func (l *Link) pick(addr string, server *broker.Server, j *job) *conn {
	full := l.opt.Conns > 0 && l.held >= l.opt.Conns
	unsafe := j.call != nil && j.call.NonIdempotent
	var best, other, rested *conn
	for _, cn := range l.conns[addr] {
		if cn.retired || len(cn.calls) >= l.opt.Streams || cn.had(j.id) || cn.silent(l.patience()) {
			continue
		}
		if !cn.busy() && time.Since(cn.heard) > l.opt.Fresh {
			rested = cn
		}
		suits := !cn.reserved()
		if unsafe {
			suits = cn.sure()
		}
		if suits && (best == nil || cn.heard.After(best.heard)) {
			best = cn
		}
		if other == nil || cn.heard.After(other.heard) {
			other = cn
		}
	}
	if best != nil {
		return best
	}
	if unsafe && rested != nil && len(l.conns[addr]) > 1 {
		rested.fail(errIdle) // few connections: the new one takes its place
	} else if full && !l.makeRoom() {
		return other // any connection is better than none
	}
	cn := newConn(l, addr, server)
	l.conns[addr] = append(l.conns[addr], cn)
	l.held++
	go cn.run()
	return cn
}

// makeRoom closes a connection on which nothing is out: one to a server that is gone or drains, else any. Guards
// against a fleet of as many servers as descriptors: those that came late were not reached at all. Not the one that
// rested longest: a query of many parts goes over all servers, and would close just what its next parts need.
// The caller holds mu.
func (l *Link) makeRoom() bool {
	var spare *conn
	for _, conns := range l.conns { // in no order
		for _, cn := range conns {
			if cn.sock != nil && !cn.busy() && (spare == nil || cn.server.Unavailable()) {
				spare = cn
			}
		}
		if spare != nil && spare.server.Unavailable() {
			break
		}
	}
	if spare != nil {
		spare.fail(errIdle)
	}
	return spare != nil
}

// answered books how long an answer took, and patience is how long none may come before a connection is taken
// for silent. The caller holds mu.
func (l *Link) answered(took time.Duration) {
	if l.pace == 0 {
		l.pace = took
	}
	l.pace += time.Duration(paceStep * float64(took-l.pace))
}

func (l *Link) patience() time.Duration {
	if l.pace == 0 {
		return SilentFor
	}
	return min(max(silentTimes*l.pace, silentLeast), SilentFor)
}

// drop forgets a connection. The caller holds mu.
func (l *Link) drop(cn *conn) {
	list := l.conns[cn.addr]
	for i, other := range list {
		if other == cn {
			l.held--
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if l.conns[cn.addr] = list; len(list) == 0 {
		delete(l.conns, cn.addr)
	}
}

func (l *Link) dial(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: l.opt.ConnectTimeout, KeepAlive: -1}
	return d.DialContext(l.ctx, "tcp", addr)
}

func unsent(status decision.Status) broker.CallResult {
	return broker.CallResult{Status: status, LoadReport: decision.NoLoadReport}
}
