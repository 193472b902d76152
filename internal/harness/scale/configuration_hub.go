package scale

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"mothrouter/internal/controlplane/confighub"
	"mothrouter/internal/controlplane/configpb"
)

const (
	confirmInterval    = 100 * time.Millisecond // between the leader's confirmations of the newest revision
	maxRecordedAccepts = 1 << 14                // maximum connections recorded between two responses
)

// hubCommand is a command to a hub's child.
type hubCommand struct {
	Publish uint64 // number of a revision to publish; 0: none
	Bytes   int    // size of the published document
	Memory  bool   // run a garbage collection and measure the memory in use
}

// hubResponse reports the state of a hub and what it has used since its start.
type hubResponse struct {
	CPUTime             time.Duration `json:"Processor"` // of the process since its start
	BytesIn             int64         `json:"In"`        // received on its connections
	BytesOut            int64         `json:"Out"`       // sent on its connections
	Streams             int           // brokers connected now
	Accepts             int           // connections accepted
	MaxAcceptsPerSecond int           // connections accepted in the busiest second since the previous response
	Memory              float64       // bytes; 0 unless the command has Memory set
	PublishedAt         int64         // Unix nanoseconds just before the revision was passed to the hub
}

// hubChild is a control machine without the replicated log, run in a child.
type hubChild struct {
	configpb.UnimplementedControlServer
	hub      *confighub.Hub
	listener *countingListener
}

// serveHub runs a hub's child until its standard input is closed.
func serveHub() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h := &hubChild{hub: confighub.New(discardLog), listener: &countingListener{Listener: listener}}
	server := grpc.NewServer(confighub.ServerOptions()...)
	configpb.RegisterControlServer(server, h)
	go server.Serve(h.listener)
	defer server.Stop()
	go h.confirm()
	fmt.Println(listener.Addr())
	fmt.Println(childReady)
	return serveCommands(h.handle)
}

func (h *hubChild) Follow(stream grpc.BidiStreamingServer[configpb.Report, configpb.Update]) error {
	return h.hub.Follow(stream)
}

// confirm confirms the newest revision at each confirmInterval until the process exits, as the replicated log does while it
// has a leader.
func (h *hubChild) confirm() {
	for {
		_ = h.hub.SetNewest(nil, time.Now()) // returns an error only if a revision is passed
		time.Sleep(confirmInterval)
	}
}

// handle executes a command.
func (h *hubChild) handle(command hubCommand) (hubResponse, error) {
	response := hubResponse{PublishedAt: time.Now().UnixNano()}
	if command.Publish != 0 {
		revision := newRevision(command.Publish, command.Bytes)
		response.PublishedAt = time.Now().UnixNano()
		if err := h.hub.SetNewest(revision, time.Now()); err != nil {
			return hubResponse{}, err
		}
	}
	response.CPUTime = cpuTime()
	response.BytesIn, response.BytesOut = h.listener.bytesIn.Load(), h.listener.bytesOut.Load()
	response.Accepts, response.MaxAcceptsPerSecond = h.listener.acceptCounts()
	for _, broker := range h.hub.Status().Brokers {
		if broker.GetConnected() {
			response.Streams++
		}
	}
	if command.Memory {
		response.Memory = memoryInUse()
	}
	return response, nil
}

// countingListener counts accepted connections and the bytes received and sent on them.
type countingListener struct {
	net.Listener
	bytesIn  atomic.Int64
	bytesOut atomic.Int64

	mu      sync.Mutex
	total   int         // connections accepted
	accepts []time.Time // accept times since the last call of acceptCounts
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if len(l.accepts) < maxRecordedAccepts {
		l.accepts = append(l.accepts, time.Now())
	}
	return &countingConn{conn, l}, nil
}

// acceptCounts returns the number of connections accepted since the start, and the largest number accepted within one
// second since the last call.
func (l *countingListener) acceptCounts() (total, maxPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := 0
	for last, acceptedAt := range l.accepts {
		for acceptedAt.Sub(l.accepts[first]) >= time.Second {
			first++
		}
		maxPerSecond = max(maxPerSecond, last-first+1)
	}
	l.accepts = nil
	return l.total, maxPerSecond
}

// countingConn adds the bytes that it reads and writes to the counts of its listener.
type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.bytesIn.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.bytesOut.Add(int64(n))
	return n, err
}
