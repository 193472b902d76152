package discovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"mothrouter/internal/endpoints/listwatch"
	"mothrouter/internal/transport/httpwire"
)

// dialTimeout is as long as a call may take until its first message: a first packet that is lost is sent again after a second.
const dialTimeout = listwatch.CallTimeout

// statusOK is the only status with which a watch starts.
const statusOK = 200

// errWatchEnded is the error of a call whose response has ended.
var errWatchEnded = errors.New("discovery ended the watch")

// StatusError is a response other than 200.
type StatusError struct{ Status int }

// Error returns the status.
func (e *StatusError) Error() string { return fmt.Sprintf("discovery answers %d", e.Status) }

// call is one call to discovery. Its goroutine owns it.
type call struct {
	id       int
	addr     string         // address host:port of discovery
	since    int64          // version of the list that the call starts from
	messages chan<- message // receives what the call has received, and its end

	lines  httpwire.LineReader
	object httpwire.ObjectAssembler // the message that is being received
}

// run makes the call and sends its messages until it ends or ctx does.
func (c *call) run(ctx context.Context) {
	if err := c.watch(ctx); err != nil {
		c.send(ctx, nil, err)
	}
}

// send sends a message, unless ctx ends.
func (c *call) send(ctx context.Context, text []byte, err error) {
	select {
	case c.messages <- message{call: c.id, text: bytes.Clone(text), err: err}:
	case <-ctx.Done():
	}
}

// watch connects, sends the request and reads until an error ends the call.
func (c *call) watch(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := c.request(conn); err != nil {
		return err
	}
	for {
		n, err := conn.Read(c.lines.Grow())
		if err != nil {
			return err
		}
		c.lines.Advance(n)
		if err := c.readLines(ctx); err != nil {
			return err
		}
		if c.lines.Done() {
			return errWatchEnded
		}
	}
}

// request sends the request.
func (c *call) request(conn net.Conn) error {
	conn.SetWriteDeadline(time.Now().Add(dialTimeout))
	_, err := fmt.Fprintf(conn, "GET /discovery/hosts?follow=1&since=%d HTTP/1.1\r\nHost: %s\r\n\r\n", c.since, c.addr)
	return err
}

// readLines sends the messages of all lines that have been received.
func (c *call) readLines(ctx context.Context) error {
	for {
		line, ok, err := c.lines.Next()
		if err != nil || !ok {
			return err
		}
		if status := c.lines.Status(); status != statusOK {
			return &StatusError{Status: status}
		}
		text, complete, err := c.object.Add(line)
		if err != nil {
			return err
		}
		if complete {
			c.send(ctx, text, nil)
		}
	}
}
