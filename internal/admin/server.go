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
	callTimeout   = 600 * time.Millisecond // from the accept to the end of the call; the reply is due within 1 s
	writeTimeout  = 300 * time.Millisecond // of the reply
	lingerTimeout = 100 * time.Millisecond // of reading what follows a rejected call
	lingerReads   = 64                     // of at most lingerBuffer bytes each
	lingerBuffer  = 512
	acceptBackoff = 10 * time.Millisecond // after an accept that failed, such as for want of descriptors
)

// MaxCallers is the limit of connections. Beyond it the oldest is closed for a new one.
const MaxCallers = 24

// Process is what operators control. Its methods may be called by any goroutine and must not wait for a loop.
type Process interface {
	// AcceptsClients reports whether the process accepts clients.
	AcceptsClients() bool
	// StartDrain starts a drain. It changes nothing while the process drains.
	StartDrain()
	// CancelDrain ends the drain. It changes nothing while the process does not drain.
	CancelDrain()
	// AppendMetrics appends a line for each metric to b and returns it.
	AppendMetrics(b []byte) []byte
}

// Server answers operators. Make it with New.
type Server struct {
	process Process
	log     *slog.Logger

	mu      sync.Mutex
	callers list.List // of net.Conn, the oldest first
}

// New returns a server that controls the process.
func New(process Process, log *slog.Logger) *Server { return &Server{process: process, log: log} }

// Serve answers calls until the listener is closed, and returns nil then.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Warn("accept on the control address failed", "error", err)
			time.Sleep(acceptBackoff)
			continue
		}
		caller := s.addCaller(conn)
		go func() {
			s.serveCaller(conn)
			conn.Close()
			s.removeCaller(caller)
		}()
	}
}

// addCaller adds a connection. Guards the descriptors against callers that stay: the oldest is closed for a new one.
func (s *Server) addCaller(conn net.Conn) *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callers.Len() >= MaxCallers {
		s.callers.Remove(s.callers.Front()).(net.Conn).Close()
	}
	return s.callers.PushBack(conn)
}

// removeCaller removes a connection, unless addCaller has removed it for a new one.
func (s *Server) removeCaller(caller *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers.Remove(caller)
}

// serveCaller reads the call of a connection and replies. A caller that disconnects before its call is complete gets no reply.
func (s *Server) serveCaller(conn net.Conn) {
	var reader CallReader
	conn.SetReadDeadline(time.Now().Add(callTimeout))
	for {
		n, readErr := conn.Read(reader.Grow())
		reader.Advance(n)
		call, complete, err := reader.Next()
		switch {
		case err != nil:
			reject(conn, err)
			return
		case complete:
			writeReply(conn, s.perform(call))
			return
		case isTimeout(readErr):
			reject(conn, ErrCallTimeout)
			return
		case readErr != nil:
			return
		}
	}
}

// isTimeout reports whether an error is that of a deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// perform does what a call asks for and returns the reply.
func (s *Server) perform(call Call) string {
	switch call {
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

// reject replies with the reason. Then it reads what the caller has sent beyond the call: closing a connection with unread
// bytes would reset it, and the caller could lose the reply.
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
