package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serverOptions say how a record server works.
type serverOptions struct {
	cores int           // parts that it works on at a time
	work  time.Duration // of a part on one warm core
	room  int           // parts that may wait; one beyond is turned away
}

// arrival is one part that a record server was sent.
type arrival struct {
	at     time.Time
	server string
	id     string
	shard  int
	text   string
}

// job is one part that waits or runs.
type job struct {
	id        string
	text      string
	cancelled bool
	reply     func(outcome, value string)
}

// recordServer is a stand-in for a record server, as the protocol page describes it.
type recordServer struct {
	id       string
	cell     int
	options  serverOptions
	listener net.Listener
	note     func(arrival)

	mu      sync.Mutex
	wake    *sync.Cond
	queue   []*job
	running int
	conns   map[net.Conn]struct{}
	closed  bool
}

func startServer(id string, cell int, options serverOptions, note func(arrival)) (*recordServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &recordServer{id: id, cell: cell, options: options, listener: l, note: note,
		conns: map[net.Conn]struct{}{}}
	s.wake = sync.NewCond(&s.mu)
	for range options.cores {
		go s.core()
	}
	go s.accept()
	return s, nil
}

// core works on one part at a time.
func (s *recordServer) core() {
	for {
		s.mu.Lock()
		for len(s.queue) == 0 && !s.closed {
			s.wake.Wait()
		}
		if s.closed {
			s.mu.Unlock()
			return
		}
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		s.mu.Unlock()
		time.Sleep(s.options.work)
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		j.reply("done", valueOf(j.id, j.text))
	}
}

// valueOf returns the value that a record server makes for a part.
func valueOf(id, text string) string { return fmt.Sprintf("value of %s for %d bytes", id, len(text)) }

func (s *recordServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *recordServer) serve(c net.Conn) {
	var writeMu sync.Mutex
	write := func(letter byte, body string) {
		frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
		frame = append(append(frame, letter), body...)
		writeMu.Lock()
		defer writeMu.Unlock()
		c.SetWriteDeadline(time.Now().Add(2 * time.Second))
		if _, err := c.Write(frame); err != nil {
			c.Close()
		}
	}
	jobs := map[string]*job{}
	in := bufio.NewReader(c)
	defer func() {
		c.Close()
		s.mu.Lock()
		for _, j := range jobs {
			s.drop(j)
		}
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for {
		letter, body, err := readFrame(in)
		if err != nil {
			return
		}
		switch letter {
		case 'S':
			for len(body) > 0 {
				var a arrival
				if a, body, err = parsePart(body); err != nil {
					write('F', "cannot be used")
					return
				}
				a.at, a.server = time.Now(), s.id
				jobs[a.id] = s.take(a, write)
			}
		case 'C':
			s.mu.Lock()
			if j := jobs[string(body)]; j != nil {
				s.drop(j)
			}
			s.mu.Unlock()
		case 'H':
			write('H', "done")
		case 'M':
			write('M', s.report())
		}
	}
}

// readFrame reads one frame of a broker.
func readFrame(in *bufio.Reader) (letter byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > 1<<20 {
		return 0, nil, fmt.Errorf("a frame of %d bytes", n)
	}
	body = make([]byte, n-1)
	_, err = io.ReadFull(in, body)
	return head[4], body, err
}

// parsePart parses the first part of a call.
func parsePart(body []byte) (a arrival, rest []byte, err error) {
	text, rest, ok := bytes.Cut(body, []byte{'\n'})
	line := string(text)
	fields := strings.Fields(line)
	if !ok || len(fields) != 4 {
		return a, nil, fmt.Errorf("the line %q", line)
	}
	a.id = fields[0]
	if a.shard, err = strconv.Atoi(fields[1]); err != nil {
		return a, nil, err
	}
	n, err := strconv.Atoi(fields[3])
	if err != nil || n < 0 || n > len(rest) {
		return a, nil, fmt.Errorf("the length %q", fields[3])
	}
	a.text = string(rest[:n])
	return a, rest[n:], nil
}

// take queues a part, or turns it away.
func (s *recordServer) take(a arrival, write func(byte, string)) *job {
	s.note(a)
	j := &job{id: a.id, text: a.text}
	j.reply = func(outcome, value string) {
		s.mu.Lock()
		cancelled := j.cancelled
		s.mu.Unlock()
		if !cancelled {
			write('R', fmt.Sprintf("%s %s 1 %s\n%s", j.id, outcome, s.report(), value))
		}
	}
	s.mu.Lock()
	if len(s.queue) >= s.options.room {
		defer j.reply("full", "")
	} else {
		s.queue = append(s.queue, j)
		s.wake.Signal()
	}
	s.mu.Unlock()
	return j
}

// drop gives up a part: one that waits is dropped, one that runs goes on, unheard. The caller holds mu.
func (s *recordServer) drop(j *job) {
	j.cancelled = true
	for i, other := range s.queue {
		if other == j {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return
		}
	}
}

// report returns the load report.
func (s *recordServer) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("inflight=%d,util=%.2f", s.running+len(s.queue), float64(s.running)/float64(s.options.cores))
}

func (s *recordServer) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.wake.Broadcast()
	for c := range s.conns {
		c.Close()
	}
}
