package main_test

import (
	"context"
	"fmt"
	"io"
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
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	mothflight "mothrouter/internal/transport/flight"
)

func TestFlightServesQueries(t *testing.T) {
	p := newPlayer(t)
	s0 := p.flightServer("s0", answerPart)
	c := p.startFlight(`"s0"`, "s0")
	a, err := fetchAnswer(shortContext(t), c, queryTicket("q1", "tariff-report", 5))
	require.NoError(t, err)
	require.Equal(t, map[int32]string{0: "v0", 1: "v1", 2: "v2", 3: "v3", 4: "v4"}, a.values)
	require.Equal(t, &mothflight.AnswerMetadata{ID: "q1", Class: "tariff-report", Complete: true, Parts: 5}, a.closing)
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

// A part whose stream breaks halfway does not count as answered and is retried, as a tariff-report is idempotent.
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

// A charge-post part whose stream ends without a status may have run: it is neither retried nor rejected.
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

// A part that a server rejects, or whose server cannot be reached, has not run: it is sent to another server, and
// without one the query is rejected.
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

// A client that cancels ends its query: the record server's context ends, and the query's id can be used again.
func TestFlightCancelEndsQuery(t *testing.T) {
	p := newPlayer(t)
	received, canceled := make(chan struct{}), make(chan struct{})
	var first sync.Once
	s0 := p.flightServer("s0", func(part mothflight.PartTicket, s flight.FlightService_DoGetServer) error {
		held := false
		first.Do(func() {
			held = true
			close(received)
			<-s.Context().Done()
			close(canceled)
		})
		if held {
			return s.Context().Err()
		}
		return answerPart(part, s)
	})
	c := p.startFlight(`"s0"`, "s0")
	ctx, cancel := context.WithCancel(shortContext(t))
	clientErr := make(chan error, 1)
	go func() {
		_, err := fetchAnswer(ctx, c, queryTicket("q1", "charge-post", 1))
		clientErr <- err
	}()
	<-received
	cancel()
	require.Equal(t, codes.Canceled, status.Code(<-clientErr))
	<-canceled

	// Slow-start admission may reject the next query while the record server has not answered yet, but not for long.
	var a flightAnswer
	var err error
	require.Eventually(t, func() bool {
		a, err = fetchAnswer(shortContext(t), c, queryTicket("q1", "charge-post", 1))
		return !isRejection(err)
	}, waitTimeout, time.Millisecond)
	require.NoError(t, err)
	require.True(t, a.closing.Complete)
	require.Equal(t, []string{"q1.0", "q1.0"}, s0.parts(), "a rejected query was sent all the same")
}

// advertisedDeadline is a client's context that sends a deadline to the server but does not end at it.
type advertisedDeadline struct {
	context.Context
	at time.Time
}

func (c advertisedDeadline) Deadline() (time.Time, bool) { return c.at, true }

// A query whose deadline passes while its non-idempotent part is in flight fails and is never rejected. On a busy
// machine a query may be rejected before anything is sent: then none of its parts may reach the record server. That the
// answer leaves before the deadline is tested on a virtual clock, in internal/transport/flight.
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
	time.Sleep(quietInterval) // for parts that arrive late
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

// An answer that lacks parts is marked incomplete; a truncated one has no closing metadata.
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
	require.Equal(t, &mothflight.AnswerMetadata{ID: "q1", Class: "tariff-report", Parts: 4}, a.closing)

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
