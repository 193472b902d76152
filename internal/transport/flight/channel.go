package flight

import (
	"errors"
	"slices"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

// channel is one gRPC connection to a record server.
type channel struct {
	conn      *grpc.ClientConn
	client    flight.Client
	calls     int         // in flight
	idleTimer *time.Timer // closes the connection; nil while calls are in flight
}

// stopIdleTimer stops the idle timer, if it runs.
func (ch *channel) stopIdleTimer() {
	if ch.idleTimer != nil {
		ch.idleTimer.Stop()
		ch.idleTimer = nil
	}
}

// acquire reserves a stream on a connection to addr. If all connections to addr are full, it opens another, or
// returns errNoConn if MaxConns does not allow it and no connection is idle.
func (l *Link) acquire(addr string) (*channel, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ch := range l.conns[addr] {
		if ch.calls < l.opt.MaxStreams {
			ch.stopIdleTimer()
			ch.calls++
			return ch, nil
		}
	}
	atLimit := l.opt.MaxConns > 0 && l.openConns >= l.opt.MaxConns
	if atLimit && !l.evictIdle() {
		return nil, errNoConn
	}
	return l.open(addr)
}

// open opens a connection to addr with one call reserved on it. The caller holds mu.
func (l *Link) open(addr string) (*channel, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		// The broker decides on all attempts of a part, so gRPC must not retry.
		grpc.WithDisableRetry(),
		grpc.WithStreamInterceptor(gateStream),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(l.idleLimit()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: l.opt.ConnectTimeout,
		}),
		grpc.WithMaxHeaderListSize(maxHeaderListSize),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
	)
	if err != nil {
		return nil, err
	}
	ch := &channel{conn: conn, client: flight.NewClientFromConn(conn, nil), calls: 1}
	l.conns[addr] = append(l.conns[addr], ch)
	l.openConns++
	return ch, nil
}

var errNoConn = errors.New("all connections to record servers are in use")

// evictIdle closes a connection without calls in flight and reports whether it found one. The caller holds mu.
func (l *Link) evictIdle() bool {
	for addr, list := range l.conns {
		for _, ch := range list {
			if ch.calls == 0 {
				l.remove(addr, ch)
				return true
			}
		}
	}
	return false
}

// release ends a call on a connection. A connection without calls in flight is closed: at once if there is another one to the
// server, else after idleLimit, so that no connections to removed servers stay open.
func (l *Link) release(addr string, ch *channel) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ch.calls--
	switch {
	case ch.calls > 0:
	case len(l.conns[addr]) > 1:
		l.remove(addr, ch)
	default:
		ch.idleTimer = time.AfterFunc(l.idleLimit(), func() { l.removeIdle(addr, ch) })
	}
}

// removeIdle removes a connection unless a call is in flight on it.
func (l *Link) removeIdle(addr string, ch *channel) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ch.calls == 0 {
		l.remove(addr, ch)
	}
}

// idleLimit returns how long a connection may be idle: four fifths of the time after which servers close it.
func (l *Link) idleLimit() time.Duration { return l.opt.IdleTimeout * 4 / 5 }

// remove closes a connection and removes it from the link. The caller holds mu.
func (l *Link) remove(addr string, ch *channel) {
	list := slices.DeleteFunc(l.conns[addr], func(other *channel) bool { return other == ch })
	if len(list) < len(l.conns[addr]) {
		l.openConns--
	}
	l.conns[addr] = list
	if len(list) == 0 {
		delete(l.conns, addr)
	}
	ch.conn.Close()
}
