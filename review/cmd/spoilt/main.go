// Command spoilt is the case of a broker that ends when a record server's answer over Arrow Flight is spoilt.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothrouter/review/standin"
)

const (
	servers  = 4 // the last one speaks Flight
	clients  = 6
	work     = 130 * time.Millisecond // of a part
	deadline = 4 * time.Second
	spoilAt  = 2 * time.Second // after the start of the clients
	runFor   = 5 * time.Second
)

// flightServer is a record server that speaks Flight, by docs/flight.md.
type flightServer struct {
	flight.BaseFlightServer
	id     string
	record *standin.Record
	spoil  atomic.Bool // the next answer is spoilt
}

// DoGet answers a part with its value in two rows.
func (s *flightServer) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	var part struct {
		ID    string `json:"id"`
		Query string `json:"query"`
	}
	if err := json.Unmarshal(ticket.GetTicket(), &part); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	s.record.Line("%s has received the part %s", s.id, part.ID)
	select {
	case <-time.After(work):
	case <-stream.Context().Done():
		return status.FromContextError(stream.Context().Err()).Err()
	}
	s.record.Line("%s has run the part %s", s.id, part.ID)
	if s.spoil.CompareAndSwap(true, false) {
		s.record.Line("the answer to %s is spoilt: one bit of it is another", part.ID)
		stream = spoilt{stream}
	}
	value := standin.Value(part.ID, part.Query)
	schema := arrow.NewSchema([]arrow.Field{{Name: "value", Type: arrow.BinaryTypes.String}}, nil)
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer builder.Release()
	builder.Field(0).(*array.StringBuilder).AppendValues([]string{value[:5], value[5:]}, nil)
	batch := builder.NewRecordBatch()
	defer batch.Release()
	w := flight.NewRecordWriter(stream, ipc.WithSchema(schema))
	if err := w.WriteWithAppMetadata(batch, []byte("inflight=1,util=0.3")); err != nil {
		return err
	}
	return w.Close()
}

// DoAction answers the action load with a load report.
func (s *flightServer) DoAction(action *flight.Action, stream flight.FlightService_DoActionServer) error {
	if action.GetType() != "load" {
		return status.Error(codes.Unimplemented, "no such action")
	}
	return stream.Send(&flight.Result{Body: []byte("inflight=1,util=0.3")})
}

// spoilt changes one bit of the first message that has a body.
type spoilt struct {
	flight.FlightService_DoGetServer
}

// Send implements flight.FlightService_DoGetServer. The body begins with the offsets of the rows, 0, 5 and 16, in four bytes
// each.
func (s spoilt) Send(data *flight.FlightData) error {
	if len(data.GetDataBody()) > 8 {
		data.DataBody = bytes.Clone(data.GetDataBody())
		data.DataBody[6] ^= 1
	}
	return s.FlightService_DoGetServer.Send(data)
}

type play struct {
	record *standin.Record
	broker *standin.Broker
	stop   atomic.Bool

	mu       sync.Mutex
	answered map[int]int // by status
	lost     int
	wrong    int
}

func main() {
	root := flag.String("root", ".", "the repository")
	folder := flag.String("folder", "", "a temporary folder")
	record := flag.String("record", "record.txt", "the file of what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	r, err := standin.NewRecord(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(standin.CouldNot)
	}
	p := &play{record: r, answered: map[int]int{}}
	ended, err := p.run(*root, *folder, *trouble)
	status := standin.Held
	switch {
	case err != nil:
		r.Say("the case could not run: %v", err)
		status = standin.CouldNot
	case ended || p.lost > 0 || p.wrong > 0:
		r.Say("broken: the broker has ended by itself: %v; %d requests that it had taken were never answered, %d answers are wrong; "+
			"answered by status: %v", ended, p.lost, p.wrong, p.answered)
		status = standin.Broken
	default:
		r.Say("held: the broker runs, and each request has its answer, by status: %v", p.answered)
	}
	os.Exit(status)
}

func (p *play) run(root, folder string, trouble bool) (ended bool, err error) {
	site, err := standin.NewSite(root, folder, p.record, servers, 2, work)
	if err != nil {
		return false, err
	}
	defer site.Stop()
	server := &flightServer{id: site.Servers[servers-1].ID, record: p.record}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	grpcServer := grpc.NewServer()
	flight.RegisterFlightServiceServer(grpcServer, server)
	go func() { _ = grpcServer.Serve(listener) }() // ends with the process
	site.Discovery.SetAddress(server.id, listener.Addr().String())
	if site.Flags, err = flightFlag(folder, server.id); err != nil {
		return false, err
	}
	listen, err := standin.FreeAddress()
	if err != nil {
		return false, err
	}
	if p.broker, err = site.StartBroker("n0", listen, nil); err != nil {
		return false, err
	}
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { p.client(i) })
	}
	time.Sleep(spoilAt)
	server.spoil.Store(trouble)
	select {
	case <-p.broker.Done:
	case <-time.After(runFor - spoilAt):
	}
	p.stop.Store(true)
	running.Wait()
	if server.spoil.Load() {
		return false, errors.New("no answer was spoilt: the server has got no part")
	}
	select {
	case <-p.broker.Done:
		p.record.Line("the broker has ended: %v", p.broker.ProcessState)
		p.record.Line("its log ends with:\n%s", logTail(p.broker.Log))
		return true, nil
	default:
		return false, nil
	}
}

// flightFlag writes the file of -flight and returns the flag.
func flightFlag(folder, server string) (string, error) {
	listen, err := standin.FreeAddress()
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "flight.toml")
	text := fmt.Sprintf("listen = %q\nservers = [%q]\nconnections = 64\n", listen, server)
	return "-flight " + path, os.WriteFile(path, []byte(text), 0o600)
}

// logTail returns the beginning of the panic in a log, if there is one.
func logTail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	if at := bytes.Index(text, []byte("panic: ")); at >= 0 {
		text = text[at:]
	}
	return string(text[:min(len(text), 1500)])
}

// client sends queries of two parts on one connection, one at a time, until the end of the case.
func (p *play) client(number int) {
	conn, err := standin.Dial(p.broker.Listen)
	if err != nil {
		p.record.Line("client %d: %v", number, err)
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 0; !p.stop.Load(); n++ {
		id := fmt.Sprintf("%x%04x", number+10, n)
		shard := (number + n) % (servers * standin.Shards)
		shards := []int{shard, (shard + 1) % (servers * standin.Shards)}
		if _, err := io.WriteString(conn, standin.Query(id, "usage-lookup", deadline, shards...)); err != nil {
			return // the broker had ended before
		}
		p.record.Line("client %d has sent %s", number, id)
		conn.SetReadDeadline(time.Now().Add(deadline + 500*time.Millisecond))
		response, err := http.ReadResponse(in, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
		}
		p.mu.Lock()
		if err != nil {
			p.record.Line("client %d: %s gets no answer: %v", number, id, err)
			p.lost++
			p.mu.Unlock()
			return
		}
		p.answered[response.StatusCode]++
		p.record.Line("client %d: %s is answered: %d", number, id, response.StatusCode)
		for _, shard := range shards {
			value := standin.Value(fmt.Sprintf("%s.%d", id, shard), "q"+id)
			if response.StatusCode == http.StatusOK && !strings.Contains(string(body), value) {
				p.record.Line("client %d: %s has a wrong value: %s", number, id, body)
				p.wrong++
			}
		}
		p.mu.Unlock()
	}
}
