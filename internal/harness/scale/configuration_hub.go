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
	confirmInterval    = 100 * time.Millisecond // of the leader's confirmation that it knows the newest revision
	maxRecordedAccepts = 1 << 14                // between two answers
)

// hubCommand is a command to a hub.
type hubCommand struct {
	Publish uint64 // number of a revision to publish; 0: none
	Bytes   int    // of its document
	Memory  bool   // measure the memory in use, which collects garbage first
}

// hubAnswer is what a hub has used since its start; MaxAcceptsPerSecond is since the previous answer.
type hubAnswer struct {
	Processor           time.Duration
	In, Out             int64   // bytes on its connections
	Streams             int     // brokers connected
	Accepts             int     // connections accepted
	MaxAcceptsPerSecond int     // connections accepted within any one second
	Memory              float64 // bytes; 0 without the command's Memory
	PublishedAt         int64   // Unix nanoseconds: before the revision was handed to the hub
}

// hubChild is a control machine without the replicated log.
type hubChild struct {
	configpb.UnimplementedControlServer
	hub     *confighub.Hub
	network *countingListener
}

// serveHub runs the child of a hub.
func serveHub() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h := &hubChild{hub: confighub.New(discardLog), network: &countingListener{Listener: listener}}
	server := grpc.NewServer(confighub.ServerOptions()...)
	configpb.RegisterControlServer(server, h)
	go server.Serve(h.network)
	defer server.Stop()
	go h.confirm()
	fmt.Println(listener.Addr())
	fmt.Println(childReady)
	return serveCommands(h.handle)
}

func (h *hubChild) Follow(stream grpc.BidiStreamingServer[configpb.Report, configpb.Update]) error {
	return h.hub.Follow(stream)
}

// confirm confirms the newest revision at each interval, as the log does while it has a leader, until the process ends.
func (h *hubChild) confirm() {
	for {
		_ = h.hub.SetNewest(nil, time.Now()) // fails only with a revision
		time.Sleep(confirmInterval)
	}
}

// handle carries out a command.
func (h *hubChild) handle(command hubCommand) (hubAnswer, error) {
	answer := hubAnswer{PublishedAt: time.Now().UnixNano()}
	if command.Publish != 0 {
		revision := newRevision(command.Publish, command.Bytes)
		answer.PublishedAt = time.Now().UnixNano()
		if err := h.hub.SetNewest(revision, time.Now()); err != nil {
			return hubAnswer{}, err
		}
	}
	answer.Processor = processorTime()
	answer.In, answer.Out = h.network.in.Load(), h.network.out.Load()
	answer.Accepts, answer.MaxAcceptsPerSecond = h.network.acceptCounts()
	for _, broker := range h.hub.Status().Brokers {
		if broker.GetConnected() {
			answer.Streams++
		}
	}
	if command.Memory {
		answer.Memory = memoryInUse()
	}
	return answer, nil
}

// countingListener counts the bytes and connections of a server.
type countingListener struct {
	net.Listener
	in, out atomic.Int64

	mu      sync.Mutex
	total   int
	accepts []time.Time // since the last call of acceptCounts
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

// acceptCounts returns how many connections were accepted in all, and the most within one second since the last call.
func (l *countingListener) acceptCounts() (total, maxPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := 0
	for last, at := range l.accepts {
		for at.Sub(l.accepts[first]) >= time.Second {
			first++
		}
		maxPerSecond = max(maxPerSecond, last-first+1)
	}
	l.accepts = nil
	return l.total, maxPerSecond
}

// countingConn counts the bytes of its listener.
type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.out.Add(int64(n))
	return n, err
}
