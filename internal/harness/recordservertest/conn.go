package recordservertest

import (
	"bytes"
	"net"
	"strconv"
	"strings"
	"sync"

	"mothrouter/internal/transport/frame"
)

// loadReport is the load that all servers report.
const loadReport = "inflight=1,util=0.3"

// serverConn is a connection of a broker to a server. One goroutine reads; each attempt has its own.
type serverConn struct {
	net.Conn
	server   *Server
	writing  sync.Mutex // held while a frame is written
	attempts sync.WaitGroup
	cancels  map[string]chan struct{} // by part id; closed when the attempt is canceled
}

// serve reads frames until the connection ends, which cancels the attempts in flight.
func (c *serverConn) serve() {
	defer func() {
		c.Close()
		c.attempts.Wait()
		c.server.update(func() { delete(c.server.conns, c.Conn) })
	}()
	ReadFrames(c, c.handle)
	c.cancelAll()
}

// ReadFrames reads from a connection until it ends, and calls handle with each frame. It reads on after an invalid frame.
func ReadFrames(conn net.Conn, handle func(frame.Message)) {
	var in frame.Reader
	for {
		n, err := conn.Read(in.Grow())
		if err != nil {
			return
		}
		in.Advance(n)
		for {
			message, ok, err := in.Next()
			if err != nil || !ok {
				break
			}
			handle(message)
		}
	}
}

// handle handles one frame: an attempt ('S'), a cancel ('C'), a health check ('H') or a load request ('M').
func (c *serverConn) handle(message frame.Message) {
	switch message.Type {
	case 'S':
		c.startAttempt(message.Body)
	case 'C':
		id := string(message.Body)
		if cancel := c.cancels[id]; cancel != nil {
			close(cancel)
			delete(c.cancels, id)
		}
	case 'H', 'M':
		c.write(message.Type, loadReport)
	}
}

// startAttempt starts the attempt of a send frame, whose first line is the part's id, its shard and a list of fields.
func (c *serverConn) startAttempt(body []byte) {
	line, _, _ := bytes.Cut(body, []byte{'\n'})
	fields := strings.Fields(string(line))
	id := fields[0]
	shard, _ := strconv.Atoi(fields[1])
	cancel := make(chan struct{})
	c.cancels[id] = cancel
	a := c.server.receive(id, shard)
	c.server.fleet.checkSecondPhase(id, shard, fields[2])
	c.attempts.Go(func() { c.respond(a, cancel) })
}

// respond works on an attempt and writes its response, if it has one.
func (c *serverConn) respond(a attempt, canceled <-chan struct{}) {
	end, answered := c.server.run(a, canceled)
	if !answered {
		return
	}
	c.server.fleet.recordAnswer(a.id, a.shard, end)
	score := strconv.FormatInt(Score(queryOf(a.id, a.shard), a.shard), 10)
	c.write('R', a.id+" "+end+" "+score+" "+loadReport+"\nv")
}

func (c *serverConn) write(messageType byte, body string) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.Write(frame.Append(nil, messageType, body))
}

func (c *serverConn) cancelAll() {
	for _, cancel := range c.cancels {
		close(cancel)
	}
}
