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

// Options are the settings of a Link.
type Options struct {
	MaxStreams     int             // calls in flight on one connection
	MaxConns       int             // connections to all servers; 0: no bound
	IdleTimeout    time.Duration   // record servers close connections that are idle for so long
	ConnectTimeout time.Duration   // for a TCP connection to be established
	ProvenAliveFor time.Duration   // for how long after a message a connection counts as proven alive; 0: 80 ms
	OnSent         func(class int) // called for each call that was written completely; nil: it is not
}

// Link is the link to all record servers.
type Link struct {
	opt Options
	ctx context.Context

	mu          sync.Mutex         // guards what follows, and the fields of the conns
	conns       map[string][]*conn // by address
	openConns   int                // of all servers
	meanLatency time.Duration      // of answers, exponentially weighted; 0: there was none
}

// New returns a link whose connections end with ctx.
func New(ctx context.Context, opt Options) *Link {
	opt.MaxStreams = max(opt.MaxStreams, 1)
	if opt.ProvenAliveFor == 0 {
		opt.ProvenAliveFor = provenAliveFor
	}
	return &Link{opt: opt, ctx: ctx, conns: map[string][]*conn{}}
}

// Send starts a call on a connection that takes one more, or on a new one.
func (l *Link) Send(c *broker.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueue(c.Addr, c.Server, &job{call: c, id: partID(c)})
}

// CheckHealth asks a server for its health, on a connection like a call's.
func (l *Link) CheckHealth(p *broker.HealthCheck) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueue(p.Addr, p.Server, &job{healthCheck: p})
}

// Cancel ends the wait for a call's answer. If its frame may have been written, the server is notified.
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
	if cn := l.pickConn(addr, server, j); cn != nil {
		cn.enqueue(j)
		return
	}
	// No descriptor is left for it, so nothing can have run, and nothing is known of the server.
	if j.healthCheck != nil {
		j.healthCheck.Finish(broker.ResultOf(decision.NotSent))
	} else {
		j.call.Finish(broker.ResultOf(decision.NotSent))
	}
}

// pickConn returns the connection for a job; nil: none may be opened. A part's id repeats with each attempt: an attempt never
// shares a connection with an earlier one whose answer may still come, so that an R names one attempt only. A part that must
// not run twice shares with no other: an answer that breaks the protocol ends its connection and all jobs on it, and this one
// could not be sent again. The caller holds mu.
func (l *Link) pickConn(addr string, server *broker.Server, j *job) *conn {
	full := l.opt.MaxConns > 0 && l.openConns >= l.opt.MaxConns
	nonIdempotent := j.call != nil && j.call.NonIdempotent
	var best, other, idle *conn
	for _, cn := range l.conns[addr] {
		if !l.acceptsJob(cn, j) {
			continue
		}
		if !cn.isBusy() && time.Since(cn.lastReceived) > l.opt.ProvenAliveFor {
			idle = cn
		}
		suits := !cn.isReserved()
		if nonIdempotent {
			suits = cn.isProvenAlive()
		}
		if suits && (best == nil || cn.lastReceived.After(best.lastReceived)) {
			best = cn
		}
		if other == nil || cn.lastReceived.After(other.lastReceived) {
			other = cn
		}
	}
	if best != nil {
		return best
	}
	if nonIdempotent && idle != nil && len(l.conns[addr]) > 1 {
		idle.fail(errIdle) // few connections: the new one takes its place
	} else if full && !l.evictIdle() {
		return other // any connection is better than none
	}
	cn := newConn(l, addr, server)
	l.conns[addr] = append(l.conns[addr], cn)
	l.openConns++
	go cn.run()
	return cn
}

// acceptsJob reports whether a connection may carry a job beside those that it has. The caller holds mu.
func (l *Link) acceptsJob(cn *conn, j *job) bool {
	if cn.retired || len(cn.calls) >= l.opt.MaxStreams {
		return false
	}
	return !cn.hasUsed(j.id) && !cn.isSilent(l.silenceTimeout())
}

// evictIdle closes an idle connection, one to an unavailable server if there is any, and reports whether it found one. With as
// many servers as descriptors, those that are used last could not be reached otherwise. It does not pick the longest idle: a
// query of many parts visits all servers in turn, and would close just what its next parts need. The caller holds mu.
func (l *Link) evictIdle() bool {
	var spare *conn
	for _, conns := range l.conns { // in no order
		for _, cn := range conns {
			if cn.sock != nil && !cn.isBusy() && (spare == nil || cn.server.Unavailable()) {
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

// remove forgets a connection. The caller holds mu.
func (l *Link) remove(cn *conn) {
	list := l.conns[cn.addr]
	for i, other := range list {
		if other == cn {
			l.openConns--
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	l.conns[cn.addr] = list
	if len(list) == 0 {
		delete(l.conns, cn.addr)
	}
}

// dial connects to addr within ConnectTimeout, or until the link ends.
func (l *Link) dial(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: l.opt.ConnectTimeout, KeepAlive: -1}
	return d.DialContext(l.ctx, "tcp", addr)
}
