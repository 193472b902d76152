package controlplanetest

import (
	"net"
	"sync"
	"time"
)

// Fault is what happens to the bytes from one place to another.
type Fault struct {
	Cut   bool          // nothing comes through until it is mended, as if packets were lost: connections stay
	Delay time.Duration // of each read
}

// chunkBytes is what a relay reads at once; chunksHeld such chunks are under way in one direction of a connection.
const (
	chunkBytes = 32 << 10
	maxChunks  = 64
)

// Network stands between places by relays, and has a Fault for each directed pair of them.
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

// Set sets what happens to bytes from one place to another.
func (n *Network) Set(from, to string, fault Fault) {
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

// Relay listens on a port of its own for connections from one place and carries them to an address at another. It
// returns where it listens.
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
			n.running.Go(func() { n.carry(conn, from, to, address) })
		}
	})
	return listener.Addr().String(), nil
}

// Close ends all relays and connections.
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

// carry carries one connection until either side has closed it. The far side is reached only while it is not cut off.
func (n *Network) carry(near net.Conn, from, to, address string) {
	defer n.forget(near)
	if !n.keep(near) || !n.passable(from, to) {
		return
	}
	far, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer n.forget(far)
	if !n.keep(far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { n.pump(far, near, from, to) })
	both.Go(func() { n.pump(near, far, to, from) })
	both.Wait()
}

// keep books a connection. It returns false once the network is closed.
func (n *Network) keep(conn net.Conn) bool {
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

func (n *Network) forget(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
	conn.Close()
}

// passable returns once bytes come through, or false once the network is closed.
func (n *Network) passable(from, to string) bool {
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

// chunk is bytes under way.
type chunk struct {
	data []byte
	due  time.Time
}

// pump carries one direction until the source ends or the sink fails. That the source has ended comes through like
// bytes do: not while the direction is cut.
func (n *Network) pump(sink, source net.Conn, from, to string) {
	chunks := make(chan chunk, maxChunks)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(chunks)
		for {
			buffer := make([]byte, chunkBytes)
			count, err := source.Read(buffer)
			fault, _ := n.fault(from, to)
			if count > 0 {
				chunks <- chunk{buffer[:count], time.Now().Add(fault.Delay)}
			}
			if err != nil {
				return
			}
		}
	})
	broken := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if broken || !n.passable(from, to) {
			continue
		}
		if _, err := sink.Write(c.data); err != nil {
			broken = true
			source.Close()
		}
	}
	reading.Wait()
	n.passable(from, to)
	sink.Close()
}
