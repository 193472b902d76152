package admin

import (
	"container/list"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	commandTimeout = 600 * time.Millisecond // from accepting the connection to the end of the command; the reply is due within 1 s
	writeTimeout   = 300 * time.Millisecond // for writing the reply
	lingerTimeout  = 100 * time.Millisecond // for discarding input after a rejected command
	lingerReads    = 64                     // maximum number of reads that discard input
	lingerBuffer   = 512                    // bytes discarded per read at most
	acceptBackoff  = 10 * time.Millisecond  // after a failed accept, for example because no descriptors are left
)

// MaxConns is the limit on open connections. When it is reached, the oldest connection is closed for a new one.
const MaxConns = 24

// Process is the process that operators control. Its methods must be safe for concurrent use and must not wait for an event
// loop.
type Process interface {
	// AcceptsClients reports whether the process accepts clients.
	AcceptsClients() bool
	// StartDrain starts a drain. It does nothing if the process is already draining.
	StartDrain()
	// CancelDrain ends the drain. It does nothing if the process is not draining.
	CancelDrain()
	// AppendMetrics appends one line per metric to b and returns the extended slice.
	AppendMetrics(b []byte) []byte
}

// Server answers the commands of operators. It is created by New.
type Server struct {
	process Process
	log     *slog.Logger

	mu    sync.Mutex
	conns list.List // open connections as net.Conn, oldest first
}

// New returns a server that controls process.
func New(process Process, log *slog.Logger) *Server { return &Server{process: process, log: log} }

// Serve answers commands until the listener is closed. It returns nil.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Warn("accept on the control address failed", "error", err)
			time.Sleep(acceptBackoff)
			continue
		}
		element := s.addConn(conn)
		go func() {
			s.serveConn(conn)
			conn.Close()
			s.removeConn(element)
		}()
	}
}

// addConn adds a connection. If there are MaxConns already, it closes the oldest, so that clients that stay connected cannot
// exhaust the descriptors.
func (s *Server) addConn(conn net.Conn) *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns.Len() >= MaxConns {
		s.conns.Remove(s.conns.Front()).(net.Conn).Close()
	}
	return s.conns.PushBack(conn)
}

// removeConn removes a connection, unless addConn has already removed it to make room for a new one.
func (s *Server) removeConn(element *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.Remove(element)
}

// serveConn reads a command from a connection and replies. A client that disconnects before its command is complete gets no
// reply.
func (s *Server) serveConn(conn net.Conn) {
	var reader CommandReader
	conn.SetReadDeadline(time.Now().Add(commandTimeout))
	for {
		n, readErr := conn.Read(reader.Grow())
		reader.Advance(n)
		command, complete, err := reader.Next()
		switch {
		case err != nil:
			reject(conn, err)
			return
		case complete:
			writeReply(conn, s.execute(command))
			return
		case isTimeout(readErr):
			reject(conn, ErrCommandTimeout)
			return
		case readErr != nil:
			return
		}
	}
}

// isTimeout reports whether an error is an I/O timeout.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// execute executes a command and returns the reply.
func (s *Server) execute(command Command) string {
	switch command {
	case CheckHealth:
		if !s.process.AcceptsClients() {
			return "NAK no clients are taken\n"
		}
	case DumpMetrics:
		reply := s.process.AppendMetrics([]byte("ACK\n"))
		return string(append(reply, "--\n"...))
	case StartDrain:
		s.process.StartDrain()
		s.log.Info("drain started")
	case CancelDrain:
		s.process.CancelDrain()
		s.log.Info("drain cancelled")
	}
	return "ACK\n"
}

// reject replies with the reason. Then it discards what the client has sent after the command: closing a connection with
// unread bytes would reset it, and the client could lose the reply.
func reject(conn net.Conn, reason error) {
	if !writeReply(conn, "NAK "+reason.Error()+"\n") {
		return
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	tcp.CloseWrite()
	conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	var discarded [lingerBuffer]byte
	for range lingerReads {
		if _, err := conn.Read(discarded[:]); err != nil {
			return
		}
	}
}

// writeReply writes a reply and reports whether it was written completely.
func writeReply(conn net.Conn, reply string) bool {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write([]byte(reply))
	return err == nil
}
