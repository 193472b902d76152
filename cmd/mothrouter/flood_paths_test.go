package main_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"mothrouter/internal/transport/frame"
)

// floodedBroker is a broker that also serves Flight and is a member of a fleet, so that each of its inputs can be flooded.
type floodedBroker struct {
	*servingBroker
	flight, fleet string   // addresses
	watches       sync.Map // connections of the endpoint watch, as net.Conn
}

// startFloodedBroker starts a floodedBroker.
func startFloodedBroker(t *testing.T) *floodedBroker {
	return startFloodedBrokerWith(t, brokerOptions{})
}

// startFloodedBrokerWith starts a floodedBroker with the program and the memory limit of the options.
func startFloodedBrokerWith(t *testing.T, options brokerOptions) *floodedBroker {
	folder := t.TempDir()
	b := &floodedBroker{flight: unusedAddress(t), fleet: unusedAddress(t)}
	flightFile, fleetFile := filepath.Join(folder, "flight.toml"), filepath.Join(folder, "fleet.toml")
	require.NoError(t, os.WriteFile(flightFile, fmt.Appendf(nil, "listen = %q\nservers = []\nconnections = 64\n", b.flight), 0o600))
	require.NoError(t, os.WriteFile(fleetFile, fmt.Appendf(nil, "fleet = \"f\"\nlisten = %q\nseeds = [%q]\n", b.fleet, b.fleet), 0o600))
	options.flags = append(options.flags, "-flight", flightFile, "-fleet", fleetFile)
	options.sockets, options.serveDiscovery = 512, b.serveDiscovery
	b.servingBroker = startServingBrokerWith(t, options)
	return b
}

// serveDiscovery answers each watch with a heartbeat, and keeps its connection for floodWatch.
func (b *floodedBroker) serveDiscovery(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		b.watches.Store(c, nil)
	}
}

// repeatUntil runs f in a number of goroutines, again and again, until stop is closed.
func repeatUntil(stop <-chan struct{}, goroutines int, f func(n int)) (wait func()) {
	var running sync.WaitGroup
	for i := range goroutines {
		running.Go(func() {
			for n := i; ; n += goroutines {
				select {
				case <-stop:
					return
				default:
					f(n)
				}
			}
		})
	}
	return running.Wait
}

// floodFlight sends calls on several connections, each with as many at once as the broker accepts.
func (b *floodedBroker) floodFlight(ticket func(n int) []byte) func(stop <-chan struct{}) {
	return func(stop <-chan struct{}) {
		const callsPerConnection = 16
		ctx, cancel := context.WithCancel(b.t.Context())
		defer cancel()
		clients := make([]flight.Client, floodClients)
		for i := range clients {
			conn, err := grpc.NewClient("passthrough:///"+b.flight, grpc.WithTransportCredentials(insecure.NewCredentials()))
			require.NoError(b.t, err)
			defer conn.Close()
			clients[i] = flight.NewClientFromConn(conn, nil)
		}
		wait := repeatUntil(stop, floodClients*callsPerConnection, func(n int) {
			_, _ = fetchAnswer(ctx, clients[n%floodClients], ticket(n)) // the flood does not mind how a call ends
		})
		<-stop
		cancel()
		wait()
	}
}

// floodAdmin sends commands to the control address, each on a connection of its own.
func (b *floodedBroker) floodAdmin(stop <-chan struct{}) {
	repeatUntil(stop, floodClients, func(int) { b.callControl("DUMP") })()
}

// floodConnections opens connections and closes them at once.
func (b *floodedBroker) floodConnections(stop <-chan struct{}) {
	repeatUntil(stop, floodClients, func(int) {
		if c, err := net.Dial("tcp", b.listen); err == nil {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	})()
}

// floodFleet sends datagrams that are no messages to the membership socket.
func (b *floodedBroker) floodFleet(stop <-chan struct{}) {
	c, err := net.Dial("udp", b.fleet)
	require.NoError(b.t, err)
	defer c.Close()
	garbage := make([]byte, 1200)
	repeatUntil(stop, floodClients, func(int) { c.Write(garbage) })()
}

// floodWatch answers the endpoint watch with empty lines at full speed.
func (b *floodedBroker) floodWatch(stop <-chan struct{}) {
	lines := strings.Repeat("1\r\n\n\r\n", 1<<10)
	repeatUntil(stop, 1, func(int) {
		b.watches.Range(func(c, _ any) bool {
			c.(net.Conn).SetWriteDeadline(time.Now().Add(floodDuration))
			fmt.Fprint(c.(net.Conn), lines)
			return true
		})
	})()
}

// floodFrames writes the HTTP/2 frames of write to the Flight address at full speed, again and again on new connections. n counts
// the calls of write on a connection.
func (b *floodedBroker) floodFrames(write func(f *http2.Framer, n uint32) error) func(stop <-chan struct{}) {
	return func(stop <-chan struct{}) {
		repeatUntil(stop, floodClients, func(int) {
			c, err := net.Dial("tcp", b.flight)
			if err != nil {
				return
			}
			defer c.Close()
			go io.Copy(io.Discard, c)
			c.SetDeadline(time.Now().Add(floodDuration))
			out := bufio.NewWriterSize(c, 16<<10)
			fmt.Fprint(out, http2.ClientPreface)
			framer := http2.NewFramer(out, nil)
			err = framer.WriteSettings()
			for n := uint32(0); err == nil; n++ {
				select {
				case <-stop:
					return
				default:
					err = write(framer, n)
				}
			}
		})()
	}
}

// manyCallFields is how many short header fields of a call fit.
const manyCallFields = 180

// callHeader returns the header block of a call, with a number of short fields beside those that it needs.
func callHeader(fields int) []byte {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	write := func(f hpack.HeaderField) { _ = encoder.WriteField(f) } // a buffer takes everything
	for _, field := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/arrow.flight.protocol.FlightService/DoGet"},
		{":authority", "x"}, {"content-type", "application/grpc"}, {"te", "trailers"}} {
		write(hpack.HeaderField{Name: field[0], Value: field[1]})
	}
	for i := range fields {
		write(hpack.HeaderField{Name: fmt.Sprint("x", i), Value: "1", Sensitive: true})
	}
	return block.Bytes()
}

// writeCall writes the header of a call without a ticket.
func writeCall(f *http2.Framer, n uint32) error {
	return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*n + 1, BlockFragment: callHeader(manyCallFields), EndHeaders: true, EndStream: true})
}

// writeReset writes the header of a call and resets it.
func writeReset(f *http2.Framer, n uint32) error {
	err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*n + 1, BlockFragment: callHeader(manyCallFields), EndHeaders: true})
	if err != nil {
		return err
	}
	return f.WriteRSTStream(2*n+1, http2.ErrCodeCancel)
}

// writeSettings writes an empty change of the settings, which the broker acknowledges.
func writeSettings(f *http2.Framer, _ uint32) error { return f.WriteSettings() }

// Guards against answers to clients that are late while any other input of the process is flooded (issue 42, related paths).
func TestFloodOfAnyInputDoesNotDelayClients(t *testing.T) {
	invalidTicket := func(int) []byte { return []byte(`{"id":"q","class":"no-such","targets":[]}`) }
	newTicket := func(n int) []byte { return queryTicket(fmt.Sprint("flight-", n), "usage-lookup", 1) }
	for name, flood := range map[string]func(b *floodedBroker) func(stop <-chan struct{}){
		"flight, invalid tickets": func(b *floodedBroker) func(<-chan struct{}) { return b.floodFlight(invalidTicket) },
		"flight, new ids":         func(b *floodedBroker) func(<-chan struct{}) { return b.floodFlight(newTicket) },
		"flight, noise":           func(b *floodedBroker) func(<-chan struct{}) { return b.floodNoise(b.flight) },
		"flight, calls":           func(b *floodedBroker) func(<-chan struct{}) { return b.floodFrames(writeCall) },
		"flight, resets":          func(b *floodedBroker) func(<-chan struct{}) { return b.floodFrames(writeReset) },
		"flight, settings":        func(b *floodedBroker) func(<-chan struct{}) { return b.floodFrames(writeSettings) },
		"admin":                   func(b *floodedBroker) func(<-chan struct{}) { return b.floodAdmin },
		"fleet":                   func(b *floodedBroker) func(<-chan struct{}) { return b.floodFleet },
		"endpoint watch":          func(b *floodedBroker) func(<-chan struct{}) { return b.floodWatch },
	} {
		t.Run(name, func(t *testing.T) { requireInTimeBeside(t, flood) })
	}
}

// Guards against answers to clients that are late while others open connections at full speed and close them at once (issue 42).
func TestFloodOfConnectionsDoesNotDelayClients(t *testing.T) {
	requireInTimeBeside(t, func(b *floodedBroker) func(<-chan struct{}) { return b.floodConnections })
}

// requireInTimeBeside requires that a flooded broker answers queries by their deadlines, and a command within a second.
func requireInTimeBeside(t *testing.T, flood func(b *floodedBroker) func(stop <-chan struct{})) {
	b := startFloodedBroker(t)
	stop := make(chan struct{})
	var flooding sync.WaitGroup
	flooding.Go(func() { flood(b)(stop) })
	time.Sleep(floodLead)
	times := measureQueries(b.listen, floodDuration)
	commandAt := time.Now()
	reply := b.callControl("HEALTH")
	commandTime := time.Since(commandAt)
	close(stop)
	flooding.Wait()
	t.Log(times, "admin:", commandTime)
	require.Zero(t, times.late(), "answers after the deadline: %v", times)
	require.Equal(t, "ACK\n", reply)
	require.Less(t, commandTime, time.Second)
}

// floodNoise writes bytes that are no protocol, again and again on new connections.
func (b *floodedBroker) floodNoise(address string) func(stop <-chan struct{}) {
	return func(stop <-chan struct{}) {
		repeatUntil(stop, floodClients, func(int) {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer c.Close()
			go io.Copy(io.Discard, c)
			frames := frame.Append(nil, 'S', string(make([]byte, 16<<10)))
			for err == nil {
				select {
				case <-stop:
					return
				default:
					_, err = c.Write(frames)
				}
			}
		})()
	}
}

// Guards against a process that exceeds its memory limit while hundreds of Flight clients stop half way through their tickets,
// behind headers of many short fields (issue 42, picture b, on the other front).
func TestFlightCrowdStaysWithinMemoryLimit(t *testing.T) {
	const (
		callsPerConnection = 16
		callData           = 4000 // bytes of a ticket that are sent, within the connection's window for all calls
		ticketBytes        = 60000
	)
	options := brokerOptions{program: buildWithoutRace(t), memoryMB: crowdMemoryMB}
	b := startFloodedBrokerWith(t, options)
	end := time.Now().Add(crowdStay)
	data := append(binary.BigEndian.AppendUint32([]byte{0}, ticketBytes), make([]byte, callData)...)
	for range crowdClients / 4 { // three times the connections that the front holds
		go func() {
			for ; time.Now().Before(end); time.Sleep(crowdReturn) {
				b.holdHalfCalls(callsPerConnection, data, end)
			}
		}()
	}
	time.Sleep(time.Until(end))
	peak := b.peakMemoryMB()
	t.Logf("peak %d MB", peak)
	require.LessOrEqual(t, peak, crowdMemoryMB)
}

// holdHalfCalls begins calls on a connection and sends data, a part of a ticket, for each. It returns at end, or once the
// connection has ended.
func (b *floodedBroker) holdHalfCalls(calls int, data []byte, end time.Time) {
	c, err := net.Dial("tcp", b.flight)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(end)
	framer := http2.NewFramer(c, nil)
	fmt.Fprint(c, http2.ClientPreface)
	err = framer.WriteSettings()
	header := callHeader(manyCallFields)
	for call := 0; call < calls && err == nil; call++ {
		id := uint32(2*call + 1)
		err = errors.Join(
			framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: header, EndHeaders: true}),
			framer.WriteData(id, false, data))
	}
	io.Copy(io.Discard, c)
}

// Guards against attempts for Flight clients that have closed their connections with calls unread, also while HTTP clients send at
// full speed (issue 42, picture c, on the other front).
func TestClosedFlightConnectionSendsNothingOn(t *testing.T) {
	for _, c := range []struct {
		name    string
		clients int
		flags   []string
	}{
		{"alone", 0, nil},
		{"beside nested bodies", floodClients, nil},
		{"beside nested bodies, on several cores", floodClients, []string{"-cores", coresFile}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startFloodedBrokerWith(t, brokerOptions{flags: c.flags})
			endFlood := startRequestFlood(b.listen, c.clients, nestedBodyRequest)
			time.Sleep(floodLead)
			var conns []net.Conn
			for client := range floodClients {
				conns = append(conns, b.writeCalls(fmt.Sprint("left-", client)))
			}
			closedAt := time.Now()
			for _, conn := range conns {
				conn.Close()
			}
			time.Sleep(floodDuration / 2)
			endFlood()
			time.Sleep(floodDuration / 4)
			attempts, lastStartedAt := b.ledger.attempts()
			late := lastStartedAt.Sub(closedAt)
			t.Log("attempts:", attempts, "the last one after the close:", late)
			require.Less(t, late, departGrace, "an attempt began after the clients had left")
		})
	}
}

// writeCalls connects to the Flight address and writes as many calls as may be in flight on a connection.
func (b *floodedBroker) writeCalls(id string) net.Conn {
	const calls = 16
	c, err := net.Dial("tcp", b.flight)
	require.NoError(b.t, err)
	framer := http2.NewFramer(c, nil)
	fmt.Fprint(c, http2.ClientPreface)
	require.NoError(b.t, framer.WriteSettings())
	for call := range uint32(calls) {
		message, err := proto.Marshal(&flight.Ticket{Ticket: queryTicket(fmt.Sprint(id, "-", call), "usage-lookup", 1)})
		require.NoError(b.t, err)
		data := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)
		require.NoError(b.t, errors.Join(
			framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*call + 1, BlockFragment: callHeader(0), EndHeaders: true}),
			framer.WriteData(2*call+1, true, data)))
	}
	return c
}

// Guards against answers over Flight that are late while HTTP clients send at full speed (issue 42, both fronts).
func TestFloodDoesNotDelayFlightClients(t *testing.T) {
	for name, request := range floodRequests {
		t.Run(name, func(t *testing.T) {
			b := startFloodedBroker(t)
			endFlood := startRequestFlood(b.listen, floodClients, request)
			defer endFlood()
			conn, err := grpc.NewClient("passthrough:///"+b.flight, grpc.WithTransportCredentials(insecure.NewCredentials()))
			require.NoError(t, err)
			defer conn.Close()
			client := flight.NewClientFromConn(conn, nil)
			time.Sleep(floodLead)
			times := &answerTimes{}
			for n, end := 0, time.Now().Add(floodDuration); time.Now().Before(end); n++ {
				startedAt := time.Now()
				_, err := fetchAnswer(shortContext(t), client, queryTicket(fmt.Sprint("measured-", n), "usage-lookup", 1))
				served := 0
				if err == nil {
					served = http.StatusOK
				}
				times.add(time.Since(startedAt), served)
				time.Sleep(queryInterval)
			}
			t.Log(times)
			require.Zero(t, times.late(), "answers after the deadline: %v", times)
			require.NotZero(t, times.served)
		})
	}
}
