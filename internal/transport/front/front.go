// Package front is the HTTP/1.1 front for the platform's clients: a thin driver of httpwire's state machine over sockets.
// Each connection has a goroutine that serves it, which owns it, and one that reads; both end with the connection.
package front

import (
	"container/list"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/drain"
	"mothrouter/internal/metrics"
)

const (
	// FirstRequestTimeout is the time from the accept to the last byte of a connection's first request: connections that send
	// nothing, or half a request, hold descriptors that other clients need.
	FirstRequestTimeout = 2200 * time.Millisecond

	requestTimeout  = 2200 * time.Millisecond // from the first to the last byte of a later request
	idleTimeout     = 30 * time.Second        // between requests
	writeTimeout    = 2 * time.Second         // for a client to read a response
	newConnGrace    = 250 * time.Millisecond  // a client that has just connected is about to send
	evictionTimeout = 20 * time.Millisecond   // for an evicted connection to end; no other is accepted meanwhile
	lingerTimeout   = 500 * time.Millisecond  // for a client to read its last answer and close
	acceptBackoff   = 10 * time.Millisecond   // after a failed accept

	maxLingerBytes    = 256 << 10 // read and discarded while a connection lingers
	maxPipelinedBytes = 1 << 20   // pipelined bytes read and discarded during a request, beyond what is kept
	discardSize       = 16 << 10  // bytes of one read that is discarded
	maxIdleBuffer     = 16 << 10  // bytes kept in a connection's buffers between requests
	maxRejecting      = 4         // connections over capacity that are answered at once; more are closed
)

// Core is the part of the broker that the front uses.
type Core interface {
	Submit(*broker.Request, broker.Client)
	Disconnect(*broker.Request)
	Ready() bool
}

// Options are the settings of a Front.
type Options struct {
	Classes          map[string]int    // class by name
	Shards           int               // 0: not stated
	MaxConns         int               // client connections at once
	MaxIdleConns     int               // of these between requests; 0: no bound
	MaxBufferedBytes int               // of requests, beside a few KiB for each connection
	RetryAfter       float64           // seconds after which a client that is rejected should retry; 0: no advice
	Metrics          *metrics.Counters // counts requests by how they ended; nil: they are not counted
}

// Front serves client connections.
type Front struct {
	opt       Options
	core      Core
	log       *slog.Logger
	slots     chan struct{}
	rejecting chan struct{} // slots of connections that are rejected over capacity
	wg        sync.WaitGroup

	mu            sync.Mutex
	shutdown      shutdownStage // of the process
	drain         drain.State
	conns         map[*conn]struct{}
	lingering     list.List // conns that linger, earliest first
	newConns      list.List // conns without a complete request, earliest accept first
	idleConns     list.List // conns between requests, longest idle first
	receiving     list.List // conns whose next request is received in part, earliest first byte first
	bufferedBytes int       // of requests

	listener net.Listener
	accepted chan struct{} // closed once Serve accepts no more connections
}

// shutdownStage is the stage of a shutdown or a drain.
type shutdownStage struct {
	announceClose bool // answers say Connection: close
	closeIdle     bool // connections between requests end
	closeAll      bool // so do those that have received a request in part
}

// New returns a front that submits queries to core.
func New(opt Options, core Core, log *slog.Logger) *Front {
	return &Front{
		opt: opt, core: core, log: log, slots: make(chan struct{}, max(opt.MaxConns, 1)),
		rejecting: make(chan struct{}, maxRejecting), conns: map[*conn]struct{}{}, accepted: make(chan struct{}),
	}
}

// Serve accepts connections until the listener is closed, and then returns nil.
func (f *Front) Serve(l net.Listener) error {
	defer close(f.accepted)
	f.mu.Lock()
	f.listener = l
	if f.shutdown.closeIdle {
		l.Close()
	}
	f.mu.Unlock()
	for {
		sock, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			f.log.Warn("accept failed", "error", err)
			time.Sleep(acceptBackoff) // out of descriptors: some will be freed
			continue
		}
		c := &conn{front: f, sock: sock, reply: make(chan broker.Result, 1), wake: make(chan struct{}, 1)}
		if !f.admit() {
			f.rejectOverCapacity(c)
			continue
		}
		f.mu.Lock()
		f.conns[c] = struct{}{}
		f.moveTo(c, &f.newConns)
		f.mu.Unlock()
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			c.serve()
			f.mu.Lock()
			delete(f.conns, c)
			f.moveTo(c, nil)
			f.bufferedBytes -= c.reserved
			f.mu.Unlock()
			<-f.slots
		}()
	}
}

// rejectOverCapacity answers 503 on a connection without a slot. Closing with its request unread would reset the connection and
// lose the answer, so that it lingers; only maxRejecting do at once, since descriptors are short.
func (f *Front) rejectOverCapacity(c *conn) {
	select {
	case f.rejecting <- struct{}{}:
	default:
		c.sock.Close()
		return
	}
	f.wg.Go(func() {
		defer func() { <-f.rejecting }()
		defer c.startReader()()
		c.rejectAndClose(errOverCapacity)
	})
}

// admit takes a slot for one more connection. It guards usual clients against those that connect and send nothing, send half
// a request or never close: such a connection, which awaits no answer, is evicted where no slot is free. Only requests in
// flight can fill the front.
func (f *Front) admit() bool {
	select {
	case f.slots <- struct{}{}:
		return true
	default:
	}
	if !f.evict(&f.lingering, 0) && !f.evict(&f.newConns, newConnGrace) && !f.evict(&f.idleConns, 0) && !f.evict(&f.newConns, 0) &&
		!f.evict(&f.receiving, 0) {
		return false
	}
	wait := time.NewTimer(evictionTimeout)
	defer wait.Stop()
	select {
	case f.slots <- struct{}{}:
		return true
	case <-wait.C:
		return false
	}
}

// evict asks the first connection of a list to end, if it has been there for minAge, and reports whether it did. The
// connection ends itself: only its own goroutine knows whether a request has just been read.
func (f *Front) evict(l *list.List, minAge time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := l.Front()
	if first == nil || time.Since(first.Value.(*conn).listedAt) < minAge {
		return false
	}
	c := first.Value.(*conn)
	f.moveTo(c, nil)
	c.evicted = true
	c.wakeUp()
	return true
}

// isEvicted reports whether a connection must end to free its slot.
func (f *Front) isEvicted(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.evicted
}

// markLingering adds a connection to the lingering ones, unless it has no slot to free.
func (f *Front) markLingering(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, held := f.conns[c]; held {
		f.moveTo(c, &f.lingering)
	}
}

// markReceiving records that a request has been received in part. After an earlier request, its connection is the last to be
// evicted.
func (f *Front) markReceiving(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.list != &f.newConns {
		f.moveTo(c, &f.receiving)
		c.evicted = false
	}
}

// moveTo moves a connection to the end of a list, or, with nil, out of its own. The caller holds mu.
func (f *Front) moveTo(c *conn, l *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	if c.list = l; l != nil {
		c.listedAt, c.element = time.Now(), l.PushBack(c)
	}
}

// markIdle adds a connection to those between requests, and evicts the longest idle one above MaxIdleConns. The clients share a
// bound on connections to a broker: without eviction, some that send one request and stay connected would lock the others out.
func (f *Front) markIdle(c *conn) {
	f.mu.Lock()
	if !c.evicted {
		f.moveTo(c, &f.idleConns)
	}
	many := f.opt.MaxIdleConns > 0 && f.idleConns.Len() > f.opt.MaxIdleConns
	f.mu.Unlock()
	if many {
		f.evict(&f.idleConns, 0)
	}
}

// markBusy removes a connection from the lists, since its request is complete, and revokes an eviction.
func (f *Front) markBusy(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moveTo(c, nil)
	c.evicted = false
}

// reserveBuffer sets the bytes of requests that a connection holds, and reports whether the sum stays within MaxBufferedBytes;
// fewer than before always do. It bounds the memory of many large requests, each of which is within its own bound.
func (f *Front) reserveBuffer(c *conn, n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	grows := n > c.reserved
	f.bufferedBytes += n - c.reserved
	c.reserved = n
	return !grows || f.bufferedBytes <= f.opt.MaxBufferedBytes
}

// Shutdown ends the front in the stages of the plan. From now on answers announce that the connection closes, and clients may
// use each once more: closing all at once would make every client reconnect at the same moment, perhaps without a broker to
// connect to. Then the listener closes and idle connections end, the others after their answers. It returns when all have
// ended or ctx is done.
func (f *Front) Shutdown(ctx context.Context, plan drain.ShutdownPlan) {
	step := func(wait time.Duration, change func()) {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		f.mu.Lock()
		change()
		f.mu.Unlock()
		f.wakeAll()
	}
	step(0, func() { f.shutdown.announceClose = true })
	step(plan.CloseIdle-plan.AnnounceClose, func() {
		f.shutdown.closeIdle = true
		if f.listener == nil {
			return
		}
		if err := f.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			f.log.Warn("closing the listener failed", "error", err)
		}
	})
	done := make(chan struct{})
	go func() {
		<-f.accepted
		f.wg.Wait()
		close(done)
	}()
	last := time.AfterFunc(plan.AnswerBy-plan.CloseIdle, func() { step(0, func() { f.shutdown.closeAll = true }) })
	defer last.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Drain makes clients move to other brokers while the process keeps running. Rejoin ends the drain.
func (f *Front) Drain() {
	f.mu.Lock()
	f.drain.Start(time.Now())
	f.mu.Unlock()
	time.AfterFunc(drain.CloseIdleDelay(), f.wakeAll)
}

// Rejoin ends a drain.
func (f *Front) Rejoin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drain.Cancel()
}

// AcceptsClients reports whether new clients should connect.
func (f *Front) AcceptsClients() bool {
	f.mu.Lock()
	takes := !f.shutdown.announceClose && f.drain.IsUp()
	f.mu.Unlock()
	return takes && f.core.Ready()
}

// RejectsRequests reports whether a drain has reached the stage at which every front rejects requests.
func (f *Front) RejectsRequests() bool {
	_, rejects := f.drainState()
	return rejects
}

// wakeAll wakes all connections.
func (f *Front) wakeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.wakeUp()
	}
}

// wakeUp makes the serve loop check the stage and eviction again. It does not block.
func (c *conn) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// stage returns the stage of the shutdown or the drain, whichever is later.
func (f *Front) stage() shutdownStage {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.shutdown
	e.announceClose, e.closeIdle = e.announceClose || f.drain.AnnouncesClose(), e.closeIdle || f.drain.ClosesIdle(time.Now())
	return e
}

// drainState returns whether a drain marks the process as down for clients, and whether it rejects requests.
func (f *Front) drainState() (down, rejects bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.drain.IsUp(), f.drain.RejectsRequests(time.Now())
}
