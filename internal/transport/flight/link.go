package flight

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/frame"
	"mothrouter/internal/transport/httpwire"
)

// LinkOptions are the settings of a Link.
type LinkOptions struct {
	MaxStreams     int           // concurrent calls on one connection
	MaxConns       int           // connections to all servers; 0: no bound
	IdleTimeout    time.Duration // connections that are idle for four fifths of it are closed
	ConnectTimeout time.Duration
}

// Link is the link to record servers that speak Flight.
type Link struct {
	opt LinkOptions
	ctx context.Context

	mu        sync.Mutex // guards what follows
	conns     map[string][]*channel
	openConns int // connections in all
	calls     map[*broker.Call]context.CancelFunc
}

// channel is one gRPC connection and the calls on it.
type channel struct {
	conn   *grpc.ClientConn
	client flight.Client
	calls  int
	idle   *time.Timer // runs while there are no calls
}

// NewLink returns a link whose connections end with ctx.
func NewLink(ctx context.Context, opt LinkOptions) *Link {
	opt.MaxStreams = max(opt.MaxStreams, 1)
	l := &Link{opt: opt, ctx: ctx, conns: map[string][]*channel{}, calls: map[*broker.Call]context.CancelFunc{}}
	context.AfterFunc(ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, list := range l.conns {
			for _, ch := range list {
				if ch.idle != nil {
					ch.idle.Stop()
				}
				ch.conn.Close()
			}
		}
		l.conns = map[string][]*channel{}
	})
	return l
}

// acquire reserves a stream on a connection to addr, which it opens if all are full.
func (l *Link) acquire(addr string) (*channel, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ch := range l.conns[addr] {
		if ch.calls < l.opt.MaxStreams {
			if ch.idle != nil {
				ch.idle.Stop()
				ch.idle = nil
			}
			ch.calls++
			return ch, nil
		}
	}
	if l.opt.MaxConns > 0 && l.openConns >= l.opt.MaxConns && !l.evictIdle() {
		return nil, errNoConn
	}
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		// The broker decides on the attempts of a part: gRPC must not retry by itself.
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(l.opt.IdleTimeout*4/5),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: l.opt.ConnectTimeout,
		}),
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

var errNoConn = errors.New("no connection is left")

// evictIdle closes a connection without calls. The caller holds mu.
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

// release ends a call on a connection. A connection without calls is closed: at once where the server has another, else after
// the idle time, so that removed servers leave none behind.
func (l *Link) release(addr string, ch *channel) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch ch.calls--; {
	case ch.calls > 0:
	case len(l.conns[addr]) > 1:
		l.remove(addr, ch)
	default:
		ch.idle = time.AfterFunc(l.opt.IdleTimeout*4/5, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			if ch.calls == 0 {
				l.remove(addr, ch)
			}
		})
	}
}

// remove closes a connection and removes it from the link. The caller holds mu.
func (l *Link) remove(addr string, ch *channel) {
	list := slices.DeleteFunc(l.conns[addr], func(other *channel) bool { return other == ch })
	if len(list) < len(l.conns[addr]) {
		l.openConns--
	}
	if l.conns[addr] = list; len(list) == 0 {
		delete(l.conns, addr)
	}
	ch.conn.Close()
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

// gate decides, just before a call's header is written, whether the call may still start. It implements
// credentials.PerRPCCredentials, whose method gRPC calls at that moment. It passes a call once: gRPC's transparent retry, of a
// call that the server did not process, would start an attempt that the broker has not decided on.
type gate struct {
	call    *broker.Call
	mu      sync.Mutex
	passed  bool
	blocked bool // the call was stopped before anything was written
}

var errNotStarted = status.Error(codes.FailedPrecondition, "the call may not be sent any more")

// GetRequestMetadata implements credentials.PerRPCCredentials. It adds no metadata.
func (g *gate) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.passed {
		return nil, errNotStarted
	}
	if !g.call.TryStart() {
		g.blocked = true
		return nil, errNotStarted
	}
	g.passed = true
	return nil, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials.
func (g *gate) RequireTransportSecurity() bool { return false }

func (g *gate) mayHaveRun() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.passed
}

// get runs one call and returns its result.
func (l *Link) get(ctx context.Context, c *broker.Call) broker.CallResult {
	ch, err := l.acquire(c.Addr)
	if err != nil {
		return broker.ResultOf(decision.NotSent) // the server is not at fault
	}
	defer l.release(c.Addr, ch)
	ticket, err := json.Marshal(partTicket(c))
	if err != nil {
		return broker.ResultOf(decision.NotSent)
	}
	g := &gate{call: c}
	stream, err := ch.client.DoGet(ctx, &flight.Ticket{Ticket: ticket}, grpc.PerRPCCredentials(g))
	if err != nil {
		return failedResult(err, g)
	}
	r, err := readPart(stream)
	switch {
	case err != nil:
		return failedResult(err, g)
	case !utf8.Valid(r.Value):
		return broker.ResultOf(decision.Error) // a JSON answer cannot contain it
	}
	return r
}

var errTooLong = errors.New("the value is too long")

// readPart reads a part's stream to its status. Only a stream that ends with OK has delivered the part.
func readPart(stream flight.FlightService_DoGetClient) (broker.CallResult, error) {
	part := broker.CallResult{Status: decision.OK, LoadReport: decision.NoLoadReport, Value: []byte{}}
	r, err := flight.NewRecordReader(stream)
	if err != nil {
		return part, err
	}
	defer r.Release()
	column := r.Schema().FieldIndices("value")
	if len(column) != 1 {
		return part, errors.New("a part's schema has one column named value")
	}
	for r.Next() {
		rows, ok := r.RecordBatch().Column(column[0]).(*array.String)
		if !ok {
			return part, errors.New("a part's value is utf8")
		}
		for i := range rows.Len() {
			if part.Value = append(part.Value, rows.Value(i)...); len(part.Value) > httpwire.MaxBody {
				return part, errTooLong
			}
		}
		readMetadata(r.LatestAppMetadata(), &part)
	}
	if err := r.Err(); err != nil && !errors.Is(err, io.EOF) {
		return part, err
	}
	return part, nil
}

// scoreName is the metadata's name for the score of a part.
const scoreName = "score"

// readMetadata parses the load report and the score in a message's metadata, name=value pairs separated by commas. A pair that
// cannot be parsed counts as absent: the value is valid all the same.
func readMetadata(data []byte, part *broker.CallResult) {
	if len(data) == 0 {
		return
	}
	if report, err := frame.ParseLoadReport(data); err == nil {
		part.LoadReport = report
	}
	for pair := range bytes.SplitSeq(data, []byte{','}) {
		name, number, _ := bytes.Cut(pair, []byte{'='})
		if string(name) != scoreName {
			continue
		}
		if score, err := strconv.ParseInt(string(number), 10, 64); err == nil {
			part.Score, part.Scored = score, true
		}
	}
}

// failedResult returns the result of a call that ended without an answer. It cannot have run if its header was never written or
// the server rejected it; it may have run otherwise, also where the stream ended without a status.
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

// CheckHealth requests a load report by the action "load".
func (l *Link) CheckHealth(p *broker.HealthCheck) {
	go func() {
		ctx, cancel := context.WithDeadline(l.ctx, p.Deadline)
		defer cancel()
		p.Finish(l.queryLoad(ctx, p))
	}()
}

func (l *Link) queryLoad(ctx context.Context, p *broker.HealthCheck) broker.CallResult {
	ch, err := l.acquire(p.Addr)
	if err != nil {
		return broker.ResultOf(decision.NotSent)
	}
	defer l.release(p.Addr, ch)
	stream, err := ch.client.DoAction(ctx, &flight.Action{Type: "load"})
	var res *flight.Result
	if err == nil {
		res, err = stream.Recv()
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
	if load, err := frame.ParseLoadReport(res.GetBody()); err == nil {
		r.LoadReport = load
	}
	return r
}

// ProtocolSelector sends by Flight to the servers that speak it, and by Frames to all others.
type ProtocolSelector struct {
	Frames, Flight broker.Link
	FlightServers  map[string]bool // ids of servers that speak Flight
}

func (s *ProtocolSelector) linkTo(server *broker.Server) broker.Link {
	if s.FlightServers[server.ID] {
		return s.Flight
	}
	return s.Frames
}

// Send starts a call.
func (s *ProtocolSelector) Send(c *broker.Call) { s.linkTo(c.Server).Send(c) }

// Cancel ends a call.
func (s *ProtocolSelector) Cancel(c *broker.Call) { s.linkTo(c.Server).Cancel(c) }

// CheckHealth starts a health check.
func (s *ProtocolSelector) CheckHealth(check *broker.HealthCheck) {
	s.linkTo(check.Server).CheckHealth(check)
}
