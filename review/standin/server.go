package standin

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Attempt is a part that a record server has received.
type Attempt struct {
	ID    string // query, dot, shard
	Query string
}

// Server is a record server. It holds the shards of its cell and of the cells before it, as many as the reach says.
type Server struct {
	ID     string
	Cell   int
	Work   time.Duration // for a part
	Record *Record

	listener net.Listener

	mu      sync.Mutex
	running int
	hanging bool
}

// Listen starts the server on a free port.
func (s *Server) Listen() (err error) {
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return nil
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Hang has the server take parts and answer none from now on, not even those that it has.
func (s *Server) Hang() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging = true
}

func (s *Server) isHanging() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hanging
}

// Value is the value of a part: what a record server made for it, and nobody else can.
func Value(id, query string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id+" "+query) // a hash takes everything
	return fmt.Sprintf("%016x", h.Sum64())
}

// serve reads the frames of one connection.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var writing sync.Mutex
	reply := func(letter byte, body string) {
		writing.Lock()
		defer writing.Unlock()
		frame := binary.BigEndian.AppendUint32(nil, uint32(1+len(body)))
		_, _ = conn.Write(append(append(frame, letter), body...)) // the broker may have closed the connection
	}
	cancels := map[string]chan struct{}{}
	for {
		letter, body, err := readFrame(in)
		if err != nil {
			for _, cancel := range cancels {
				close(cancel)
			}
			return
		}
		switch letter {
		case 'S':
			for len(body) > 0 {
				var a Attempt
				if a, body, err = parsePart(body); err != nil {
					reply('F', err.Error())
					return
				}
				s.Record.Line("%s has received the part %s", s.ID, a.ID)
				cancel := make(chan struct{})
				cancels[a.ID] = cancel
				go s.run(a, cancel, reply)
			}
		case 'C':
			s.Record.Line("%s has received the cancel of %s", s.ID, body)
			if cancel := cancels[string(body)]; cancel != nil {
				close(cancel)
				delete(cancels, string(body))
			}
		case 'H':
			reply('H', "done")
		case 'M':
			reply('M', s.report())
		}
	}
}

// run works on a part and answers it, unless it is cancelled before.
func (s *Server) run(a Attempt, cancel <-chan struct{}, reply func(letter byte, body string)) {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	work := time.NewTimer(s.Work)
	defer work.Stop()
	select {
	case <-cancel:
		return
	case <-work.C:
	}
	if s.isHanging() {
		<-cancel
		return
	}
	s.Record.Line("%s has run the part %s", s.ID, a.ID)
	reply('R', fmt.Sprintf("%s done %d %s\n%s", a.ID, 1, s.report(), Value(a.ID, a.Query)))
}

func (s *Server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("inflight=%d,util=%.2f", s.running, min(float64(s.running)/2, 1))
}

func readFrame(in *bufio.Reader) (letter byte, body []byte, err error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > 1<<20 {
		return 0, nil, errors.New("a frame of a length that cannot be")
	}
	all := make([]byte, n)
	if _, err := io.ReadFull(in, all); err != nil {
		return 0, nil, err
	}
	return all[0], all[1:], nil
}

// parsePart parses the first part of a call and returns the rest.
func parsePart(body []byte) (a Attempt, rest []byte, err error) {
	line, rest, ok := bytes.Cut(body, []byte{'\n'})
	fields := strings.Fields(string(line))
	if !ok || len(fields) != 4 {
		return a, nil, fmt.Errorf("no line of a part: %q", line)
	}
	n, err := strconv.Atoi(fields[3])
	if err != nil || n > len(rest) {
		return a, nil, fmt.Errorf("length of a part: %q", line)
	}
	a.ID, a.Query = fields[0], string(rest[:n])
	return a, rest[n:], nil
}
