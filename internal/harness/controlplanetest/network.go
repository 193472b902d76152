package controlplanetest

import (
	"net"
	"sync"
	"time"
)

// Fault is what happens to the bytes from one site to another.
type Fault struct {
	Cut   bool          // bytes are held until the cut ends, as if packets were lost; connections stay open
	Delay time.Duration // of each chunk that a relay reads
}

const (
	chunkBytes = 32 << 10 // what a relay reads at most at once
	maxChunks  = 64       // in flight in one direction of a connection; then the relay reads no more
)

// Network connects sites, such as machines and regions, by relays, with a Fault for each directed pair of sites.
type Network struct {
	mu      sync.Mutex // guards what follows
	faults  map[[2]string]Fault
	changed chan struct{} // closed and replaced with each change
	relays  []net.Listener
	conns   map[net.Conn]bool
	closed  chan struct{}
	running sync.WaitGroup
}

// NewNetwork returns a network without faults. It has to be closed.
func NewNetwork() *Network {
	return &Network{
		faults: map[[2]string]Fault{}, changed: make(chan struct{}), conns: map[net.Conn]bool{},
		closed: make(chan struct{}),
	}
}

// SetFault sets the fault of the bytes from one site to another.
func (n *Network) SetFault(from, to string, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[[2]string{from, to}] = fault
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) fault(from, to string) (fault Fault, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[[2]string{from, to}], n.changed
}

// Relay starts a relay for connections from one site to an address at another, and returns the address at which it
// listens.
func (n *Network) Relay(from, to, address string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.relays = append(n.relays, listener)
	n.mu.Unlock()
	n.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n.running.Go(func() { n.serve(conn, from, to, address) })
		}
	})
	return listener.Addr().String(), nil
}

// Close closes all relays and connections.
func (n *Network) Close() {
	n.mu.Lock()
	close(n.closed)
	for _, listener := range n.relays {
		listener.Close()
	}
	for conn := range n.conns {
		conn.Close()
	}
	n.mu.Unlock()
	n.running.Wait()
}

// serve forwards one connection until either side has closed it. It dials the far side once the direction is not cut.
func (n *Network) serve(near net.Conn, from, to, address string) {
	defer n.untrack(near)
	if !n.track(near) || !n.waitUntilOpen(from, to) {
		return
	}
	far, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer n.untrack(far)
	if !n.track(far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { n.forward(far, near, from, to) })
	both.Go(func() { n.forward(near, far, to, from) })
	both.Wait()
}

// track registers a connection to be closed with the network. It reports false once the network is closed.
func (n *Network) track(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.closed:
		return false
	default:
		n.conns[conn] = true
		return true
	}
}

func (n *Network) untrack(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
	conn.Close()
}

// waitUntilOpen waits until a direction is not cut. It reports false if the network is closed first.
func (n *Network) waitUntilOpen(from, to string) bool {
	for {
		fault, changed := n.fault(from, to)
		if !fault.Cut {
			return true
		}
		select {
		case <-changed:
		case <-n.closed:
			return false
		}
	}
}

// chunk is bytes in flight.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// forward forwards one direction until the source ends or the sink fails. The end of the source passes as bytes do: not
// while the direction is cut.
func (n *Network) forward(sink, source net.Conn, from, to string) {
	chunks := make(chan chunk, maxChunks)
	var reading sync.WaitGroup
	reading.Go(func() { n.readChunks(source, from, to, chunks) })
	failed := false
	for c := range chunks {
		time.Sleep(time.Until(c.deliverAt))
		if failed || !n.waitUntilOpen(from, to) {
			continue
		}
		if _, err := sink.Write(c.data); err != nil {
			failed = true
			source.Close()
		}
	}
	reading.Wait()
	n.waitUntilOpen(from, to)
	sink.Close()
}

// readChunks sends what it reads, with the time of its delivery, until the source ends. Then it closes chunks.
func (n *Network) readChunks(source net.Conn, from, to string, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		length, err := source.Read(buffer)
		fault, _ := n.fault(from, to)
		if length > 0 {
			chunks <- chunk{buffer[:length], time.Now().Add(fault.Delay)}
		}
		if err != nil {
			return
		}
	}
}
