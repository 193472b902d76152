package fairqueue

import (
	"net"
	"sync"
	"time"
)

const (
	maxRead = 1 << 10              // bytes of one read, so that one turn processes few messages
	maxTurn = 5 * time.Millisecond // after which a turn ends although the reader has not read again: it may wait for its peer
)

// Listener returns a listener whose connections are flows of a scheduler: what a read returns is processed in a turn, which lasts
// until the next read. It is for protocol libraries that read from their connections on their own goroutines.
func (s *Scheduler) Listener(l net.Listener) net.Listener { return listener{l, s} }

type listener struct {
	net.Listener
	scheduler *Scheduler
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.scheduler.Conn(c), nil
}

// Conn returns a connection that is a flow of the scheduler, like those of Listener. One goroutine at a time may read from it.
func (s *Scheduler) Conn(c net.Conn) net.Conn {
	conn := &flowConn{Conn: c, flow: s.NewFlow()}
	conn.timer = time.AfterFunc(maxTurn, conn.endTurn)
	return conn
}

type flowConn struct {
	net.Conn
	timer *time.Timer // ends a turn that lasts too long

	mu       sync.Mutex // guards the fields below; not held while the flow waits
	flow     *Flow
	received int // bytes of the latest read
}

// Read ends the turn of the previous read, reads, and waits for a turn to process what it has read.
func (c *flowConn) Read(b []byte) (int, error) {
	c.timer.Stop()
	c.endTurn()
	n, err := c.Conn.Read(b[:min(len(b), maxRead)])
	if n > 0 {
		c.beginTurn(n)
	}
	return n, err
}

// Close closes the connection and ends its turn.
func (c *flowConn) Close() error {
	err := c.Conn.Close()
	c.endTurn()
	return err
}

// beginTurn waits for a turn.
func (c *flowConn) beginTurn(received int) {
	c.mu.Lock()
	begun := c.flow.Acquire()
	c.mu.Unlock()
	if !begun {
		<-c.flow.Granted()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !begun {
		c.flow.Begin()
	}
	c.received = received
	c.timer.Reset(maxTurn)
}

// endTurn ends the turn, if the flow has one.
func (c *flowConn) endTurn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flow.Release(RequestCost(c.received))
}
