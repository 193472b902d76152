package presence

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
)

// Listener returns a listener whose connections are tracked: the RemoteAddr of each is an Addr. It is for protocol libraries that
// hand a request's remote address, but not its connection, to the code that serves the request.
func Listener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

// Addr is the remote address of a tracked connection.
type Addr struct {
	net.Addr
	Tracker *Tracker
}

// conn is a connection whose reader reads again once it has processed what it has read.
type conn struct {
	net.Conn
	remote  Addr
	reading atomic.Bool
}

func newConn(c net.Conn) *conn {
	tracked := &conn{Conn: c}
	tracked.remote = Addr{Addr: c.RemoteAddr(), Tracker: newTracker(c, tracked.reading.Load)}
	return tracked
}

// RemoteAddr implements net.Conn. It returns an Addr.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	c.remote.Tracker.State() // confirms the client, if nothing is left to read
	n, err := c.Conn.Read(b)
	c.reading.Store(false)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.remote.Tracker.MarkClosed()
	}
	return n, err
}
