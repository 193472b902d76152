// Package upstream is the link to record servers that speak frames: a driver of few, shared connections.
package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"cloverhook"
	"cloverhook/internal/broker"
)

// Options are what the deployment fixes.
type Options struct {
	Streams        int           // calls that one connection carries at once
	Idle           time.Duration // record servers close connections idle for so long
	ConnectTimeout time.Duration
}

// Link is the link to all record servers.
type Link struct {
	opt   Options
	ctx   context.Context
	mu    sync.Mutex // guards everything below, and the conns' fields that say so
	conns map[string][]*conn
}

// New makes a link whose connections end with ctx.
func New(ctx context.Context, opt Options) *Link {
	opt.Streams = max(opt.Streams, 1)
	return &Link{opt: opt, ctx: ctx, conns: map[string][]*conn{}}
}

// Send starts a call on a connection with room, or opens one.
func (l *Link) Send(c *broker.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pick(c.Addr, partID(c)).enqueue(&job{call: c, id: partID(c)})
}

// Probe asks a server how it is, on a connection like a call's.
func (l *Link) Probe(p *broker.Probe) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pick(p.Addr, "").enqueue(&job{probe: p})
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

// pick returns the connection for a call. A part's id repeats with each attempt: an attempt never shares a
// connection with an earlier one whose answer may still come, so that an R names one attempt only.
func (l *Link) pick(addr, id string) *conn {
	for _, cn := range l.conns[addr] {
		if !cn.retired && len(cn.calls) < l.opt.Streams && !cn.stale[id] && cn.calls[id] == nil {
			return cn
		}
	}
	cn := newConn(l, addr)
	l.conns[addr] = append(l.conns[addr], cn)
	go cn.run()
	return cn
}

// drop forgets a connection. The caller holds mu.
func (l *Link) drop(cn *conn) {
	list := l.conns[cn.addr]
	for i, other := range list {
		if other == cn {
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

func unsent(status cloverhook.Status) broker.Reply {
	return broker.Reply{Status: status, Load: cloverhook.NoLoad}
}
