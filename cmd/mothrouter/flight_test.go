package main_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/stretchr/testify/require"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	mothflight "mothrouter/internal/transport/flight"
	"mothrouter/internal/transport/httpwire"
)

// flightRecordServer is a stand-in record server that speaks Flight. Its answer to a part is up to the test.
type flightRecordServer struct {
	flight.BaseFlightServer
	answer   func(t mothflight.PartTicket, s flight.FlightService_DoGetServer) error
	mu       sync.Mutex
	conns    []net.Conn
	received []string // ids of the parts that came
}

// Accept and Close make it a listener that can break off its connections.
type trackedListener struct {
	net.Listener
	s *flightRecordServer
}

func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.s.mu.Lock()
		l.s.conns = append(l.s.conns, c)
		l.s.mu.Unlock()
	}
	return c, err
}

// closeConnections ends all connections without a word.
func (s *flightRecordServer) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *flightRecordServer) parts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.received...)
}

func (s *flightRecordServer) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	var t mothflight.PartTicket
	if err := json.Unmarshal(ticket.Ticket, &t); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	s.mu.Lock()
	s.received = append(s.received, t.ID)
	s.mu.Unlock()
	return s.answer(t, stream)
}

// sendValue sends a part's value in pieces, as batches.
func sendValue(stream flight.FlightService_DoGetServer, pieces ...string) error {
	schema := arrow.NewSchema([]arrow.Field{{Name: "value", Type: arrow.BinaryTypes.String}}, nil)
	w := flight.NewRecordWriter(stream, ipc.WithSchema(schema))
	for _, piece := range pieces {
		b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
		b.Field(0).(*array.StringBuilder).Append(piece)
		rec := b.NewRecordBatch()
		if err := w.WriteWithAppMetadata(rec, []byte("inflight=2,util=0.3")); err != nil {
			return err
		}
	}
	return w.Close()
}

func (p *exchangePlayer) flightServer(name string, answer func(mothflight.PartTicket, flight.FlightService_DoGetServer) error) *flightRecordServer {
	s := &flightRecordServer{answer: answer}
	g := grpc.NewServer()
	flight.RegisterFlightServiceServer(g, s)
	go g.Serve(trackedListener{p.listener(name), s})
	p.t.Cleanup(g.Stop)
	return s
}

// startFlight runs the program with Flight on and returns a client of it.
func (p *exchangePlayer) startFlight(speaks string, known ...string) flight.Client {
	addr := unusedAddress(p.t)
	file := filepath.Join(p.t.TempDir(), "flight.toml")
	text := fmt.Sprintf("listen = %q\nservers = [%s]\n", addr, speaks)
	require.NoError(p.t, os.WriteFile(file, []byte(text), 0o600))
	p.start(known, 400, 1024, 15, "-flight", file)
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithInitialWindowSize(64<<10), grpc.WithInitialConnWindowSize(64<<10)) // both stay so small
	require.NoError(p.t, err)
	p.t.Cleanup(func() { conn.Close() })
	return flight.NewClientFromConn(conn, nil)
}

func queryTicket(id, class string, parts int) []byte {
	t := mothflight.Ticket{ID: id, Class: class, Body: httpwire.Body{Query: "x"}}
	for i := range parts {
		t.Targets = append(t.Targets, httpwire.Target{Partition: i, Weight: 1 / float64(parts)})
	}
	text, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	return text
}

type flightAnswer struct {
	values  map[int32]string
	closing *mothflight.Closing // nil: the answer was cut
	schema  *arrow.Schema
}

// fetchAnswer fetches a query to the end of its stream.
func fetchAnswer(ctx context.Context, c flight.Client, ticket []byte) (a flightAnswer, err error) {
	stream, err := c.DoGet(ctx, &flight.Ticket{Ticket: ticket}, grpc.WaitForReady(true))
	if err != nil {
		return a, err
	}
	var last []byte
	r, err := flight.NewRecordReader(metadataStream{stream, &last})
	if err != nil {
		return a, err
	}
	defer r.Release()
	a.values, a.schema = map[int32]string{}, r.Schema()
	for r.Next() {
		rec := r.RecordBatch()
		for i := range int(rec.NumRows()) {
			a.values[rec.Column(0).(*array.Int32).Value(i)] = rec.Column(1).(*array.String).Value(i)
		}
	}
	if err := r.Err(); err != nil && !errors.Is(err, io.EOF) {
		return a, err
	}
	if len(last) > 0 {
		a.closing = &mothflight.Closing{}
		err = json.Unmarshal(last, a.closing)
	}
	return a, err
}

// metadataStream keeps the metadata of the last message, which carries no rows.
type metadataStream struct {
	flight.FlightService_DoGetClient
	last *[]byte
}

func (s metadataStream) Recv() (*flight.FlightData, error) {
	m, err := s.FlightService_DoGetClient.Recv()
	if err == nil {
		*s.last = m.AppMetadata
		if len(m.DataHeader) == 0 && len(m.AppMetadata) > 0 {
			return s.Recv()
		}
	}
	return m, err
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// isRejection tells whether an error tells the client that trying again is harmless.
func isRejection(err error) bool {
	for _, d := range status.Convert(err).Details() {
		if _, ok := d.(*errdetails.RetryInfo); ok {
			return status.Code(err) == codes.Unavailable
		}
	}
	return false
}

func answerPart(t mothflight.PartTicket, s flight.FlightService_DoGetServer) error {
	return sendValue(s, "v", fmt.Sprint(t.Partition))
}

func TestFlightServesQueries(t *testing.T) {
	p := newPlayer(t)
	s0 := p.flightServer("s0", answerPart)
	c := p.startFlight(`"s0"`, "s0")
	a, err := fetchAnswer(shortContext(t), c, queryTicket("q1", "tariff-report", 5))
	require.NoError(t, err)
	require.Equal(t, map[int32]string{0: "v0", 1: "v1", 2: "v2", 3: "v3", 4: "v4"}, a.values)
	require.Equal(t, &mothflight.Closing{ID: "q1", Class: "tariff-report", Complete: true, Parts: 5}, a.closing)
	md := a.schema.Metadata()
	require.Equal(t, map[string]string{"mothrouter.id": "q1", "mothrouter.class": "tariff-report"}, md.ToMap())
	require.Len(t, s0.parts(), 5)
	info, err := c.GetFlightInfo(shortContext(t), &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: queryTicket("q2", "charge-post", 1)})
	require.NoError(t, err)
	a, err = fetchAnswer(shortContext(t), c, info.Endpoint[0].Ticket.Ticket)
	require.NoError(t, err)
	require.True(t, a.closing.Complete)
}

func TestFlightReturnsStatusCodes(t *testing.T) {
	p := newPlayer(t)
	begun, hold := make(chan struct{}), make(chan struct{})
	p.flightServer("s0", func(mothflight.PartTicket, flight.FlightService_DoGetServer) error {
		close(begun)
		<-hold
		return status.Error(codes.Aborted, "failed")
	})
	c := p.startFlight(`"s0"`, "s0")
	for want, text := range map[codes.Code]string{
		codes.InvalidArgument: string(queryTicket("", "charge-post", 1)), codes.NotFound: string(queryTicket("q", "no-such", 1)),
	} {
		_, err := fetchAnswer(shortContext(t), c, []byte(text))
		require.Equal(t, want, status.Code(err))
	}
	_, err := fetchAnswer(shortContext(t), c, []byte("{"))
	require.Equal(t, codes.InvalidArgument, status.Code(err))
	first := make(chan error, 1)
	ctx := shortContext(t)
	go func() {
		_, err := fetchAnswer(ctx, c, queryTicket("q", "charge-post", 1))
		first <- err
	}()
	<-begun
	_, err = fetchAnswer(ctx, c, queryTicket("q", "charge-post", 0)) // the same id while it is held
	require.Equal(t, codes.InvalidArgument, status.Code(err))
	_, err = fetchAnswer(ctx, c, queryTicket("q", "charge-post", 1))
	require.Equal(t, codes.AlreadyExists, status.Code(err))
	close(hold)
	require.Equal(t, codes.Aborted, status.Code(<-first)) // it may have run
}

// A stream that breaks halfway through a tariff-report part leaves it not in, and it is fetched again.
func TestFlightRetriesTruncatedStream(t *testing.T) {
	p := newPlayer(t)
	var servers [2]*flightRecordServer
	var once sync.Once
	for i := range servers {
		servers[i] = p.flightServer(fmt.Sprint("s", i), func(mt mothflight.PartTicket, s flight.FlightService_DoGetServer) error {
			broke := false
			once.Do(func() {
				broke = true
				schema := arrow.NewSchema([]arrow.Field{{Name: "value", Type: arrow.BinaryTypes.String}}, nil)
				w := flight.NewRecordWriter(s, ipc.WithSchema(schema))
				b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
				b.Field(0).(*array.StringBuilder).Append("half")
				if err := w.Write(b.NewRecordBatch()); err == nil {
					time.Sleep(50 * time.Millisecond) // so that the half has left
				}
				servers[i].closeConnections()
			})
			if broke {
				<-s.Context().Done()
				return s.Context().Err()
			}
			return answerPart(mt, s)
		})
	}
	c := p.startFlight(`"s0", "s1"`, "s0", "s1")
	a, err := fetchAnswer(shortContext(t), c, queryTicket("q1", "tariff-report", 1))
	require.NoError(t, err)
	require.Equal(t, map[int32]string{0: "v0"}, a.values)
	require.True(t, a.closing.Complete)
	require.Equal(t, []string{"q1.0", "q1.0"}, append(servers[0].parts(), servers[1].parts()...))
}

// A charge-post stream that ends without a status may have run: never sent again, never refused.
func TestFlightNeverRetriesNonIdempotentAfterReset(t *testing.T) {
	p := newPlayer(t)
	var servers [2]*flightRecordServer
	for i := range servers {
		servers[i] = p.flightServer(fmt.Sprint("s", i), func(_ mothflight.PartTicket, s flight.FlightService_DoGetServer) error {
			servers[i].closeConnections()
			<-s.Context().Done()
			return s.Context().Err()
		})
	}
	c := p.startFlight(`"s0", "s1"`, "s0", "s1")
	_, err := fetchAnswer(shortContext(t), c, queryTicket("q1", "charge-post", 1))
	require.Equal(t, codes.Aborted, status.Code(err))
	require.False(t, isRejection(err))
	time.Sleep(quietInterval)
	require.Len(t, append(servers[0].parts(), servers[1].parts()...), 1)
}

// Where a server refuses, or cannot be reached, nothing has run: another is tried, and in the end the query
// is refused.
func TestFlightRejections(t *testing.T) {
	p := newPlayer(t)
	full, err := status.New(codes.Unavailable, "full").WithDetails(&errdetails.RetryInfo{})
	require.NoError(t, err)
	var once sync.Once
	answer := func(mt mothflight.PartTicket, s flight.FlightService_DoGetServer) (err error) {
		once.Do(func() { err = full.Err() })
		if err == nil {
			err = answerPart(mt, s)
		}
		return err
	}
	s0, s1 := p.flightServer("s0", answer), p.flightServer("s1", answer)
	c := p.startFlight(`"s0", "s1", "s2"`, "s0", "s1")
	a, err := fetchAnswer(shortContext(t), c, queryTicket("q1", "charge-post", 1))
	require.NoError(t, err)
	require.True(t, a.closing.Complete)
	require.Len(t, append(s0.parts(), s1.parts()...), 2)

	p = newPlayer(t)
	p.play("s2 is down", "")
	c = p.startFlight(`"s2"`, "s2")
	_, err = fetchAnswer(shortContext(t), c, queryTicket("q1", "charge-post", 1))
	require.True(t, isRejection(err), "%v", err)
}

// A client that cancels ends its query: the record server is told, and the query's id is free again.
func TestFlightCancelEndsQuery(t *testing.T) {
	p := newPlayer(t)
	came, ended := make(chan struct{}), make(chan struct{})
	var first sync.Once
	s0 := p.flightServer("s0", func(part mothflight.PartTicket, s flight.FlightService_DoGetServer) error {
		held := false
		first.Do(func() {
			held = true
			close(came)
			<-s.Context().Done()
			close(ended)
		})
		if held {
			return s.Context().Err()
		}
		return answerPart(part, s)
	})
	c := p.startFlight(`"s0"`, "s0")
	ctx, cancel := context.WithCancel(shortContext(t))
	gone := make(chan error, 1)
	go func() {
		_, err := fetchAnswer(ctx, c, queryTicket("q1", "charge-post", 1))
		gone <- err
	}()
	<-came
	cancel()
	require.Equal(t, codes.Canceled, status.Code(<-gone))
	<-ended

	// What the record server did not answer may have the next query refused at first, but not for good.
	var a flightAnswer
	var err error
	require.Eventually(t, func() bool {
		a, err = fetchAnswer(shortContext(t), c, queryTicket("q1", "charge-post", 1))
		return !isRejection(err)
	}, waitTimeout, time.Millisecond)
	require.NoError(t, err)
	require.True(t, a.closing.Complete)
	require.Equal(t, []string{"q1.0", "q1.0"}, s0.parts(), "what was refused was sent all the same")
}

// advertisedDeadline is a context of a client that tells a server of a deadline and waits on behind it.
type advertisedDeadline struct {
	context.Context
	at time.Time
}

func (c advertisedDeadline) Deadline() (time.Time, bool) { return c.at, true }

// A query that its client's time ends for while its unsafe part is out has failed, and is never called refused. A
// busy machine may have a query refused before anything is sent: then nothing of it may come to the record server. That
// the answer leaves before the time is up is tested on a virtual clock, in internal/transport/flight: on a real one it is as
// late as the machine is busy.
func TestFlightDeadlineFailsNonIdempotent(t *testing.T) {
	const wait = 300 * time.Millisecond
	p := newPlayer(t)
	left, ended := make(chan time.Duration, 99), make(chan struct{}, 99)
	s0 := p.flightServer("s0", func(_ mothflight.PartTicket, s flight.FlightService_DoGetServer) error {
		at, _ := s.Context().Deadline()
		left <- time.Until(at)
		<-s.Context().Done()
		ended <- struct{}{}
		return s.Context().Err()
	})
	c := p.startFlight(`"s0"`, "s0")
	results := map[string]error{} // by the id of the query's only part
	for i, end := 0, time.Now().Add(waitTimeout); len(s0.parts()) == 0 && time.Now().Before(end); i++ {
		id := fmt.Sprint("q", i)
		_, err := fetchAnswer(advertisedDeadline{shortContext(t), time.Now().Add(wait)}, c, queryTicket(id, "charge-post", 1))
		results[id+".0"] = err
	}
	time.Sleep(quietInterval) // what comes late comes meanwhile
	parts := s0.parts()
	require.NotEmpty(t, parts)
	seen := map[string]bool{}
	for _, id := range parts {
		require.False(t, seen[id], "%s ran twice", id)
		seen[id] = true
		require.Contains(t, []codes.Code{codes.Aborted, codes.DeadlineExceeded}, status.Code(results[id]), "%v", results[id])
		require.False(t, isRejection(results[id]))
		require.LessOrEqual(t, <-left, wait)
		<-ended
	}
}

// An answer that lacks parts says so; one that is cut has no closing word at all.
func TestFlightMarksIncompleteAnswers(t *testing.T) {
	p := newPlayer(t)
	p.flightServer("s0", func(mt mothflight.PartTicket, s flight.FlightService_DoGetServer) error {
		if mt.Partition == 4 {
			<-s.Context().Done()
			return s.Context().Err()
		}
		return sendValue(s, strings.Repeat("v", 60<<10))
	})
	c := p.startFlight(`"s0"`, "s0")
	a, err := fetchAnswer(shortContext(t), c, queryTicket("q1", "tariff-report", 5))
	require.NoError(t, err)
	require.Equal(t, &mothflight.Closing{ID: "q1", Class: "tariff-report", Parts: 4}, a.closing)

	stream, err := c.DoGet(shortContext(t), &flight.Ticket{Ticket: queryTicket("q2", "tariff-report", 4)})
	require.NoError(t, err)
	first, err := stream.Recv() // the schema; the rows need more than the window of a client that reads no more
	require.NoError(t, err)
	require.Empty(t, first.AppMetadata)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, p.cmd.Process.Kill())
	for err == nil {
		var m *flight.FlightData
		if m, err = stream.Recv(); err == nil {
			require.NotContains(t, string(m.AppMetadata), "whole")
		}
	}
	require.NotErrorIs(t, err, io.EOF)
}
