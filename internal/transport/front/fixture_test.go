package front

import (
	"bufio"
	"container/list"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
)

// fakeCore is a Core that passes the calls that it receives to the test.
type fakeCore struct {
	submissions          chan submission
	disconnectedRequests chan *broker.Request
}

// submission is one call of Submit.
type submission struct {
	*broker.Request
	broker.Client
}

func (f fakeCore) Submit(r *broker.Request, c broker.Client) { f.submissions <- submission{r, c} }
func (f fakeCore) Disconnect(r *broker.Request)              { f.disconnectedRequests <- r }
func (f fakeCore) Ready() bool                               { return true }

// pausableListener accepts connections whose reads a test can pause.
type pausableListener struct {
	*net.TCPListener
	mu    sync.Mutex
	conns []*pausableConn
}

// pausableConn is a TCP connection that, once pauseNext is closed, holds its next read after the bytes have been received,
// until a read deadline is set or the connection is closed. This lets a test act between the read and its processing.
type pausableConn struct {
	*net.TCPConn
	pauseNext  chan struct{} // closed by the test: the next read that receives bytes is held
	paused     chan struct{} // closed by Read: a read is held
	resume     chan struct{} // closed by SetReadDeadline or Close: the held read returns
	resumeOnce sync.Once
}

func (l *pausableListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &pausableConn{
		TCPConn:   c.(*net.TCPConn),
		pauseNext: make(chan struct{}),
		paused:    make(chan struct{}),
		resume:    make(chan struct{}),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return conn, nil
}

func (c *pausableConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	select {
	case <-c.pauseNext:
		if n > 0 {
			close(c.paused)
			c.pauseNext = nil
			<-c.resume
		}
	default:
	}
	return n, err
}

func (c *pausableConn) SetReadDeadline(t time.Time) error {
	c.resumeOnce.Do(func() { close(c.resume) })
	return c.TCPConn.SetReadDeadline(t)
}

func (c *pausableConn) Close() error {
	c.resumeOnce.Do(func() { close(c.resume) })
	return c.TCPConn.Close()
}

// fixture is a Front that serves a loopback listener and submits to a fakeCore.
type fixture struct {
	*testing.T
	fakeCore
	front    *Front
	listener *pausableListener
}

func newFixture(t *testing.T, opt Options) *fixture {
	opt.Classes = map[string]int{"look": 0}
	opt.MaxBufferedBytes = 1 << 20
	opt.RetryAfter = 0.5
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fixture{
		T:        t,
		fakeCore: fakeCore{make(chan submission, 9), make(chan *broker.Request, 9)},
		listener: &pausableListener{TCPListener: l.(*net.TCPListener)},
	}
	f.front = New(opt, f.fakeCore, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go f.front.Serve(f.listener)
	t.Cleanup(func() { l.Close() })
	return f
}

// dial opens a client connection and returns it, a reader of it, and the front's end of it.
func (f *fixture) dial() (c *net.TCPConn, in *bufio.Reader, serverConn *pausableConn) {
	sock, err := net.Dial("tcp", f.listener.Addr().String())
	require.NoError(f, err)
	f.Cleanup(func() { sock.Close() })
	sock.SetDeadline(time.Now().Add(5 * time.Second))
	require.Eventually(f, func() bool {
		f.listener.mu.Lock()
		defer f.listener.mu.Unlock()
		for _, accepted := range f.listener.conns {
			if accepted.RemoteAddr().String() == sock.LocalAddr().String() {
				serverConn = accepted
			}
		}
		return serverConn != nil
	}, time.Second, time.Millisecond)
	return sock.(*net.TCPConn), bufio.NewReader(sock), serverConn
}

// requestText returns the request of a query of one part. The extra header lines must each end in CRLF.
func requestText(id string, headerLines ...string) string {
	body := `{"targets":[{"partition":0,"share":1}],"query":"x"}`
	const format = "POST /look HTTP/1.1\r\nX-Request-Id: %s\r\nX-Deadline: 2000m\r\nContent-Length: %d\r\n%s\r\n%s"
	return fmt.Sprintf(format, id, len(body), strings.Join(headerLines, ""), body)
}

// roundTrip sends a request, answers it and reads the response.
func (f *fixture) roundTrip(c net.Conn, in *bufio.Reader, id string) {
	f.Helper()
	fmt.Fprint(c, requestText(id))
	f.answerNext(in, id)
}

// answerNext awaits the submission of the request with the id, answers it and reads the response.
func (f *fixture) answerNext(in *bufio.Reader, id string) {
	f.Helper()
	select {
	case q := <-f.submissions:
		require.Equal(f, id, q.ID)
		q.Finish(broker.Result{Complete: true, Values: []broker.Value{{Data: []byte("v")}}})
	case <-time.After(2 * time.Second):
		require.FailNow(f, "the request was not submitted within 2 s")
	}
	require.Equal(f, "HTTP/1.1 200 OK", readStatusLine(f.T, in))
}

// awaitIdle waits until n connections are between requests, which is slightly after their clients have read the responses.
func (f *fixture) awaitIdle(n int) {
	f.Helper()
	f.awaitLength(&f.front.idleConns, n)
}

// awaitReceiving waits until n connections have received a part of a later request than their first.
func (f *fixture) awaitReceiving(n int) {
	f.Helper()
	f.awaitLength(&f.front.receivingConns, n)
}

// awaitLength waits until a list of the front has n connections.
func (f *fixture) awaitLength(conns *list.List, n int) {
	f.Helper()
	require.Eventually(f, func() bool {
		f.front.mu.Lock()
		defer f.front.mu.Unlock()
		return conns.Len() == n
	}, 2*time.Second, time.Millisecond)
}

// readStatusLine reads a response and returns its status line.
func readStatusLine(t *testing.T, in *bufio.Reader) string {
	t.Helper()
	statusLine := ""
	length := 0
	for {
		line, err := in.ReadString('\n')
		require.NoError(t, err)
		line = strings.TrimSpace(line)
		if statusLine == "" {
			statusLine = line
		}
		fmt.Sscanf(line, "Content-Length: %d", &length)
		if line == "" {
			break
		}
	}
	_, err := io.CopyN(io.Discard, in, int64(length))
	require.NoError(t, err)
	return statusLine
}
