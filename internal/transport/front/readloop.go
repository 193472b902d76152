package front

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// readCommand tells the reading goroutine what to read.
type readCommand struct {
	buffer []byte
	probe  bool // return at once if there is nothing to read
	total  int  // 0: fill the buffer once; else read that many bytes or more into it, each read over the last
}

// readResult is the result of one command.
type readResult struct {
	n          int // bytes received, also with an error
	err        error
	drained    bool      // everything that the client had sent was read, and the connection was open
	returnedAt time.Time // when the last read returned
}

// startReader starts the reading goroutine. The returned function closes the connection, which ends the goroutine.
func (c *conn) startReader() (end func()) {
	c.readCommands = make(chan readCommand, 1)
	c.readResults = make(chan readResult, 1)
	go c.readLoop(newSocketReader(c.sock))
	return func() {
		c.sock.Close()
		close(c.readCommands)
	}
}

// readLoop carries out each command until the channel is closed. An error other than the deadline that interruptRead sets marks
// the client as disconnected.
func (c *conn) readLoop(in socketReader) {
	for command := range c.readCommands {
		r := in.read(command)
		if r.drained {
			c.presence.Confirm()
		}
		if r.err != nil && !errors.Is(r.err, os.ErrDeadlineExceeded) {
			c.presence.MarkClosed()
		}
		c.readResults <- r
	}
}

// socketReader reads from a client's socket as much as there is, so that it knows whether the client's close stands behind what
// was read.
type socketReader struct {
	sock net.Conn
	raw  syscall.RawConn // nil: reads cannot be tried without blocking, so each is taken to have read everything
}

func newSocketReader(sock net.Conn) socketReader {
	r := socketReader{sock: sock}
	if s, ok := sock.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			r.raw = raw
		}
	}
	return r
}

// errNothingToRead reports that a read would block.
var errNothingToRead = errors.New("nothing to read")

// read reads until the buffer is full, or total bytes have been read, or nothing is left to read. An error that follows received
// bytes is left to the next read.
func (s socketReader) read(command readCommand) (result readResult) {
	first := s.sock.Read
	if command.probe && s.raw != nil {
		first = s.tryRead
	}
	n, err := first(command.buffer)
	for {
		if n > 0 {
			result.n += n
			result.returnedAt = time.Now()
		}
		rest := command.rest(result.n)
		if err != nil || len(rest) == 0 {
			break
		}
		n, err = s.tryRead(rest)
	}
	switch {
	case errors.Is(err, errNothingToRead):
		result.drained = true
	case result.n == 0:
		result.err = err
	}
	return result
}

// rest returns the part of the buffer to read into once n bytes have been read; it is empty if that is enough.
func (c readCommand) rest(n int) []byte {
	if c.total > 0 && n < c.total {
		return c.buffer
	}
	return c.buffer[min(n, len(c.buffer)):]
}

// tryRead reads what has been received, and returns errNothingToRead if there is nothing.
func (s socketReader) tryRead(buffer []byte) (n int, err error) {
	if s.raw == nil {
		return 0, errNothingToRead
	}
	rawErr := s.raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), buffer)
		for errors.Is(err, syscall.EINTR) {
			n, err = syscall.Read(int(fd), buffer)
		}
		return true
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case errors.Is(err, syscall.EAGAIN):
		return 0, errNothingToRead
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
