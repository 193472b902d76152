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

// dialTimeout limits the time to connect and the time to send the request. It is the time that a call may take until its first
// message, and allows for a lost SYN packet, which is retransmitted after a second.
const dialTimeout = listwatch.CallTimeout

// A watch that sends more than maxMessagesPerRead messages at a time is read only after floodPause, so that it leaves the processor
// to the rest of the process. The watch of a large fleet sends a few changes a second.
const (
	maxMessagesPerRead = 64
	floodPause         = 5 * time.Millisecond
)

// statusOK is the only HTTP status with which a watch starts.
const statusOK = 200

// errWatchEnded is the error of a call whose response has ended.
var errWatchEnded = errors.New("discovery ended the watch response")

// StatusError is the error of a response with an HTTP status other than 200.
type StatusError struct{ Status int }

// Error returns a message with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery responded with HTTP status %d, want %d", e.Status, statusOK)
}

// call is one call to discovery. It is owned by its goroutine.
type call struct {
	id     int
	addr   string           // address of discovery as host:port
	since  int64            // version of the endpoint list from which to watch
	events chan<- callEvent // receives the call's messages and its end

	lines  httpwire.LineReader
	object httpwire.ObjectAssembler // the message being received
}

// run makes the call and sends its events until the call ends or ctx is cancelled.
func (c *call) run(ctx context.Context) {
	if err := c.watch(ctx); err != nil {
		c.sendEvent(ctx, nil, err)
	}
}

// sendEvent sends a message or the end of the call, unless ctx is cancelled.
func (c *call) sendEvent(ctx context.Context, text []byte, err error) {
	select {
	case c.events <- callEvent{call: c.id, text: bytes.Clone(text), err: err, reached: c.lines.Status() == statusOK}:
	case <-ctx.Done():
	}
}

// watch connects, sends the request and reads messages until an error ends the call.
func (c *call) watch(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := c.sendRequest(conn); err != nil {
		return err
	}
	for {
		n, err := conn.Read(c.lines.Grow())
		if err != nil {
			return err
		}
		c.lines.Advance(n)
		messages, err := c.processLines(ctx)
		if err != nil {
			return err
		}
		if c.lines.Done() {
			return errWatchEnded
		}
		if messages > maxMessagesPerRead {
			time.Sleep(floodPause)
		}
	}
}

// sendRequest sends the HTTP request of the watch.
func (c *call) sendRequest(conn net.Conn) error {
	conn.SetWriteDeadline(time.Now().Add(dialTimeout))
	_, err := fmt.Fprintf(conn, "GET /discovery/hosts?follow=1&since=%d HTTP/1.1\r\nHost: %s\r\n\r\n", c.since, c.addr)
	return err
}

// processLines sends an event for each message in the lines received so far, and returns the number of messages.
func (c *call) processLines(ctx context.Context) (messages int, err error) {
	for {
		line, ok, err := c.lines.Next()
		if err != nil || !ok {
			return messages, err
		}
		if status := c.lines.Status(); status != statusOK {
			return messages, &StatusError{Status: status}
		}
		text, complete, err := c.object.Add(line)
		if err != nil {
			return messages, err
		}
		if complete {
			messages++
			c.sendEvent(ctx, text, nil)
		}
	}
}
