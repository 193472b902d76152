package recordservertest

import (
	"bytes"
	"net"
	"strconv"
	"strings"
	"sync"

	"mothrouter/internal/transport/frame"
)

// loadReport is the load report of all servers: one part in flight and a utilization of 30%.
const loadReport = "inflight=1,util=0.3"

// serverConn is a connection of a broker to a server. One goroutine reads frames, and each attempt runs in a goroutine of
// its own.
type serverConn struct {
	net.Conn
	server   *Server
	writeMu  sync.Mutex // held while a frame is written
	attempts sync.WaitGroup
	cancels  map[string]chan struct{} // by part id; a channel is closed when its attempt is canceled
}

// serve handles frames until the connection is closed, and then cancels the attempts in flight.
func (c *serverConn) serve() {
	defer func() {
		c.Close()
		c.attempts.Wait()
		c.server.update(func() { delete(c.server.conns, c.Conn) })
	}()
	ReadFrames(c, c.handle)
	c.cancelAll()
}

// ReadFrames reads from a connection until it is closed or fails, and calls handle with each frame. After an invalid frame
// it keeps reading.
func ReadFrames(conn net.Conn, handle func(frame.Message)) {
	var reader frame.Reader
	for {
		n, err := conn.Read(reader.Grow())
		if err != nil {
			return
		}
		reader.Advance(n)
		for {
			message, ok, err := reader.Next()
			if err != nil || !ok {
				break
			}
			handle(message)
		}
	}
}

// handle processes one frame: the start of an attempt ('S'), its cancellation ('C'), a health check ('H') or a request for a
// load report ('M').
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

// startAttempt starts the attempt that a send frame asks for. The first line of the frame's body has the part's id, its shard
// and a list of fields.
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

// respond runs an attempt and writes its response unless the attempt was canceled.
func (c *serverConn) respond(a attempt, canceled <-chan struct{}) {
	outcome, answered := c.server.run(a, canceled)
	if !answered {
		return
	}
	c.server.fleet.recordAnswer(a.id, a.shard, outcome)
	score := strconv.FormatInt(Score(queryID(a.id, a.shard), a.shard), 10)
	c.write('R', a.id+" "+outcome+" "+score+" "+loadReport+"\nv")
}

// write writes one frame. It can be called concurrently.
func (c *serverConn) write(messageType byte, body string) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.Write(frame.Append(nil, messageType, body))
}

// cancelAll cancels all attempts in flight.
func (c *serverConn) cancelAll() {
	for _, cancel := range c.cancels {
		close(cancel)
	}
}
