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

// held is a core that hands the test what it is given.
type held struct {
	taken chan taken
	left  chan *broker.Request
}

type taken struct {
	*broker.Request
	broker.Client
}

func (h held) Submit(r *broker.Request, c broker.Client) { h.taken <- taken{r, c} }
func (h held) Disconnect(r *broker.Request)              { h.left <- r }
func (h held) Ready() bool                               { return true }

// gated is a listener whose connections, once told to, keep what they have read from the loopback socket until somebody
// wants the read to end: so the front looks at a connection in just the moment in which a request was read.
type gated struct {
	*net.TCPListener
	mu    sync.Mutex
	conns []*gate
}

type gate struct {
	*net.TCPConn
	shut chan struct{} // closed: reads are kept from now on
	read chan struct{} // closed: one is kept
	open chan struct{} // closed: it goes on
	once sync.Once
}

func (g *gated) Accept() (net.Conn, error) {
	c, err := g.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	gate := &gate{TCPConn: c.(*net.TCPConn), shut: make(chan struct{}), read: make(chan struct{}), open: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns = append(g.conns, gate)
	return gate, nil
}

func (g *gate) Read(p []byte) (int, error) {
	n, err := g.TCPConn.Read(p)
	select {
	case <-g.shut:
		if n > 0 {
			close(g.read)
			g.shut = nil
			<-g.open
		}
	default:
	}
	return n, err
}

func (g *gate) SetReadDeadline(t time.Time) error {
	g.once.Do(func() { close(g.open) })
	return g.TCPConn.SetReadDeadline(t)
}

func (g *gate) Close() error {
	g.once.Do(func() { close(g.open) })
	return g.TCPConn.Close()
}

type fixture struct {
	*testing.T
	held
	f *Front
	l *gated
}

func start(t *testing.T, opt Options) *fixture {
	opt.Classes, opt.MaxBufferedBytes, opt.RetryAfter = map[string]int{"look": 0}, 1<<20, 0.5
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	x := &fixture{T: t, held: held{make(chan taken, 9), make(chan *broker.Request, 9)}, l: &gated{TCPListener: l.(*net.TCPListener)}}
	x.f = New(opt, x.held, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go x.f.Serve(x.l)
	t.Cleanup(func() { l.Close() })
	return x
}

// dial opens a client's connection; gate is the front's end of it.
func (x *fixture) dial() (c *net.TCPConn, in *bufio.Reader, end *gate) {
	s, err := net.Dial("tcp", x.l.Addr().String())
	require.NoError(x, err)
	x.Cleanup(func() { s.Close() })
	s.SetDeadline(time.Now().Add(5 * time.Second))
	require.Eventually(x, func() bool {
		x.l.mu.Lock()
		defer x.l.mu.Unlock()
		for _, g := range x.l.conns {
			if g.RemoteAddr().String() == s.LocalAddr().String() {
				end = g
			}
		}
		return end != nil
	}, time.Second, time.Millisecond)
	return s.(*net.TCPConn), bufio.NewReader(s), end
}

func ask(id string, head ...string) string {
	body := `{"targets":[{"partition":0,"share":1}],"query":"x"}`
	return fmt.Sprintf("POST /look HTTP/1.1\r\nX-Request-Id: %s\r\nX-Deadline: 2000m\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body),
		strings.Join(head, ""), body)
}

// answered plays one request whole.
func (x *fixture) answered(c net.Conn, in *bufio.Reader, id string) {
	x.Helper()
	fmt.Fprint(c, ask(id))
	x.finish(in, id)
}

func (x *fixture) finish(in *bufio.Reader, id string) {
	x.Helper()
	select {
	case q := <-x.taken:
		require.Equal(x, id, q.ID)
		q.Finish(broker.Result{Complete: true, Values: []broker.Value{{Data: []byte("v")}}})
	case <-time.After(2 * time.Second):
		require.FailNow(x, "the request was never taken")
	}
	require.Equal(x, "HTTP/1.1 200 OK", answer(x.T, in))
}

// rests waits until so many connections are between requests: the client has its answer a moment before.
func (x *fixture) rests(n int) {
	x.Helper()
	require.Eventually(x, func() bool {
		x.f.mu.Lock()
		defer x.f.mu.Unlock()
		return x.f.idleConns.Len() == n
	}, 2*time.Second, time.Millisecond)
}

// answer reads an answer and returns its first line.
func answer(t *testing.T, in *bufio.Reader) string {
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
func TestRequestReadAsItsConnectionEndsIsServed(t *testing.T) {
	for name, end := range map[string]func(x *fixture){
		"to make room": func(x *fixture) { x.dial() },
		"too many rest": func(x *fixture) {
			c, in, _ := x.dial()
			x.answered(c, in, "other")
		},
		"the process ends": func(x *fixture) {
			go x.f.Shutdown(x.Context(), drain.ShutdownPlan{AnswerBy: time.Second})
		},
		"a drain": func(x *fixture) {
			x.f.mu.Lock()
			x.f.drain.Start(time.Now().Add(-drain.CloseIdleDelay()))
			x.f.mu.Unlock()
			x.f.wakeAll()
		},
	} {
		t.Run(name, func(t *testing.T) {
			opt := Options{MaxConns: 1}
			if name == "too many rest" {
				opt = Options{MaxConns: 2, MaxIdleConns: 1}
			}
			x := start(t, opt)
			c, in, gate := x.dial()
			x.answered(c, in, "first")
			x.rests(1)
			close(gate.shut)
			fmt.Fprint(c, ask("second"))
			<-gate.read
			end(x)
			x.finish(in, "second")
		})
	}
}

// The last answer must come whole, and then the end: not a reset by what the client has sent behind its request.
func TestAnswerIsNotLostToBytesBehindItsRequest(t *testing.T) {
	for name, behind := range map[string]int{"another request": 300, "a flood": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			x := start(t, Options{MaxConns: 9})
			c, in, _ := x.dial()
			fmt.Fprint(c, ask("q", "Connection: close\r\n"))
			q := <-x.taken
			_, err := c.Write(make([]byte, behind))
			require.NoError(t, err)
			q.Finish(broker.Result{Complete: true, Values: []broker.Value{{Data: []byte("v")}}})
			time.Sleep(20 * time.Millisecond)
			_, err = fmt.Fprint(c, ask("late")) // crosses the end
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
			require.Equal(t, "HTTP/1.1 200 OK", answer(t, in))
			_, err = in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.Empty(t, x.taken, "nothing is taken behind the end")
		})
	}
}

// A client that has sent much behind its request, and goes, has gone: nobody may work for it.
func TestCloseBehindDiscardedBytesIsNoticed(t *testing.T) {
	x := start(t, Options{MaxConns: 9})
	c, _, _ := x.dial()
	fmt.Fprint(c, ask("q"))
	q := <-x.taken
	_, err := c.Write(make([]byte, 300<<10))
	require.NoError(t, err)
	require.NoError(t, c.SetLinger(0))
	require.NoError(t, c.Close())
	select {
	case r := <-x.left:
		require.Same(t, q.Request, r)
		require.True(t, r.Disconnected.Load())
	case <-time.After(time.Second):
		require.FailNow(t, "its close was not noticed")
	}
}

// One that goes on sending behind a request that is held is told off and ended, at no cost to the others.
func TestEndlessPipelineIsRejected(t *testing.T) {
	x := start(t, Options{MaxConns: 9})
	c, in, _ := x.dial()
	fmt.Fprint(c, ask("q"))
	q := <-x.taken
	go func() {
		for {
			if _, err := c.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}()
	require.Same(t, q.Request, <-x.left)
	require.Equal(t, "HTTP/1.1 413 Content Too Large", answer(t, in))
}

// Newcomers find room among connections that rest or linger, however many come, and one that asks is answered soon.
func TestManyConnectionsDoNotDelayRequests(t *testing.T) {
	x := start(t, Options{MaxConns: 8})
	began := time.Now()
	for i := range 200 {
		c, in, _ := x.dial()
		if i%20 == 19 {
			fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: n1\r\n\r\n")
			require.Equal(t, "HTTP/1.1 200 OK", answer(t, in))
		}
	}
	require.Less(t, time.Since(began), 2*time.Second)
}

// A request that came behind another counts from when it came, not from when its turn was.
func TestRequestCountsFromItsLastByte(t *testing.T) {
	x := start(t, Options{MaxConns: 8})
	c, in, _ := x.dial()
	fmt.Fprint(c, ask("q1"), ask("q2"))
	q := <-x.taken
	time.Sleep(50 * time.Millisecond)
	q.Finish(broker.Result{Complete: true})
	require.Equal(t, "HTTP/1.1 200 OK", answer(t, in))
	q2 := <-x.taken
	require.Less(t, q2.ReceivedAt.Sub(q.ReceivedAt), 40*time.Millisecond)
}

// A request that waits behind another counts from its own last byte, not from bytes that followed it meanwhile.
func TestArrivalIsTheRequestsOwnLastByte(t *testing.T) {
	x := start(t, Options{MaxConns: 8})
	c, in, _ := x.dial()
	fmt.Fprint(c, ask("q1"), ask("q2"))
	q1 := <-x.taken
	third := ask("q3")
	for range 2 {
		time.Sleep(60 * time.Millisecond)
		fmt.Fprint(c, third[:len(third)/2])
		third = third[len(third)/2:]
	}
	time.Sleep(20 * time.Millisecond)
	arrived := []time.Time{q1.ReceivedAt}
	for q := range 2 {
		q1.Finish(broker.Result{Complete: true})
		require.Equal(t, "HTTP/1.1 200 OK", answer(t, in), "request %d", q)
		q1 = <-x.taken
		arrived = append(arrived, q1.ReceivedAt)
		if q == 0 {
			fmt.Fprint(c, third)
			time.Sleep(20 * time.Millisecond)
		}
	}
	require.Less(t, arrived[1].Sub(arrived[0]), 50*time.Millisecond)
	require.Greater(t, arrived[2].Sub(arrived[0]), 120*time.Millisecond)
}

// Many small reads are remembered within a bound, and a request never counts from later than it came.
func TestReadLogIsBoundedAndNeverLate(t *testing.T) {
	var l readLog
	begin := time.Now()
	const reads = 5 * maxReads
	for i := range reads {
		l.add(1, begin.Add(time.Duration(i)*time.Millisecond))
	}
	require.Len(t, l.reads, maxReads)
	for request := 1; request <= reads; request++ {
		came := begin.Add(time.Duration(request-1) * time.Millisecond)
		require.False(t, l.lastByte(reads-request).After(came), "request %d", request)
	}
}

// While clients are sent away, a request that was read behind the one in flight is served before the connection closes.
func TestClosingServesRequestsThatWereRead(t *testing.T) {
	for name, second := range map[string]string{"whole": ask("q2"), "in part": ask("q2")[:60]} {
		t.Run(name, func(t *testing.T) {
			x := start(t, Options{MaxConns: 8})
			c, in, _ := x.dial()
			fmt.Fprint(c, ask("q1"))
			q := <-x.taken
			fmt.Fprint(c, second)
			time.Sleep(20 * time.Millisecond)
			go x.f.Shutdown(x.Context(), drain.ShutdownPlan{AnswerBy: time.Second, CloseIdle: 500 * time.Millisecond})
			require.Eventually(t, func() bool { return x.f.stage().announceClose }, time.Second, time.Millisecond)
			q.Finish(broker.Result{Complete: true})
			require.Equal(t, "HTTP/1.1 200 OK", answer(t, in))
			fmt.Fprint(c, ask("q2")[len(second):])
			x.finish(in, "q2")
			_, err := in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// A connection that has to make room after a part of its request was read answers it.
func TestEvictedRequestReadInPartIsAnswered(t *testing.T) {
	x := start(t, Options{MaxConns: 1})
	c, in, _ := x.dial()
	x.answered(c, in, "first")
	fmt.Fprint(c, ask("second")[:60])
	require.Eventually(t, func() bool {
		x.f.mu.Lock()
		defer x.f.mu.Unlock()
		return x.f.receiving.Len() == 1
	}, time.Second, time.Millisecond)
	newcomer, newcomerIn, _ := x.dial()
	require.Equal(t, "HTTP/1.1 503 Service Unavailable", answer(t, in))
	x.answered(newcomer, newcomerIn, "third")
}

// Half a request is no request: told to end, the front waits for the rest, and no longer than its time allows.
func TestPartialRequestAtShutdown(t *testing.T) {
	x := start(t, Options{MaxConns: 8})
	c, in, _ := x.dial()
	silent, silentIn, _ := x.dial()
	text := ask("q")
	fmt.Fprint(c, text[:40])
	fmt.Fprint(silent, text[:40])
	time.Sleep(20 * time.Millisecond)
	ended := make(chan time.Time, 1)
	began := time.Now()
	go func() {
		x.f.Shutdown(x.Context(), drain.ShutdownPlan{AnswerBy: 300 * time.Millisecond, CloseIdle: 50 * time.Millisecond})
		ended <- time.Now()
	}()
	time.Sleep(100 * time.Millisecond)
	fmt.Fprint(c, text[40:])
	x.finish(in, "q")
	require.Equal(t, "HTTP/1.1 408 Request Timeout", answer(t, silentIn))
	c.Close()
	silent.Close()
	require.Less(t, (<-ended).Sub(began), time.Second)
}

// Where all connections hold requests, one more is told when to come back, not reset over what it has sent.
func TestOverCapacityConnectionIsAnswered(t *testing.T) {
	x := start(t, Options{MaxConns: 1})
	c, in, _ := x.dial()
	fmt.Fprint(c, ask("q"))
	q := <-x.taken
	for range 10 { // each gives its place back
		s, err := net.Dial("tcp", x.l.Addr().String())
		require.NoError(t, err)
		defer s.Close()
		s.SetDeadline(time.Now().Add(2 * time.Second))
		fmt.Fprint(s, ask("more"))
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
	require.Equal(t, "HTTP/1.1 200 OK", answer(t, in))
	require.Empty(t, x.taken)
}
