// Package upstream is the link to record servers that speak the protocol of package frame. It multiplexes calls over few
// connections to each server.
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
	IdleTimeout    time.Duration   // after which record servers close idle connections
	ConnectTimeout time.Duration   // for establishing a TCP connection
	ProvenAliveFor time.Duration   // for how long after a message a connection counts as proven alive; 0: 80 ms
	OnSent         func(class int) // called for each call that was written completely; may be nil
}

// Link is the link to all record servers.
type Link struct {
	opt Options
	ctx context.Context

	mu          sync.Mutex         // guards the fields below and those of the conns
	conns       map[string][]*conn // by address
	openConns   int                // to all servers
	meanLatency time.Duration      // of answers, exponentially weighted; 0: none was measured
}

// New returns a link that opens connections until ctx is done.
func New(ctx context.Context, opt Options) *Link {
	opt.MaxStreams = max(opt.MaxStreams, 1)
	if opt.ProvenAliveFor == 0 {
		opt.ProvenAliveFor = provenAliveFor
	}
	return &Link{opt: opt, ctx: ctx, conns: map[string][]*conn{}}
}

// Send starts a call on an open connection that accepts it, or on a new one.
func (l *Link) Send(c *broker.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueue(c.Addr, c.Server, &job{call: c, id: partID(c)})
}

// CheckHealth starts a health check. Its connection is chosen like that of a call.
func (l *Link) CheckHealth(check *broker.HealthCheck) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueue(check.Addr, check.Server, &job{healthCheck: check})
}

// Cancel stops waiting for a call's answer. If bytes of its frame may have been written, the server is sent a cancel.
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
	// No descriptor is left for a new connection. Nothing can have run, and this says nothing about the server.
	if j.healthCheck != nil {
		j.healthCheck.Finish(broker.ResultOf(decision.NotSent))
	} else {
		j.call.Finish(broker.ResultOf(decision.NotSent))
	}
}

// pickConn returns the connection for a job, or nil if none may be opened. All attempts of a part have the same id, so an
// attempt never shares a connection with an earlier one whose answer may still arrive: the id of a reply then identifies one
// attempt. A non-idempotent part shares its connection with no other call: an answer that violates the protocol ends the
// connection and all jobs on it, and this part could not be sent again. The caller holds mu.
func (l *Link) pickConn(addr string, server *broker.Server, j *job) *conn {
	atLimit := l.opt.MaxConns > 0 && l.openConns >= l.opt.MaxConns
	nonIdempotent := j.call != nil && j.call.NonIdempotent
	var best, fallback, idle *conn
	for _, cn := range l.conns[addr] {
		if !l.acceptsJob(cn, j) {
			continue
		}
		if !cn.isBusy() && time.Since(cn.lastReceived) > l.opt.ProvenAliveFor {
			idle = cn
		}
		suitable := !cn.isReserved()
		if nonIdempotent {
			suitable = cn.isProvenAlive()
		}
		if suitable && (best == nil || cn.lastReceived.After(best.lastReceived)) {
			best = cn
		}
		if fallback == nil || cn.lastReceived.After(fallback.lastReceived) {
			fallback = cn
		}
	}
	if best != nil {
		return best
	}
	if nonIdempotent && idle != nil && len(l.conns[addr]) > 1 {
		idle.fail(errIdle) // the new connection replaces it, so that their number does not grow
	} else if atLimit && !l.evictIdle() {
		return fallback // no connection can be opened: an unsuitable one is better than none
	}
	cn := newConn(l, addr, server)
	l.conns[addr] = append(l.conns[addr], cn)
	l.openConns++
	go cn.run()
	return cn
}

// acceptsJob reports whether a connection may carry a job in addition to those that it has. The caller holds mu.
func (l *Link) acceptsJob(cn *conn, j *job) bool {
	if cn.retired || len(cn.calls) >= l.opt.MaxStreams {
		return false
	}
	return !cn.hasUsed(j.id) && !cn.isSilent(l.silenceTimeout())
}

// evictIdle closes an idle connection, preferably one to an unavailable server, and reports whether it found one. Without
// eviction, with as many servers as descriptors, the servers that are used last could not be reached. It does not evict the
// connection that is idle longest (LRU): a query of many parts visits all servers in turn, and would close exactly the
// connections that its next parts need. The caller holds mu.
func (l *Link) evictIdle() bool {
	var victim *conn
	for _, conns := range l.conns { // in random order
		for _, cn := range conns {
			if cn.sock != nil && !cn.isBusy() && (victim == nil || cn.server.Unavailable()) {
				victim = cn
			}
		}
		if victim != nil && victim.server.Unavailable() {
			break
		}
	}
	if victim != nil {
		victim.fail(errIdle)
	}
	return victim != nil
}

// remove removes a connection that has ended. The caller holds mu.
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

// dial connects to addr. It fails after ConnectTimeout, or when the context of the link ends.
func (l *Link) dial(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: l.opt.ConnectTimeout, KeepAlive: -1}
	return d.DialContext(l.ctx, "tcp", addr)
}
