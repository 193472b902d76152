package controlplanetest

import (
	"net"
	"sync"
	"time"
)

// Fault is the fault that relays inject into the bytes from one site to another. The zero value is no fault.
type Fault struct {
	Cut   bool          // bytes are held back until the cut ends, as if packets were lost; connections stay open
	Delay time.Duration // added to each chunk of bytes that a relay reads
}

const (
	chunkSize = 32 << 10 // maximum number of bytes in one read of a relay
	maxChunks = 64       // maximum number of chunks in flight in one direction of a connection; then the relay stops reading
)

// Network connects sites, such as control machines and regions, through TCP relays. It has a Fault for each ordered pair of
// sites.
type Network struct {
	mu            sync.Mutex          // guards the fields below
	faults        map[[2]string]Fault // by source and destination
	faultsChanged chan struct{}       // closed and replaced when faults changes
	relays        []net.Listener
	conns         map[net.Conn]bool // open connections on both sides of the relays
	done          chan struct{}     // closed by Close
	goroutines    sync.WaitGroup    // goroutines that accept and serve connections
}

// NewNetwork returns a network without faults. The caller must close it.
func NewNetwork() *Network {
	return &Network{
		faults: map[[2]string]Fault{}, faultsChanged: make(chan struct{}), conns: map[net.Conn]bool{},
		done: make(chan struct{}),
	}
}

// SetFault sets the fault of the direction from one site to another. It applies to open connections as well.
func (n *Network) SetFault(from, to string, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[[2]string{from, to}] = fault
	close(n.faultsChanged)
	n.faultsChanged = make(chan struct{})
}

// fault returns the fault of a direction, and a channel that is closed when any fault changes.
func (n *Network) fault(from, to string) (fault Fault, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[[2]string{from, to}], n.faultsChanged
}

// Relay starts a relay for connections from one site to an address at another site, and returns the address at which the relay
// listens.
func (n *Network) Relay(from, to, address string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.relays = append(n.relays, listener)
	n.mu.Unlock()
	n.goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n.goroutines.Go(func() { n.serve(conn, from, to, address) })
		}
	})
	return listener.Addr().String(), nil
}

// Close closes all relays and connections.
func (n *Network) Close() {
	n.mu.Lock()
	close(n.done)
	for _, listener := range n.relays {
		listener.Close()
	}
	for conn := range n.conns {
		conn.Close()
	}
	n.mu.Unlock()
	n.goroutines.Wait()
}

// serve forwards both directions of a client's connection until both are closed. It dials the server once the direction to the
// server is not cut.
func (n *Network) serve(client net.Conn, from, to, address string) {
	defer n.untrack(client)
	if !n.track(client) || !n.waitUntilOpen(from, to) {
		return
	}
	server, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer n.untrack(server)
	if !n.track(server) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { n.forward(server, client, from, to) })
	directions.Go(func() { n.forward(client, server, to, from) })
	directions.Wait()
}

// track registers a connection so that Close closes it. It returns false if the network is closed already.
func (n *Network) track(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.done:
		return false
	default:
		n.conns[conn] = true
		return true
	}
}

// untrack closes a connection and removes it from conns.
func (n *Network) untrack(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
	conn.Close()
}

// waitUntilOpen waits until a direction is not cut. It returns false if the network is closed while it waits.
func (n *Network) waitUntilOpen(from, to string) bool {
	for {
		fault, changed := n.fault(from, to)
		if !fault.Cut {
			return true
		}
		select {
		case <-changed:
		case <-n.done:
			return false
		}
	}
}

// chunk is the result of one read of a relay, and the time at which the relay writes it.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// forward copies bytes in one direction until the source ends or a write to the destination fails. Then it closes the
// destination. While the direction is cut, it holds back the end of the source as well as the bytes.
func (n *Network) forward(destination, source net.Conn, from, to string) {
	chunks := make(chan chunk, maxChunks)
	var reader sync.WaitGroup
	reader.Go(func() { n.readChunks(source, from, to, chunks) })
	failed := false
	for received := range chunks {
		time.Sleep(time.Until(received.deliverAt))
		if failed || !n.waitUntilOpen(from, to) {
			continue
		}
		if _, err := destination.Write(received.data); err != nil {
			failed = true
			source.Close()
		}
	}
	reader.Wait()
	n.waitUntilOpen(from, to)
	destination.Close()
}

// readChunks reads from the source until it ends and sends each chunk with the time of its delivery. Then it closes chunks.
func (n *Network) readChunks(source net.Conn, from, to string, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkSize)
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
