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
	callTimeout   = 600 * time.Millisecond // for a call to come whole; a reply is due within 1 s
	writeTimeout  = 300 * time.Millisecond // for a caller to take its reply
	lingerTimeout = 100 * time.Millisecond
)

// MaxCallers is how many callers are served at once; the one that has been silent longest makes room for another.
const MaxCallers = 24

// Process is what operators steer. Its methods are called by any goroutine and must not wait for a loop.
type Process interface {
	// AcceptsClients tells whether clients are taken.
	AcceptsClients() bool
	// StartDrain sends clients away; Join takes them again. Both may be called again and again.
	StartDrain()
	CancelDrain()
	// AppendMetrics writes the figures behind b, a line each.
	AppendMetrics(b []byte) []byte
}

// Server answers operators.
type Server struct {
	process Process
	log     *slog.Logger

	mu      sync.Mutex
	callers list.List // of net.Conn, by when they came
}

// New makes a server.
func New(p Process, log *slog.Logger) *Server { return &Server{process: p, log: log} }

// Serve answers until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.log.Warn("accept on the control address failed", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		at := s.addCaller(c)
		go func() {
			s.serveCaller(c)
			c.Close()
			s.removeCaller(at)
		}()
	}
}

// addCaller books a caller. Guards the descriptors against callers that stay: the oldest is closed for a new one.
func (s *Server) addCaller(c net.Conn) *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callers.Len() >= MaxCallers {
		s.callers.Remove(s.callers.Front()).(net.Conn).Close()
	}
	return s.callers.PushBack(c)
}

func (s *Server) removeCaller(at *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers.Remove(at) // nothing, if it has made room already
}

// serveCaller answers one caller.
func (s *Server) serveCaller(c net.Conn) {
	var m CallReader
	c.SetReadDeadline(time.Now().Add(callTimeout))
	for {
		n, err := c.Read(m.Grow())
		m.Advance(n)
		call, ok, bad := m.Next()
		if bad == nil && !ok && err != nil {
			var late net.Error
			if !errors.As(err, &late) || !late.Timeout() {
				return // the caller has gone
			}
			bad = ErrCallTimeout
		}
		if ok || bad != nil {
			s.reply(c, call, bad)
			return
		}
	}
}

func (s *Server) reply(c net.Conn, call Call, bad error) {
	out := make([]byte, 0, 1024)
	switch {
	case bad != nil:
		out = append(append(out, "NAK "...), bad.Error()...)
	case call == CheckHealth && !s.process.AcceptsClients():
		out = append(out, "NAK no clients are taken"...)
	case call == DumpMetrics:
		out = s.process.AppendMetrics(append(out, "ACK\n"...))
		out = append(out, "--"...)
	case call == StartDrain:
		s.process.StartDrain()
		s.log.Info("drain started")
		out = append(out, "ACK"...)
	case call == CancelDrain:
		s.process.CancelDrain()
		s.log.Info("drain cancelled")
		out = append(out, "ACK"...)
	default:
		out = append(out, "ACK"...)
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(append(out, '\n')); err != nil || bad == nil {
		return
	}
	// What has come beyond the call is read and forgotten for a moment: closing with bytes unread would reset
	// the connection, and the reply could be lost with it.
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		var trash [512]byte
		for range 64 {
			if _, err := c.Read(trash[:]); err != nil {
				return
			}
		}
	}
}
