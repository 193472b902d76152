// Package front is the thin front for the platform's clients: it drives httpwire's machine over sockets.
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
	writeLimit = 2 * time.Second // a client that takes no bytes for so long is given up
	// FirstLimit is for a connection's first request to come whole, from the start: silent and half-sent
	// ones hold descriptors that usual clients need.
	FirstLimit = 2200 * time.Millisecond
	wholeLimit = 2200 * time.Millisecond // for a later request to come whole, from its first byte
	idleLimit  = 30 * time.Second        // between requests
	freshGrace = 250 * time.Millisecond  // a client that has just connected is about to speak
	roomWait   = 20 * time.Millisecond   // for a connection that makes room to be gone; nobody is accepted meanwhile
	lingerFor  = 500 * time.Millisecond  // for a client to take its last answer and close
	lingerMost = 256 << 10               // bytes taken and forgotten meanwhile
	behindMost = 1 << 20                 // and behind a request that is held, beyond what is kept
	awayMost   = 4                       // connections without room that are told so, at once
	readMost   = 16 << 10                // bytes forgotten at once
	keepMost   = 16 << 10                // bytes of a connection's write buffer that are kept for the next answer
)

// Core is what the front needs of the broker.
type Core interface {
	Submit(*broker.Request, broker.Client)
	Disconnect(*broker.Request)
	Ready() bool
}

// Options are what the deployment fixes.
type Options struct {
	Classes  map[string]int    // class by name
	Shards   int               // 0: not told
	ConnsMax int               // client connections held at most
	IdleMost int               // of them between requests at most; 0: no bound
	Buffers  int               // bytes of requests held at most, beside a few KiB for each connection
	Advice   float64           // seconds after which a client that finds no room should come back; 0: not said
	Metrics  *metrics.Counters // counts requests by how they ended; nil: nobody does
}

// Front serves client connections.
type Front struct {
	opt   Options
	core  Core
	log   *slog.Logger
	slots chan struct{}
	away  chan struct{} // of connections that are turned away
	wg    sync.WaitGroup

	mu      sync.Mutex
	end     ends // of the process
	drain   drain.State
	conns   map[*conn]struct{}
	past    list.List // of conns that linger, by when they began to
	fresh   list.List // of conns that have never sent a whole request, by when they came
	kept    list.List // of conns between requests, by when they had their last answer
	begun   list.List // of conns of which a further request has come in part, by when it began
	buffers int       // bytes of requests held

	listener net.Listener
	accepted chan struct{} // closed when none is any more
}

// ends is how far the front has come with sending its clients away.
type ends struct {
	closing bool // answers say Connection: close
	idle    bool // connections between requests end
	all     bool // so do those of which half a request has come
}

// New makes a front to core.
func New(opt Options, core Core, log *slog.Logger) *Front {
	return &Front{
		opt: opt, core: core, log: log, slots: make(chan struct{}, max(opt.ConnsMax, 1)),
		away: make(chan struct{}, awayMost), conns: map[*conn]struct{}{}, accepted: make(chan struct{}),
	}
}

// Serve accepts until the listener is closed.
func (f *Front) Serve(l net.Listener) error {
	defer close(f.accepted)
	f.mu.Lock()
	f.listener = l
	if f.end.idle {
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
			time.Sleep(10 * time.Millisecond) // out of descriptors: some will come free
			continue
		}
		c := &conn{f: f, sock: sock, reply: make(chan broker.Result, 1), wake: make(chan struct{}, 1)}
		if !f.admit() {
			f.turnAway(c)
			continue
		}
		f.mu.Lock()
		f.conns[c] = struct{}{}
		f.queue(c, &f.fresh)
		f.mu.Unlock()
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			c.serve()
			f.mu.Lock()
			delete(f.conns, c)
			f.queue(c, nil)
			f.buffers -= c.buffered
			f.mu.Unlock()
			<-f.slots
		}()
	}
}

// turnAway tells a client that there are too many requests. Closing over its own would reset the connection, and the
// answer with it; but only few are given the time to read it, since descriptors are what there is none left of.
func (f *Front) turnAway(c *conn) {
	select {
	case f.away <- struct{}{}:
	default:
		c.sock.Close()
		return
	}
	f.wg.Go(func() {
		defer func() { <-f.away }()
		defer c.open()()
		c.refuse(errFull)
	})
}

// admit takes a slot for one more connection. It guards usual clients against those that connect and say
// nothing, send half a request or hold their connection for good: such a connection, which waits for no
// answer, is closed where there is no other slot. Only requests that are held can fill the front.
func (f *Front) admit() bool {
	select {
	case f.slots <- struct{}{}:
		return true
	default:
	}
	if !f.evict(&f.past, 0) && !f.evict(&f.fresh, freshGrace) && !f.evict(&f.kept, 0) && !f.evict(&f.fresh, 0) &&
		!f.evict(&f.begun, 0) {
		return false
	}
	wait := time.NewTimer(roomWait)
	defer wait.Stop()
	select {
	case f.slots <- struct{}{}:
		return true
	case <-wait.C:
		return false
	}
}

// evict asks the connection that has been longest in a list to end, if it has been there for so long. It ends by
// itself: only its own goroutine knows whether a request of it has just been read.
func (f *Front) evict(l *list.List, least time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := l.Front()
	if first == nil || time.Since(first.Value.(*conn).since) < least {
		return false
	}
	c := first.Value.(*conn)
	f.queue(c, nil)
	c.evicted = true
	c.nudge()
	return true
}

// evicts tells whether a connection's place is wanted.
func (f *Front) evicts(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.evicted
}

// lingers puts a connection among those that have had their last answer, unless it had no place to give up.
func (f *Front) lingers(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, held := f.conns[c]; held {
		f.queue(c, &f.past)
	}
}

// begin notes that a request has begun to come. Its connection is the last to make room, once it has had some.
func (f *Front) begin(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.in != &f.fresh {
		f.queue(c, &f.begun)
		c.evicted = false
	}
}

// queue moves a connection to the end of a list, or, with nil, out of its own. The caller holds mu.
func (f *Front) queue(c *conn, l *list.List) {
	if c.in != nil {
		c.in.Remove(c.at)
	}
	if c.in = l; l != nil {
		c.since, c.at = time.Now(), l.PushBack(c)
	}
}

// rest puts a connection among those between requests, and closes the longest idle of too many. It guards
// clients against each other: together they may hold only so many connections to a broker, and where some ask
// once and hold theirs for good, the others could open none.
func (f *Front) rest(c *conn) {
	f.mu.Lock()
	if !c.evicted {
		f.queue(c, &f.kept)
	}
	many := f.opt.IdleMost > 0 && f.kept.Len() > f.opt.IdleMost
	f.mu.Unlock()
	if many {
		f.evict(&f.kept, 0)
	}
}

// hold takes a connection off the lists, since its request has come. It makes no room any more.
func (f *Front) hold(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue(c, nil)
	c.evicted = false
}

// buffer books what a connection holds of requests and tells whether it may. It guards the memory against
// many large requests at once: each alone is within bounds.
func (f *Front) buffer(c *conn, n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	grows := n > c.buffered
	f.buffers += n - c.buffered
	c.buffered = n
	return !grows || f.buffers <= f.opt.Buffers
}

// End sends clients away as planned, from now on: answers say that the connection closes, and clients have a grace to
// ask once more on those they have, since closing them all at once sends every client off at the same moment, perhaps
// to nobody. Then nobody is accepted any more and connections that wait for nothing end, the others once they have
// their answers. It returns when all have ended, or ctx has.
func (f *Front) End(ctx context.Context, plan drain.End) {
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
	step(0, func() { f.end.closing = true })
	step(plan.Idle-plan.Accepts, func() {
		f.end.idle = true
		if f.listener == nil {
			return
		}
		if err := f.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			f.log.Warn("the listener did not close", "error", err)
		}
	})
	done := make(chan struct{})
	go func() {
		<-f.accepted
		f.wg.Wait()
		close(done)
	}()
	last := time.AfterFunc(plan.Answers-plan.Idle, func() { step(0, func() { f.end.all = true }) })
	defer last.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Drain sends clients away: operators want this process empty, but running. Rejoin takes them again.
func (f *Front) Drain() {
	f.mu.Lock()
	f.drain.Leave(time.Now())
	f.mu.Unlock()
	time.AfterFunc(drain.Next(), f.wakeAll)
}

// Rejoin ends a drain.
func (f *Front) Rejoin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drain.Join()
}

// Takes tells whether clients are taken.
func (f *Front) Takes() bool {
	f.mu.Lock()
	takes := !f.end.closing && f.drain.Up()
	f.mu.Unlock()
	return takes && f.core.Ready()
}

// Refuses tells whether a drain has come so far that requests are refused, by whatever front.
func (f *Front) Refuses() bool {
	_, refuses := f.drained()
	return refuses
}

// wakeAll has each connection look at what has changed.
func (f *Front) wakeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.nudge()
	}
}

// nudge has the connection look at what has changed.
func (c *conn) nudge() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// state tells how far clients are sent away: for the process's end, or by a drain.
func (f *Front) state() ends {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.end
	e.closing, e.idle = e.closing || f.drain.Closing(), e.idle || f.drain.ClosesIdle(time.Now())
	return e
}

// drained tells whether the process is up for clients, and whether requests are refused.
func (f *Front) drained() (down, refuses bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.drain.Up(), f.drain.Refuses(time.Now())
}
