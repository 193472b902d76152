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
	// FirstRequestTimeout is for a connection's first request to come whole, from the start: silent and half-sent ones hold
	// descriptors that usual clients need.
	FirstRequestTimeout = 2200 * time.Millisecond

	requestTimeout  = 2200 * time.Millisecond // for a later request to come whole, from its first byte
	idleTimeout     = 30 * time.Second        // between requests
	writeTimeout    = 2 * time.Second         // for a client to take bytes
	newConnGrace    = 250 * time.Millisecond  // a client that has just connected is about to send
	evictionTimeout = 20 * time.Millisecond   // for an evicted connection to end; no other is accepted meanwhile
	lingerTimeout   = 500 * time.Millisecond  // for a client to take its last answer and close
	acceptBackoff   = 10 * time.Millisecond   // after a failed accept

	maxLingerBytes    = 256 << 10 // read and discarded while a connection lingers
	maxPipelinedBytes = 1 << 20   // read and discarded behind a request in flight, beyond what is kept
	discardSize       = 16 << 10  // bytes discarded at once
	maxIdleBuffer     = 16 << 10  // of a connection's buffers for the next request and answer
	maxRejecting      = 4         // connections over capacity that are answered at once; more are closed
)

// Core is what the front needs of the broker.
type Core interface {
	Submit(*broker.Request, broker.Client)
	Disconnect(*broker.Request)
	Ready() bool
}

// Options are what the deployment fixes.
type Options struct {
	Classes          map[string]int    // class by name
	Shards           int               // 0: not stated
	MaxConns         int               // client connections at once
	MaxIdleConns     int               // of them between requests; 0: no bound
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
	lingering     list.List // conns that linger, by when they began to
	newConns      list.List // conns that have not sent a whole request, by when they were accepted
	idleConns     list.List // conns between requests, by when they had their last answer
	receiving     list.List // conns of which a further request has come in part, by when it began
	bufferedBytes int       // of requests

	listener net.Listener
	accepted chan struct{} // closed when no connection is accepted any more
}

// shutdownStage is how far a shutdown, or a drain, has come.
type shutdownStage struct {
	announceClose bool // answers say Connection: close
	closeIdle     bool // connections between requests end
	closeAll      bool // so do those that have received a request in part
}

// New makes a front to core.
func New(opt Options, core Core, log *slog.Logger) *Front {
	return &Front{
		opt: opt, core: core, log: log, slots: make(chan struct{}, max(opt.MaxConns, 1)),
		rejecting: make(chan struct{}, maxRejecting), conns: map[*conn]struct{}{}, accepted: make(chan struct{}),
	}
}

// Serve accepts until the listener is closed.
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
			time.Sleep(acceptBackoff) // out of descriptors: some will come free
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

// rejectOverCapacity answers a client that there are too many requests. Closing over its own would reset the connection, and
// the answer with it; but only a few get the time to read it, since descriptors have run out.
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
// a request or keep their connection for good: such a connection, which waits for no answer, is evicted where there is no
// other slot. Only requests in flight can fill the front.
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

// evict asks the connection that has been in a list for longest to end, if it has been there for so long. It ends by itself:
// only its own goroutine knows whether a request of it has just been read.
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

// isEvicted tells whether a connection's place is wanted.
func (f *Front) isEvicted(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.evicted
}

// markLingering puts a connection among those that have had their last answer, unless it has no slot to give up.
func (f *Front) markLingering(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, held := f.conns[c]; held {
		f.moveTo(c, &f.lingering)
	}
}

// markReceiving notes that a request has begun to come. Its connection is the last to be evicted, if it has had requests.
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

// markIdle puts a connection among those between requests, and evicts the longest idle of too many. It guards clients against
// each other: together they may have only so many connections to a broker, and where some send one request and keep theirs
// for good, the others could open none.
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

// markBusy takes a connection off the lists, since its request has come. It is not evicted any more.
func (f *Front) markBusy(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moveTo(c, nil)
	c.evicted = false
}

// reserveBuffer reserves what a connection holds of requests and tells whether it may. It guards the memory against many
// large requests at once: each alone is within bounds.
func (f *Front) reserveBuffer(c *conn, n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	grows := n > c.reserved
	f.bufferedBytes += n - c.reserved
	c.reserved = n
	return !grows || f.bufferedBytes <= f.opt.MaxBufferedBytes
}

// Shutdown ends the front as planned, from now on: answers announce that the connection closes, and clients may use each
// once more, since closing them all at once sends every client off at the same moment, perhaps to no broker at all. Then no
// connection is accepted any more and idle ones end, the others once they have their answers. It returns when all have
// ended, or ctx has.
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

// Drain sends clients away, while the process runs on. Rejoin ends the drain.
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

// AcceptsClients tells whether clients should be sent here.
func (f *Front) AcceptsClients() bool {
	f.mu.Lock()
	takes := !f.shutdown.announceClose && f.drain.IsUp()
	f.mu.Unlock()
	return takes && f.core.Ready()
}

// RejectsRequests tells whether a drain has come so far that requests are rejected, by whatever front.
func (f *Front) RejectsRequests() bool {
	_, rejects := f.drainState()
	return rejects
}

// wakeAll has each connection look at what has changed.
func (f *Front) wakeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.wakeUp()
	}
}

// wakeUp has the connection look at what has changed. It does not wait.
func (c *conn) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// stage tells how far the shutdown or a drain has come, whichever is further.
func (f *Front) stage() shutdownStage {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.shutdown
	e.announceClose, e.closeIdle = e.announceClose || f.drain.AnnouncesClose(), e.closeIdle || f.drain.ClosesIdle(time.Now())
	return e
}

// drainState tells whether a drain has taken the process down for clients, and whether requests are rejected.
func (f *Front) drainState() (down, rejects bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.drain.IsUp(), f.drain.RejectsRequests(time.Now())
}
