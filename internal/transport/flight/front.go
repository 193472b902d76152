package flight

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"time"

	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"mothrouter/internal/broker"
	"mothrouter/internal/drain"
)

// secondsOf converts seconds to a duration.
func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Core is the part of the broker that the front uses.
type Core interface {
	// Submit posts a request. The client gets its result once, unless it disconnects first.
	Submit(*broker.Request, broker.Client)
	// Disconnect reports that the client of a request has disconnected. It does not block.
	Disconnect(*broker.Request)
}

// Options are the settings of a Front.
type Options struct {
	Classes  map[string]int // indexes of the classes, by name
	Shards   int            // number of shards; 0: unknown
	MaxConns int            // concurrent client connections
}

const (
	maxStreams        = 16       // concurrent calls on a connection
	maxCalls          = 128      // concurrent queries on all connections
	flowControlWindow = 64 << 10 // unread bytes of a stream and of a connection; a fixed value disables gRPC's dynamic window
)

// Front serves Flight clients with the same core as the HTTP front.
type Front struct {
	flight.BaseFlightServer
	opt    Options
	core   Core
	server *grpc.Server
	slots  chan struct{} // one for each call in flight, maxCalls in total
}

// NewFront returns a front that submits queries to core.
func NewFront(opt Options, core Core) *Front {
	f := &Front{opt: opt, core: core, slots: make(chan struct{}, maxCalls)}
	f.server = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageSize),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.InitialWindowSize(flowControlWindow),
		grpc.InitialConnWindowSize(flowControlWindow),
		grpc.StreamInterceptor(f.admit),
		grpc.MaxHeaderListSize(maxHeaderListSize),
		grpc.ConnectionTimeout(10*time.Second),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 90 * time.Second}),
	)
	flight.RegisterFlightServiceServer(f.server, f)
	return f
}

// Serve accepts connections until Stop. The listener is based on a presence.Listener; on other connections a close is known only once
// it has been read.
func (f *Front) Serve(l net.Listener, log *slog.Logger) error {
	log.Info("serving Arrow Flight", "listen", l.Addr().String())
	return f.server.Serve(netutil.LimitListener(l, max(f.opt.MaxConns, 1)))
}

// flushTimeout is how long the last statuses of calls may take to be written before the connections are closed. It is longer
// than a process may be held up.
const flushTimeout = 300 * time.Millisecond

// Shutdown ends the front at the times of the plan, which count from startedAt. From AnnounceClose on it accepts no new calls. It
// returns when those in flight have ended with their statuses and all connections have closed. Connections without calls are
// closed after ExitBy, all of them when ctx is done.
func (f *Front) Shutdown(ctx context.Context, startedAt time.Time, plan drain.ShutdownPlan) {
	sleepUntil(ctx, startedAt.Add(plan.AnnounceClose))
	stopped := make(chan struct{})
	go func() {
		f.server.GracefulStop()
		close(stopped)
	}()
	closing, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		sleepUntil(ctx, startedAt.Add(plan.ExitBy))
		f.awaitCalls(ctx)
		sleepUntil(ctx, time.Now().Add(flushTimeout))
	}()
	select {
	case <-stopped:
	case <-closing.Done(): // a client keeps its connection open, or has not read its answer
		f.server.Stop()
		<-stopped
	}
}

// awaitCalls waits until no call is in flight or ctx is done. Calls that begin later are rejected.
func (f *Front) awaitCalls(ctx context.Context) {
	for range cap(f.slots) {
		select {
		case f.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// sleepUntil returns at t, or once ctx is done.
func sleepUntil(ctx context.Context, t time.Time) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// admit bounds the calls in flight to maxCalls, and rejects others before their tickets are read.
func (f *Front) admit(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	select {
	case f.slots <- struct{}{}:
		defer func() { <-f.slots }()
		return next(srv, stream)
	default:
		return statusOf(broker.Result{Outcome: broker.Rejected, RetryAfter: 1})
	}
}

// request returns the broker's request for a ticket. Its errors are gRPC statuses.
func (f *Front) request(ctx context.Context, data []byte) (*broker.Request, *Ticket, error) {
	now := time.Now()
	t, err := parseTicket(data)
	if err != nil {
		return nil, nil, status.Error(codes.InvalidArgument, err.Error())
	}
	class, ok := f.opt.Classes[t.Class]
	if !ok {
		return nil, nil, status.Errorf(codes.NotFound, "class: no class of query is named %q", t.Class)
	}
	r := &broker.Request{
		ID:           t.ID,
		Class:        class,
		Retry:        t.Retry,
		ReceivedAt:   now,
		TimeoutUnset: true,
		Payload:      []byte(t.Query),
	}
	if d, ok := ctx.Deadline(); ok {
		r.Timeout = d.Sub(now)
		r.TimeoutUnset = false
	}
	r.Parts, err = t.Parts()
	if err == nil {
		err = r.Normalize(f.opt.Shards)
	}
	if err != nil {
		return nil, nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return r, t, nil
}

// client receives the result of one query.
type client chan broker.Result

// Finish implements broker.Client.
func (c client) Finish(r broker.Result) { c <- r }

// DoGet serves one query: a row for each part that answered, then the AnswerMetadata.
func (f *Front) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	ctx := stream.Context()
	r, t, err := f.request(ctx, ticket.GetTicket())
	if err != nil {
		return err
	}
	conn := callerOf(ctx)
	if err := conn.await(); err != nil {
		return err
	}
	r.Conn = conn
	c := make(client, 1)
	f.core.Submit(r, c)
	select {
	case res := <-c:
		if res.Outcome != broker.Answered {
			return statusOf(res)
		}
		return writeAnswer(stream, t, res)
	case <-ctx.Done():
		f.core.Disconnect(r)
		return status.FromContextError(ctx.Err()).Err()
	}
}

// writeAnswer sends the rows, and only after them the metadata that states whether the answer is complete.
func writeAnswer(stream flight.DataStreamWriter, t *Ticket, res broker.Result) error {
	schema := answerSchema(t.ID, t.Class)
	w := flight.NewRecordWriter(stream, ipc.WithSchema(schema))
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer builder.Release()
	for _, v := range res.Values {
		builder.Field(0).(*array.Int32Builder).Append(int32(v.Shard))
		builder.Field(1).(*array.StringBuilder).Append(string(v.Data))
	}
	batch := builder.NewRecordBatch()
	defer batch.Release()
	if err := w.Write(batch); err != nil {
		return status.Error(codes.Aborted, err.Error())
	}
	metadata, err := json.Marshal(AnswerMetadata{ID: t.ID, Class: t.Class, Complete: res.Complete, Parts: len(res.Values)})
	if err == nil {
		err = w.WriteMetadata(metadata)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return status.Error(codes.Aborted, err.Error())
	}
	return nil
}

// GetFlightInfo returns the ticket and schema for the query in the descriptor's command. It does not run the query.
func (f *Front) GetFlightInfo(ctx context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	r, t, err := f.request(ctx, d.GetCmd())
	if err != nil {
		return nil, err
	}
	return &flight.FlightInfo{
		Schema:           flight.SerializeSchema(answerSchema(t.ID, t.Class), memory.DefaultAllocator),
		FlightDescriptor: d,
		Endpoint:         []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: d.GetCmd()}}},
		TotalRecords:     int64(len(r.Parts)),
		TotalBytes:       -1, // unknown
	}, nil
}

// GetSchema returns the schema of a query's answer.
func (f *Front) GetSchema(ctx context.Context, d *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	_, t, err := f.request(ctx, d.GetCmd())
	if err != nil {
		return nil, err
	}
	schema := answerSchema(t.ID, t.Class)
	return &flight.SchemaResult{Schema: flight.SerializeSchema(schema, memory.DefaultAllocator)}, nil
}
