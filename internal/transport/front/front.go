// Package front is the HTTP/1.1 front for clients: it connects the state machines of package httpwire to sockets. Each
// connection has a goroutine that owns and serves it and one that only reads; both end with the connection.
package front

import (
	"container/list"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"mothrouter/internal/broker"
	"mothrouter/internal/drain"
	"mothrouter/internal/metrics"
	"mothrouter/internal/transport/fairqueue"
)

// Core is the part of the broker that the front uses.
type Core interface {
	// Submit posts a request. The client gets its result once, unless it disconnects first.
	Submit(*broker.Request, broker.Client)
	// Disconnect reports that the client of a request has disconnected. It does not block.
	Disconnect(*broker.Request)
	// Ready reports whether the broker can serve: it has received an endpoint list, and its loop runs.
	Ready() bool
}

// Options are the settings of a Front.
type Options struct {
	Classes          map[string]int    // indexes of the classes, by name
	Shards           int               // number of shards; 0: unknown
	MaxConns         int               // concurrent client connections
	MaxIdleConns     int               // client connections between requests; 0: no bound
	MaxBufferedBytes int               // bytes of requests in memory, beyond maxIdleBuffer for each connection
	RetryAfter       float64           // seconds after which a rejected client should retry; 0: not stated
	Metrics          *metrics.Counters // counts requests by class and HTTP status; nil: they are not counted
	// Scheduler grants the turns in which input is processed; nil: a new one with a single slot.
	Scheduler *fairqueue.Scheduler
}

// Front serves client connections.
type Front struct {
	opt         Options
	core        Core
	scheduler   *fairqueue.Scheduler
	log         *slog.Logger
	slots       chan struct{} // one for each connection that is served, MaxConns in total
	rejectSlots chan struct{} // one for each connection over capacity that is being answered, maxRejecting in total
	wg          sync.WaitGroup

	mu             sync.Mutex    // guards the fields below, except serveEnded
	shutdown       shutdownStage // stage of the process's shutdown
	drain          drain.State
	conns          map[*conn]struct{} // connections with a slot
	lingeringConns list.List          // conns that linger, earliest first
	newConns       list.List          // conns without a complete request, earliest accept first
	idleConns      list.List          // conns between requests, longest idle first
	receivingConns list.List          // conns with a part of their next request, earliest first byte first
	bufferedBytes  int                // sum of reservedBytes of conns
	listener       net.Listener       // nil before Serve

	serveEnded chan struct{} // closed when Serve returns
}

// New returns a front that submits queries to core.
func New(opt Options, core Core, log *slog.Logger) *Front {
	if opt.Scheduler == nil {
		opt.Scheduler = fairqueue.NewScheduler(1)
	}
	return &Front{
		opt:         opt,
		core:        core,
		scheduler:   opt.Scheduler,
		log:         log,
		slots:       make(chan struct{}, max(opt.MaxConns, 1)),
		rejectSlots: make(chan struct{}, maxRejecting),
		conns:       map[*conn]struct{}{},
		serveEnded:  make(chan struct{}),
	}
}

// Serve accepts connections until the listener is closed, and then returns nil.
func (f *Front) Serve(l net.Listener) error {
	defer close(f.serveEnded)
	f.setListener(l)
	accepts := f.scheduler.NewFlow()
	for {
		sock, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			f.log.Warn("accept failed", "error", err)
			time.Sleep(acceptBackoff) // out of descriptors: some are freed as connections end
			continue
		}
		admitted := f.admit()
		accepts.Wait()
		c := newConn(f, sock)
		if admitted {
			f.start(c)
		} else {
			f.rejectOverCapacity(c)
		}
		accepts.Release(fairqueue.AcceptCost)
		accepts.Charge(acceptTime)
	}
}

// setListener records the listener for Shutdown, and closes it if Shutdown has already reached the stage closeIdle.
func (f *Front) setListener(l net.Listener) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listener = l
	if f.shutdown.closeIdle {
		l.Close()
	}
}

// start serves an admitted connection in its own goroutine, which frees the slot when the connection ends.
func (f *Front) start(c *conn) {
	f.addConn(c)
	f.wg.Go(func() {
		c.serve()
		f.removeConn(c)
		<-f.slots
	})
}

func (f *Front) addConn(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = struct{}{}
	f.moveTo(c, &f.newConns)
}

func (f *Front) removeConn(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
	f.moveTo(c, nil)
	f.bufferedBytes -= c.reservedBytes
}
