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

// flightRecordServer is a fake record server that speaks Flight. The test supplies the function that answers parts.
type flightRecordServer struct {
	flight.BaseFlightServer
	answer func(part mothflight.PartTicket, stream flight.FlightService_DoGetServer) error

	mu       sync.Mutex // guards the fields below
	conns    []net.Conn
	received []string // part ids, in order
}

// trackedListener records the connections that it accepts, so that the server can close them.
type trackedListener struct {
	net.Listener
	server *flightRecordServer
}

func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.server.mu.Lock()
		l.server.conns = append(l.server.conns, c)
		l.server.mu.Unlock()
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

// receivedParts returns the ids of the received parts, in order.
func (s *flightRecordServer) receivedParts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.received...)
}

func (s *flightRecordServer) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	var part mothflight.PartTicket
	if err := json.Unmarshal(ticket.Ticket, &part); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	s.mu.Lock()
	s.received = append(s.received, part.ID)
	s.mu.Unlock()
	return s.answer(part, stream)
}

// sendValue sends a part's value in pieces, each as a record batch.
func sendValue(stream flight.FlightService_DoGetServer, pieces ...string) error {
	schema := arrow.NewSchema([]arrow.Field{{Name: "value", Type: arrow.BinaryTypes.String}}, nil)
	w := flight.NewRecordWriter(stream, ipc.WithSchema(schema))
	for _, piece := range pieces {
		b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
		b.Field(0).(*array.StringBuilder).Append(piece)
		batch := b.NewRecordBatch()
		if err := w.WriteWithAppMetadata(batch, []byte("inflight=2,util=0.3")); err != nil {
			return err
		}
	}
	return w.Close()
}

// sendRows sends a part's value in rows of one record batch.
func sendRows(stream flight.DataStreamWriter, rows ...string) error {
	schema := arrow.NewSchema([]arrow.Field{{Name: "value", Type: arrow.BinaryTypes.String}}, nil)
	w := flight.NewRecordWriter(stream, ipc.WithSchema(schema))
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	for _, row := range rows {
		b.Field(0).(*array.StringBuilder).Append(row)
	}
	if err := w.Write(b.NewRecordBatch()); err != nil {
		return err
	}
	return w.Close()
}

// spoilingStream is a stream that changes one bit of each record batch, so that the offset between its first two rows lies
// outside of the data.
type spoilingStream struct{ flight.DataStreamWriter }

func (s spoilingStream) Send(m *flight.FlightData) error {
	if len(m.DataBody) > 0 {
		m.DataBody[6] ^= 1 // of the second little-endian int32 of the offsets
	}
	return s.DataStreamWriter.Send(m)
}

// startFlightServer starts a record server that speaks Flight.
func (r *exchangeReplayer) startFlightServer(
	name string, answer func(mothflight.PartTicket, flight.FlightService_DoGetServer) error,
) *flightRecordServer {
	server := &flightRecordServer{answer: answer}
	grpcServer := grpc.NewServer()
	flight.RegisterFlightServiceServer(grpcServer, server)
	go grpcServer.Serve(trackedListener{r.listener(name), server})
	r.t.Cleanup(grpcServer.Stop)
	return server
}

// startFlight runs the program with Flight enabled and returns a client of it. Of the known record servers, flightServers
// lists those that speak Flight, as the elements of a TOML array.
func (r *exchangeReplayer) startFlight(flightServers string, known ...string) flight.Client {
	addr := unusedAddress(r.t)
	file := filepath.Join(r.t.TempDir(), "flight.toml")
	text := fmt.Sprintf("listen = %q\nservers = [%s]\n", addr, flightServers)
	require.NoError(r.t, os.WriteFile(file, []byte(text), 0o600))
	r.start(known, 400, 1024, 15, "-flight", file)
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithInitialWindowSize(64<<10), grpc.WithInitialConnWindowSize(64<<10)) // small, so that a large answer blocks
	require.NoError(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	return flight.NewClientFromConn(conn, nil)
}

// queryTicket returns the Flight ticket of a query over partitions 0 to parts-1.
func queryTicket(id, class string, parts int) []byte {
	ticket := mothflight.Ticket{ID: id, Class: class, Body: httpwire.Body{Query: "x"}}
	for i := range parts {
		ticket.Targets = append(ticket.Targets, httpwire.Target{Partition: i, Weight: 1 / float64(parts)})
	}
	text, err := json.Marshal(ticket)
	if err != nil {
		panic(err)
	}
	return text
}

// flightAnswer is the answer to a query over Flight.
type flightAnswer struct {
	values   map[int32]string           // by partition
	metadata *mothflight.AnswerMetadata // nil: the answer was truncated
	schema   *arrow.Schema
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
		a.metadata = &mothflight.AnswerMetadata{}
		err = json.Unmarshal(last, a.metadata)
	}
	return a, err
}

// metadataStream stores the metadata of the latest message in last, and skips messages that consist of metadata only.
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

// shortContext returns a context that ends after 3 s.
func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// isRejection reports whether an error is a rejection, after which a client may retry its query.
func isRejection(err error) bool {
	for _, d := range status.Convert(err).Details() {
		if _, ok := d.(*errdetails.RetryInfo); ok {
			return status.Code(err) == codes.Unavailable
		}
	}
	return false
}

// answerPart answers a part with "v" and the number of its partition, in two record batches.
func answerPart(part mothflight.PartTicket, stream flight.FlightService_DoGetServer) error {
	return sendValue(stream, "v", fmt.Sprint(part.Partition))
}
