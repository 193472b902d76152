// Package presence tells whether the client of a TCP connection is still there, however slowly the bytes before its close are read.
//
// The kernel knows of a close as soon as it has arrived, whatever is unread before it (TCP_INFO), unless the receive window was full
// of unread bytes when the client closed. So a client is confirmed to be there while the connection is established and nothing is
// unread, and counts as connected for broker.MaxUnconfirmed after that.
package presence

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mothrouter/internal/broker"
)

// Tracker determines the state of the client of one connection. It is safe for concurrent use.
type Tracker struct {
	socket syscall.RawConn // nil: not a socket, so only MarkClosed reports a close
	// processed reports whether all bytes that have been read have been processed. The state is unconfirmed while they have not:
	// the client's cancellation may be among them.
	processed func() bool

	closed       atomic.Bool
	ignoreUnread atomic.Bool
	confirmedAt  atomic.Int64 // time since start, in nanoseconds
}

// recheckInterval is how long a confirmed client is not checked again, so that the many parts of a query cost few system calls.
const recheckInterval = time.Millisecond

// neverConfirmed is the time in Tracker.confirmedAt before the first confirmation: the client of a new connection may have closed it
// before it was accepted.
const neverConfirmed = -time.Hour

// start is the origin of the times in Tracker.confirmedAt.
var start = time.Now()

// NewTracker returns a tracker of a connection on which all that is read is processed at once.
func NewTracker(conn net.Conn) *Tracker { return newTracker(conn, func() bool { return true }) }

func newTracker(conn net.Conn, processed func() bool) *Tracker {
	t := &Tracker{processed: processed}
	if s, ok := conn.(syscall.Conn); ok {
		if socket, err := s.SyscallConn(); err == nil {
			t.socket = socket
		}
	}
	t.confirmedAt.Store(int64(neverConfirmed))
	return t
}

// MarkClosed records that the client has closed the connection.
func (t *Tracker) MarkClosed() { t.closed.Store(true) }

// Closed reports whether the client is known to have closed the connection. It makes no system call.
func (t *Tracker) Closed() bool { return t.closed.Load() }

// IgnoreUnread makes unread bytes no longer matter: nothing more will be read from the connection.
func (t *Tracker) IgnoreUnread() { t.ignoreUnread.Store(true) }

// State implements broker.ClientConn.
func (t *Tracker) State() broker.ClientState {
	if t.closed.Load() {
		return broker.ClientDisconnected
	}
	if t.unconfirmedFor() < recheckInterval {
		return broker.ClientConnected
	}
	unread, open := t.querySocket()
	switch {
	case !open:
		t.closed.Store(true)
		return broker.ClientDisconnected
	case (unread == 0 || t.ignoreUnread.Load()) && t.processed(): // in this order: bytes may be read in between
		t.Confirm()
	case t.unconfirmedFor() > broker.MaxUnconfirmed:
		return broker.ClientUnconfirmed
	}
	return broker.ClientConnected
}

// Confirm records that the connection was open just now and that nothing was left to read.
func (t *Tracker) Confirm() { t.confirmedAt.Store(int64(time.Since(start))) }

// unconfirmedFor returns how long ago the client was last confirmed.
func (t *Tracker) unconfirmedFor() time.Duration {
	return time.Since(start) - time.Duration(t.confirmedAt.Load())
}

// querySocket returns how many bytes the socket has received that have not been read, and whether neither side has closed it. What
// the system does not tell is taken to be 0 and open.
func (t *Tracker) querySocket() (unread int, open bool) {
	if t.socket == nil {
		return 0, true
	}
	open = true
	err := t.socket.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			open = !closedStates[info.State]
		}
	})
	return unread, open && err == nil
}

// closedStates are the states of a TCP connection (RFC 9293, section 3.3.2) in which the peer has closed it, by the numbers of Linux.
// The kernel closes a connection, too, that is reset.
var closedStates = [256]bool{
	unix.BPF_TCP_TIME_WAIT:  true,
	unix.BPF_TCP_CLOSE:      true,
	unix.BPF_TCP_CLOSE_WAIT: true,
	unix.BPF_TCP_LAST_ACK:   true,
	unix.BPF_TCP_CLOSING:    true,
}
