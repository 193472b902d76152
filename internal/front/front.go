// Package front is the thin front for the platform's clients: it drives httpwire's machine over sockets.
package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"cloverhook/internal/broker"
	"cloverhook/internal/httpwire"
)

const (
	writeLimit = 2 * time.Second  // a client that takes no bytes for so long is given up
	headLimit  = 10 * time.Second // for a request to come whole, from its first byte
	idleLimit  = 90 * time.Second
	lingerFor  = 100 * time.Millisecond
	keepMost   = 16 << 10 // bytes of a connection's write buffer that are kept for the next answer
)

// Core is what the front needs of the broker.
type Core interface {
	Take(*broker.Request, broker.Client)
	Leave(*broker.Request)
	Serving() bool
}

// Options are what the deployment fixes.
type Options struct {
	Classes  map[string]int // class by name
	Shards   int            // 0: not told
	ConnsMax int            // client connections held at most
}

// Front serves client connections.
type Front struct {
	opt   Options
	core  Core
	log   *slog.Logger
	slots chan struct{}
	wg    sync.WaitGroup

	mu      sync.Mutex
	closing bool // answers say Connection: close
	ending  bool // connections end as soon as nothing is held
	conns   map[*conn]struct{}
}

// New makes a front to core.
func New(opt Options, core Core, log *slog.Logger) *Front {
	return &Front{
		opt: opt, core: core, log: log, slots: make(chan struct{}, max(opt.ConnsMax, 1)),
		conns: map[*conn]struct{}{},
	}
}

// Serve accepts until the listener is closed.
func (f *Front) Serve(l net.Listener) error {
	for {
		sock, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			f.log.Warn("accept failed", "err", err)
			time.Sleep(10 * time.Millisecond) // out of descriptors: some will come free
			continue
		}
		select {
		case f.slots <- struct{}{}:
		default:
			// Guards the descriptors: with too many connections, one more is told so and closed.
			sock.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
			sock.Write((&httpwire.Response{Status: 503, RetryAfter: 1, Close: true}).Append(nil))
			sock.Close()
			continue
		}
		c := &conn{f: f, sock: sock, reply: make(chan broker.Result, 1), wake: make(chan struct{}, 1)}
		f.mu.Lock()
		f.conns[c] = struct{}{}
		f.mu.Unlock()
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			c.serve()
			f.mu.Lock()
			delete(f.conns, c)
			f.mu.Unlock()
			<-f.slots
		}()
	}
}

// Closing has answers say from now on that the connection closes.
func (f *Front) Closing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closing = true
}

// End closes connections that wait for nothing now, the others once they have their answers, and waits for
// that until ctx ends.
func (f *Front) End(ctx context.Context) {
	f.mu.Lock()
	f.closing, f.ending = true, true
	for c := range f.conns {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	f.mu.Unlock()
	done := make(chan struct{})
	go func() {
		f.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (f *Front) state() (closing, ending bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closing, f.ending
}
