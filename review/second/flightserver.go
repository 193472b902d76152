package main

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// flightServer is a stand-in for a record server that speaks Arrow Flight, as docs/flight.md describes it. It works on as many parts at
// a time as it has cores, and lets each connection have as many streams; a client has to wait with further ones.
type flightServer struct {
	flight.BaseFlightServer
	id   string
	work time.Duration
	note func(arrival)
}

// startFlightServer starts a record server that speaks Flight, with its entry on the list.
func (p *play) startFlightServer(id string, cell, streams int, work time.Duration, note func(arrival)) (entry, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return entry{}, err
	}
	server := grpc.NewServer(grpc.MaxConcurrentStreams(uint32(streams)))
	flight.RegisterFlightServiceServer(server, &flightServer{id: id, work: work, note: note})
	go func() { _ = server.Serve(l) }() // it ends with Stop
	p.onEnd(server.Stop)
	return entry{ID: id, Addr: l.Addr().String(), Zone: "bern-1", Kind: "std-2c", Cell: cell, State: "active", Weight: 1}, nil
}

// DoGet serves one part.
func (s *flightServer) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	var part struct {
		ID        string `json:"id"`
		Partition int    `json:"partition"`
		Query     string `json:"query"`
	}
	if err := json.Unmarshal(ticket.GetTicket(), &part); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	s.note(arrival{at: time.Now(), server: s.id, id: part.ID, shard: part.Partition, text: part.Query})
	select {
	case <-time.After(s.work):
	case <-stream.Context().Done():
		return status.FromContextError(stream.Context().Err()).Err()
	}
	schema := arrow.NewSchema([]arrow.Field{{Name: "value", Type: arrow.BinaryTypes.String}}, nil)
	w := flight.NewRecordWriter(stream, ipc.WithSchema(schema))
	rows := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	rows.Field(0).(*array.StringBuilder).Append(valueOf(part.ID, part.Query))
	if err := w.Write(rows.NewRecordBatch()); err != nil {
		return err
	}
	return w.Close()
}

// flightFile writes the operator file that switches Flight on, and returns its path.
func (p *play) flightFile(listen string, servers []entry) (string, error) {
	var ids []string
	for _, e := range servers {
		ids = append(ids, strconv.Quote(e.ID))
	}
	path := filepath.Join(p.folder, "flight.toml")
	text := "listen = " + strconv.Quote(listen) + "\nservers = [" + strings.Join(ids, ", ") + "]\n"
	return path, os.WriteFile(path, []byte(text), 0o600)
}
