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

// flightRecordServer is a fake record server that speaks Flight. The test decides its answer to a part.
type flightRecordServer struct {
	flight.BaseFlightServer
	answer   func(t mothflight.PartTicket, s flight.FlightService_DoGetServer) error
	mu       sync.Mutex
	conns    []net.Conn
	received []string // part ids, in order
}

// trackedListener records the connections that it accepts, so that the server can close them.
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

// closeConnections closes all connections without a gRPC status.
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

// sendValue sends a part's value in pieces, a record batch each.
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
		grpc.WithInitialWindowSize(64<<10), grpc.WithInitialConnWindowSize(64<<10)) // so that a large answer blocks
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
	closing *mothflight.AnswerMetadata // nil: the answer was truncated
	schema  *arrow.Schema
}

// fetchAnswer sends a query and reads its stream to the end.
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
		a.closing = &mothflight.AnswerMetadata{}
		err = json.Unmarshal(last, a.closing)
	}
	return a, err
}

// metadataStream stores the metadata of the last message, which carries no rows.
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

// isRejection reports whether an error says that the query may be retried.
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
