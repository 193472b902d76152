package flight

import (
	"context"
	"encoding/json"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/frame"
)

// LinkOptions are the settings of a Link.
type LinkOptions struct {
	MaxStreams     int           // concurrent calls on one connection
	MaxConns       int           // connections to all servers; 0: no bound
	IdleTimeout    time.Duration // after which servers close idle connections; the link closes them after four fifths of it
	ConnectTimeout time.Duration // minimum time for each attempt to connect
}

// Link is the link to record servers that speak Flight.
type Link struct {
	opt LinkOptions
	ctx context.Context

	mu        sync.Mutex                          // guards the fields below
	conns     map[string][]*channel               // by address
	openConns int                                 // to all servers
	calls     map[*broker.Call]context.CancelFunc // cancel functions of the calls in flight
}

// NewLink returns a link. Its connections are closed when ctx is done.
func NewLink(ctx context.Context, opt LinkOptions) *Link {
	opt.MaxStreams = max(opt.MaxStreams, 1)
	l := &Link{
		opt:   opt,
		ctx:   ctx,
		conns: map[string][]*channel{},
		calls: map[*broker.Call]context.CancelFunc{},
	}
	context.AfterFunc(ctx, l.closeAll)
	return l
}

// closeAll closes all connections.
func (l *Link) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.conns {
		for _, ch := range list {
			ch.stopIdleTimer()
			ch.conn.Close()
		}
	}
	l.conns = map[string][]*channel{}
}

// Send starts a call.
func (l *Link) Send(c *broker.Call) {
	ctx, cancel := context.WithDeadline(l.ctx, c.Deadline)
	l.mu.Lock()
	l.calls[c] = cancel
	l.mu.Unlock()
	go func() {
		r := l.get(ctx, c)
		cancel()
		l.mu.Lock()
		delete(l.calls, c)
		l.mu.Unlock()
		c.Finish(r)
	}()
}

// Cancel cancels a call's stream.
func (l *Link) Cancel(c *broker.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel := l.calls[c]; cancel != nil {
		cancel()
	}
}

// get requests a part with DoGet and returns the result of the call.
func (l *Link) get(ctx context.Context, c *broker.Call) broker.CallResult {
	ch, err := l.acquire(c.Addr)
	if err != nil {
		return broker.ResultOf(decision.NotSent) // this says nothing about the server
	}
	defer l.release(c.Addr, ch)
	ticket, err := json.Marshal(partTicket(c))
	if err != nil {
		return broker.ResultOf(decision.NotSent)
	}
	g := &gate{call: c}
	stream, err := ch.client.DoGet(withGate(ctx, g), &flight.Ticket{Ticket: ticket}, grpc.PerRPCCredentials(g))
	if err != nil {
		return failedResult(err, g)
	}
	r, err := readPart(stream)
	switch {
	case err != nil:
		return failedResult(err, g)
	case !utf8.Valid(r.Value):
		return broker.ResultOf(decision.Error) // JSON answers cannot contain the value
	}
	return r
}

// failedResult returns the result of a call that ended without an answer. The call cannot have run if its ticket was never
// written or the server rejected it. Otherwise it may have run, even if the stream ended without a status.
func failedResult(err error, g *gate) broker.CallResult {
	switch {
	case g.blocked:
		return broker.ResultOf(decision.NotSent)
	case !g.mayHaveRun():
		return broker.ResultOf(decision.Unreachable)
	case isRejected(err):
		return broker.ResultOf(decision.Overloaded)
	}
	switch status.Code(err) {
	case codes.DeadlineExceeded:
		return broker.ResultOf(decision.TimedOut)
	case codes.Unavailable, codes.Internal, codes.Unknown, codes.Canceled:
		return broker.ResultOf(decision.Reset)
	}
	return broker.ResultOf(decision.Error)
}

// CheckHealth starts a health check, which requests a load report with the Flight action "load".
func (l *Link) CheckHealth(check *broker.HealthCheck) {
	go func() {
		ctx, cancel := context.WithDeadline(l.ctx, check.Deadline)
		defer cancel()
		check.Finish(l.queryLoad(ctx, check))
	}()
}

// queryLoad makes one health check and returns its result.
func (l *Link) queryLoad(ctx context.Context, check *broker.HealthCheck) broker.CallResult {
	ch, err := l.acquire(check.Addr)
	if err != nil {
		return broker.ResultOf(decision.NotSent)
	}
	defer l.release(check.Addr, ch)
	stream, err := ch.client.DoAction(ctx, &flight.Action{Type: "load"})
	var result *flight.Result
	if err == nil {
		result, err = stream.Recv()
	}
	switch status.Code(err) {
	case codes.OK:
	case codes.Unavailable:
		return broker.ResultOf(decision.Unreachable)
	case codes.DeadlineExceeded, codes.Canceled:
		return broker.ResultOf(decision.TimedOut)
	default:
		return broker.ResultOf(decision.Error)
	}
	r := broker.ResultOf(decision.OK)
	report, err := frame.ParseLoadReport(result.GetBody())
	if err == nil {
		r.LoadReport = report
	}
	return r
}
