package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/drain"
)

// A request that was read from an idle connection just as the connection is evicted, or must end by a shutdown or drain, is
// served: its client cannot know that it was not processed.
func TestConnServesRequestReadWhileEnding(t *testing.T) {
	for name, end := range map[string]func(x *fixture){
		"eviction for a slot": func(x *fixture) { x.dial() },
		"too many idle connections": func(x *fixture) {
			c, in, _ := x.dial()
			x.roundTrip(c, in, "other")
		},
		"shutdown": func(x *fixture) {
			go x.front.Shutdown(x.Context(), drain.ShutdownPlan{AnswerBy: time.Second})
		},
		"drain": func(x *fixture) {
			x.front.mu.Lock()
			x.front.drain.Start(time.Now().Add(-drain.CloseIdleDelay()))
			x.front.mu.Unlock()
			x.front.wakeAll()
		},
	} {
		t.Run(name, func(t *testing.T) {
			opt := Options{MaxConns: 1}
			if name == "too many idle connections" {
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

// Pipelined bytes behind the last request must not reset the connection before the client has read the response and EOF.
func TestLingeringCloseDeliversLastResponse(t *testing.T) {
	for name, behind := range map[string]int{"300 bytes": 300, "200 KiB": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t, Options{MaxConns: 9})
			c, in, _ := x.dial()
			fmt.Fprint(c, requestText("q", "Connection: close\r\n"))
			q := <-x.submissions
			_, err := c.Write(make([]byte, behind))
			require.NoError(t, err)
			q.Finish(broker.Result{Complete: true, Values: []broker.Value{{Data: []byte("v")}}})
			time.Sleep(20 * time.Millisecond)
			_, err = fmt.Fprint(c, requestText("late")) // arrives after the close
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
			require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in))
			_, err = in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.Empty(t, x.submissions, "a request behind the close was submitted")
		})
	}
}

// A client's close is detected, and its query disconnected, also behind pipelined bytes that are discarded.
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
		require.FailNow(t, "the close was not detected within 1 s")
	}
}

// A client that pipelines more than maxPipelinedBytes behind a request in flight gets 413, and its query is disconnected.
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

// New connections get the slots of idle and lingering ones without delay, and their requests are served.
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

// During a shutdown, a request read behind the one in flight, completely or in part, is served before the connection closes.
func TestShutdownServesPipelinedRequest(t *testing.T) {
	for name, second := range map[string]string{"complete": requestText("q2"), "in part": requestText("q2")[:60]} {
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

// A connection that is evicted after a part of a request was read gets 503.
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

// A shutdown waits for the rest of a request received in part until AnswerBy, and then answers 408.
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

// While requests in flight hold all slots, a further connection gets 503 with Retry-After, and no reset loses the response.
func TestConnectionOverCapacityGets503WithRetryAfter(t *testing.T) {
	x := newFixture(t, Options{MaxConns: 1})
	c, in, _ := x.dial()
	fmt.Fprint(c, requestText("q"))
	q := <-x.submissions
	for range 10 { // more than maxRejecting: each frees its slot
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
