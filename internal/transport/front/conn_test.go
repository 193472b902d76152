package front

import (
	"bufio"
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
	"mothrouter/internal/drain"
)

// fakeCore is a core that hands the test what it is given.
type fakeCore struct {
	submissions  chan submission
	disconnected chan *broker.Request
}

type submission struct {
	*broker.Request
	broker.Client
}

func (f fakeCore) Submit(r *broker.Request, c broker.Client) { f.submissions <- submission{r, c} }
func (f fakeCore) Disconnect(r *broker.Request)              { f.disconnected <- r }
func (f fakeCore) Ready() bool                               { return true }

// pausableListener is a listener whose connections, once told to, keep what they have read from the loopback socket until somebody
// wants the read to end: so the front looks at a connection in just the moment in which a request was read.
type pausableListener struct {
	*net.TCPListener
	mu    sync.Mutex
	conns []*pausableConn
}

type pausableConn struct {
	*net.TCPConn
	pauseNext  chan struct{} // closed: reads are kept from now on
	paused     chan struct{} // closed: one is kept
	resume     chan struct{} // closed: it goes on
	resumeOnce sync.Once
}

func (l *pausableListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &pausableConn{TCPConn: c.(*net.TCPConn), pauseNext: make(chan struct{}), paused: make(chan struct{}), resume: make(chan struct{})}
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

type fixture struct {
	*testing.T
	fakeCore
	front    *Front
	listener *pausableListener
}

func newFixture(t *testing.T, opt Options) *fixture {
	opt.Classes, opt.MaxBufferedBytes, opt.RetryAfter = map[string]int{"look": 0}, 1<<20, 0.5
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	x := &fixture{T: t, fakeCore: fakeCore{make(chan submission, 9), make(chan *broker.Request, 9)}, listener: &pausableListener{TCPListener: l.(*net.TCPListener)}}
	x.front = New(opt, x.fakeCore, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go x.front.Serve(x.listener)
	t.Cleanup(func() { l.Close() })
	return x
}

// dial opens a client's connection; gate is the front's end of it.
func (x *fixture) dial() (c *net.TCPConn, in *bufio.Reader, serverConn *pausableConn) {
	s, err := net.Dial("tcp", x.listener.Addr().String())
	require.NoError(x, err)
	x.Cleanup(func() { s.Close() })
	s.SetDeadline(time.Now().Add(5 * time.Second))
	require.Eventually(x, func() bool {
		x.listener.mu.Lock()
		defer x.listener.mu.Unlock()
		for _, accepted := range x.listener.conns {
			if accepted.RemoteAddr().String() == s.LocalAddr().String() {
				serverConn = accepted
			}
		}
		return serverConn != nil
	}, time.Second, time.Millisecond)
	return s.(*net.TCPConn), bufio.NewReader(s), serverConn
}

func requestText(id string, head ...string) string {
	body := `{"targets":[{"partition":0,"share":1}],"query":"x"}`
	return fmt.Sprintf("POST /look HTTP/1.1\r\nX-Request-Id: %s\r\nX-Deadline: 2000m\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body),
		strings.Join(head, ""), body)
}

// roundTrip plays one request whole.
func (x *fixture) roundTrip(c net.Conn, in *bufio.Reader, id string) {
	x.Helper()
	fmt.Fprint(c, requestText(id))
	x.answerNext(in, id)
}

func (x *fixture) answerNext(in *bufio.Reader, id string) {
	x.Helper()
	select {
	case q := <-x.submissions:
		require.Equal(x, id, q.ID)
		q.Finish(broker.Result{Complete: true, Values: []broker.Value{{Data: []byte("v")}}})
	case <-time.After(2 * time.Second):
		require.FailNow(x, "the request was never taken")
	}
	require.Equal(x, "HTTP/1.1 200 OK", readStatusLine(x.T, in))
}

// awaitIdle waits until so many connections are between requests: the client has its answer a moment before.
func (x *fixture) awaitIdle(n int) {
	x.Helper()
	require.Eventually(x, func() bool {
		x.front.mu.Lock()
		defer x.front.mu.Unlock()
		return x.front.idleConns.Len() == n
	}, 2*time.Second, time.Millisecond)
}

// readStatusLine reads an answer and returns its first line.
func readStatusLine(t *testing.T, in *bufio.Reader) string {
	t.Helper()
	first, length := "", 0
	for {
		line, err := in.ReadString('\n')
		require.NoError(t, err)
		line = strings.TrimSpace(line)
		if first == "" {
			first = line
		}
		fmt.Sscanf(line, "Content-Length: %d", &length)
		if line == "" {
			break
		}
	}
	_, err := io.CopyN(io.Discard, in, int64(length))
	require.NoError(t, err)
	return first
}

// A request has been read off a resting connection in the moment in which the connection is chosen to make room, its
// time is up, or the process ends. Its client cannot know that nobody looked at it: it is served.
func TestConnServesRequestReadWhileEnding(t *testing.T) {
	for name, end := range map[string]func(x *fixture){
		"to make room": func(x *fixture) { x.dial() },
		"too many rest": func(x *fixture) {
			c, in, _ := x.dial()
			x.roundTrip(c, in, "other")
		},
		"the process ends": func(x *fixture) {
			go x.front.Shutdown(x.Context(), drain.ShutdownPlan{AnswerBy: time.Second})
		},
		"a drain": func(x *fixture) {
			x.front.mu.Lock()
			x.front.drain.Start(time.Now().Add(-drain.CloseIdleDelay()))
			x.front.mu.Unlock()
			x.front.wakeAll()
		},
	} {
		t.Run(name, func(t *testing.T) {
			opt := Options{MaxConns: 1}
			if name == "too many rest" {
				opt = Options{MaxConns: 2, MaxIdleConns: 1}
			}
			x := newFixture(t, opt)
			c, in, serverConn := x.dial()
			x.roundTrip(c, in, "first")
			x.awaitIdle(1)
			close(serverConn.pauseNext)
			fmt.Fprint(c, requestText("second"))
			<-serverConn.paused
			end(x)
			x.answerNext(in, "second")
		})
	}
}

// The last answer must come whole, and then the end: not a reset by what the client has sent behind its request.
func TestLingeringCloseDeliversLastResponse(t *testing.T) {
	for name, behind := range map[string]int{"another request": 300, "a flood": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t, Options{MaxConns: 9})
			c, in, _ := x.dial()
			fmt.Fprint(c, requestText("q", "Connection: close\r\n"))
			q := <-x.submissions
			_, err := c.Write(make([]byte, behind))
			require.NoError(t, err)
			q.Finish(broker.Result{Complete: true, Values: []broker.Value{{Data: []byte("v")}}})
			time.Sleep(20 * time.Millisecond)
			_, err = fmt.Fprint(c, requestText("late")) // crosses the end
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
			require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in))
			_, err = in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.Empty(t, x.submissions, "nothing is taken behind the end")
		})
	}
}

// A client that has sent much behind its request, and goes, has gone: nobody may work for it.
func TestConnDetectsCloseBehindDiscardedBytes(t *testing.T) {
	x := newFixture(t, Options{MaxConns: 9})
	c, _, _ := x.dial()
	fmt.Fprint(c, requestText("q"))
	q := <-x.submissions
	_, err := c.Write(make([]byte, 300<<10))
	require.NoError(t, err)
	require.NoError(t, c.SetLinger(0))
	require.NoError(t, c.Close())
	select {
	case r := <-x.disconnected:
		require.Same(t, q.Request, r)
		require.True(t, r.Disconnected.Load())
	case <-time.After(time.Second):
		require.FailNow(t, "its close was not noticed")
	}
}

// One that goes on sending behind a request that is held is told off and ended, at no cost to the others.
func TestConnRejectsExcessivePipelining(t *testing.T) {
	x := newFixture(t, Options{MaxConns: 9})
	c, in, _ := x.dial()
	fmt.Fprint(c, requestText("q"))
	q := <-x.submissions
	go func() {
		for {
			if _, err := c.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}()
	require.Same(t, q.Request, <-x.disconnected)
	require.Equal(t, "HTTP/1.1 413 Content Too Large", readStatusLine(t, in))
}

// Newcomers find room among connections that rest or linger, however many come, and one that asks is answered soon.
func TestAdmitEvictsIdleAndLingeringConnections(t *testing.T) {
	x := newFixture(t, Options{MaxConns: 8})
	began := time.Now()
	for i := range 200 {
		c, in, _ := x.dial()
		if i%20 == 19 {
			fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: n1\r\n\r\n")
			require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in))
		}
	}
	require.Less(t, time.Since(began), 2*time.Second)
}

// A request that came behind another counts from when it came, not from when its turn was.
func TestReceivedAtOfPipelinedRequestPrecedesItsTurn(t *testing.T) {
	x := newFixture(t, Options{MaxConns: 8})
	c, in, _ := x.dial()
	fmt.Fprint(c, requestText("q1"), requestText("q2"))
	q := <-x.submissions
	time.Sleep(50 * time.Millisecond)
	q.Finish(broker.Result{Complete: true})
	require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in))
	q2 := <-x.submissions
	require.Less(t, q2.ReceivedAt.Sub(q.ReceivedAt), 40*time.Millisecond)
}

// A request that waits behind another counts from its own last byte, not from bytes that followed it meanwhile.
func TestReceivedAtIsTimeOfRequestsLastByte(t *testing.T) {
	x := newFixture(t, Options{MaxConns: 8})
	c, in, _ := x.dial()
	fmt.Fprint(c, requestText("q1"), requestText("q2"))
	q1 := <-x.submissions
	third := requestText("q3")
	for range 2 {
		time.Sleep(60 * time.Millisecond)
		fmt.Fprint(c, third[:len(third)/2])
		third = third[len(third)/2:]
	}
	time.Sleep(20 * time.Millisecond)
	receivedAt := []time.Time{q1.ReceivedAt}
	for q := range 2 {
		q1.Finish(broker.Result{Complete: true})
		require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in), "request %d", q)
		q1 = <-x.submissions
		receivedAt = append(receivedAt, q1.ReceivedAt)
		if q == 0 {
			fmt.Fprint(c, third)
			time.Sleep(20 * time.Millisecond)
		}
	}
	require.Less(t, receivedAt[1].Sub(receivedAt[0]), 50*time.Millisecond)
	require.Greater(t, receivedAt[2].Sub(receivedAt[0]), 120*time.Millisecond)
}

// Many small reads are remembered within a bound, and a request never counts from later than it came.
func TestReadLogIsBoundedAndNeverReturnsLaterTime(t *testing.T) {
	var l readLog
	begin := time.Now()
	const reads = 5 * maxReads
	for i := range reads {
		l.add(1, begin.Add(time.Duration(i)*time.Millisecond))
	}
	require.Len(t, l.reads, maxReads)
	for request := 1; request <= reads; request++ {
		received := begin.Add(time.Duration(request-1) * time.Millisecond)
		require.False(t, l.lastByte(reads-request).After(received), "request %d", request)
	}
}

// While clients are sent away, a request that was read behind the one in flight is served before the connection closes.
func TestShutdownServesPipelinedRequest(t *testing.T) {
	for name, second := range map[string]string{"whole": requestText("q2"), "in part": requestText("q2")[:60]} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t, Options{MaxConns: 8})
			c, in, _ := x.dial()
			fmt.Fprint(c, requestText("q1"))
			q := <-x.submissions
			fmt.Fprint(c, second)
			time.Sleep(20 * time.Millisecond)
			go x.front.Shutdown(x.Context(), drain.ShutdownPlan{AnswerBy: time.Second, CloseIdle: 500 * time.Millisecond})
			require.Eventually(t, func() bool { return x.front.stage().announceClose }, time.Second, time.Millisecond)
			q.Finish(broker.Result{Complete: true})
			require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in))
			fmt.Fprint(c, requestText("q2")[len(second):])
			x.answerNext(in, "q2")
			_, err := in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// A connection that has to make room after a part of its request was read answers it.
func TestEvictionAnswersPartialRequest(t *testing.T) {
	x := newFixture(t, Options{MaxConns: 1})
	c, in, _ := x.dial()
	x.roundTrip(c, in, "first")
	fmt.Fprint(c, requestText("second")[:60])
	require.Eventually(t, func() bool {
		x.front.mu.Lock()
		defer x.front.mu.Unlock()
		return x.front.receiving.Len() == 1
	}, time.Second, time.Millisecond)
	newcomer, newcomerIn, _ := x.dial()
	require.Equal(t, "HTTP/1.1 503 Service Unavailable", readStatusLine(t, in))
	x.roundTrip(newcomer, newcomerIn, "third")
}

// Half a request is no request: told to end, the front waits for the rest, and no longer than its time allows.
func TestShutdownAwaitsPartialRequestUntilAnswerBy(t *testing.T) {
	x := newFixture(t, Options{MaxConns: 8})
	c, in, _ := x.dial()
	stalled, stalledIn, _ := x.dial()
	text := requestText("q")
	fmt.Fprint(c, text[:40])
	fmt.Fprint(stalled, text[:40])
	time.Sleep(20 * time.Millisecond)
	ended := make(chan time.Time, 1)
	began := time.Now()
	go func() {
		x.front.Shutdown(x.Context(), drain.ShutdownPlan{AnswerBy: 300 * time.Millisecond, CloseIdle: 50 * time.Millisecond})
		ended <- time.Now()
	}()
	time.Sleep(100 * time.Millisecond)
	fmt.Fprint(c, text[40:])
	x.answerNext(in, "q")
	require.Equal(t, "HTTP/1.1 408 Request Timeout", readStatusLine(t, stalledIn))
	c.Close()
	stalled.Close()
	require.Less(t, (<-ended).Sub(began), time.Second)
}

// Where all connections hold requests, one more is told when to come back, not reset over what it has sent.
func TestConnectionOverCapacityGets503WithRetryAfter(t *testing.T) {
	x := newFixture(t, Options{MaxConns: 1})
	c, in, _ := x.dial()
	fmt.Fprint(c, requestText("q"))
	q := <-x.submissions
	for range 10 { // each gives its place back
		s, err := net.Dial("tcp", x.listener.Addr().String())
		require.NoError(t, err)
		defer s.Close()
		s.SetDeadline(time.Now().Add(2 * time.Second))
		fmt.Fprint(s, requestText("more"))
		time.Sleep(5 * time.Millisecond)
		in := bufio.NewReader(s)
		head, err := in.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 503 Service Unavailable\r\n", head)
		all, err := io.ReadAll(in)
		require.NoError(t, err)
		require.Contains(t, string(all), "Retry-After: 0.5\r\n")
		s.Close()
	}
	q.Finish(broker.Result{Complete: true})
	require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in))
	require.Empty(t, x.submissions)
}
