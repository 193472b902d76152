package standin

import (
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections to a target after a delay, as a link between two regions does. Once it is cut, it forwards
// nothing more, in either direction.
type Proxy struct {
	Delay    time.Duration
	listener net.Listener

	mu      sync.Mutex
	target  string
	cut     bool
	onPiece func(n int)
	conns   map[net.Conn]struct{}
}

// OnPiece sets a function that is called with the size of each piece that a client sends to the target, before the delay.
func (p *Proxy) OnPiece(f func(n int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onPiece = f
}

func (p *Proxy) pieceReceived(n int) {
	p.mu.Lock()
	f := p.onPiece
	p.mu.Unlock()
	if f != nil {
		f(n)
	}
}

// Listen starts the proxy on a free port.
func (p *Proxy) Listen(target string) (err error) {
	p.target, p.conns = target, map[net.Conn]struct{}{}
	if p.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go func() {
		for {
			client, err := p.listener.Accept()
			if err != nil {
				return
			}
			go p.serve(client)
		}
	}()
	return nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetCut cuts the proxy, or ends the cut. Connections of before the cut are reset at its end.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		for conn := range p.conns {
			conn.Close()
		}
		clear(p.conns)
	}
}

func (p *Proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *Proxy) add(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = struct{}{}
	}
}

func (p *Proxy) serve(client net.Conn) {
	p.add(client)
	if p.isCut() {
		return // silent until the end of the cut
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		client.Close()
		return
	}
	p.add(server)
	go p.forward(client, server, true)
	p.forward(server, client, false)
}

// piece is what one read has received.
type piece struct {
	bytes []byte
	due   time.Time
}

// forward forwards one direction of a connection until it ends.
func (p *Proxy) forward(from, to net.Conn, fromClient bool) {
	pieces := make(chan piece, 4096)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 128<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				if fromClient {
					p.pieceReceived(n)
				}
				pieces <- piece{buffer[:n], time.Now().Add(p.Delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for next := range pieces {
		time.Sleep(time.Until(next.due))
		if p.isCut() {
			continue
		}
		if _, err := to.Write(next.bytes); err != nil {
			break
		}
	}
	if !p.isCut() {
		from.Close()
		to.Close()
	}
}
