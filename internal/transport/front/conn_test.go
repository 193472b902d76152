package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/drain"
	"mothrouter/internal/transport/fairqueue"
)

// A request that is read from an idle connection just as the connection is evicted, or ended by a shutdown or drain, is served:
// its client could not know that it was not processed.
func TestConnServesRequestReadWhileEnding(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"eviction for a slot": func(f *fixture) { f.dial() },
		"too many idle connections": func(f *fixture) {
			client, in, _ := f.dial()
			f.roundTrip(client, in, "other")
		},
		"shutdown": func(f *fixture) {
			go f.front.Shutdown(f.Context(), time.Now(), drain.ShutdownPlan{AnswerBy: time.Second})
		},
		"drain": func(f *fixture) {
			f.front.mu.Lock()
			f.front.drain.Start(time.Now().Add(-drain.CloseIdleDelay()))
			f.front.mu.Unlock()
			f.front.wakeAll()
		},
	} {
		t.Run(name, func(t *testing.T) {
			opt := Options{MaxConns: 1}
			if name == "too many idle connections" {
				opt = Options{MaxConns: 2, MaxIdleConns: 1}
			}
			f := newFixture(t, opt)
			client, in, serverConn := f.dial()
			f.roundTrip(client, in, "first")
			f.awaitIdle(1)
			close(serverConn.pauseNext)
			fmt.Fprint(client, requestText("second"))
			<-serverConn.paused
			end(f)
			f.answerNext(in, "second")
		})
	}
}

// Pipelined bytes after the last request must not reset the connection before the client has read the response and EOF.
func TestLingeringCloseDeliversLastResponse(t *testing.T) {
	for name, pipelined := range map[string]int{"300 bytes": 300, "200 KiB": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, Options{MaxConns: 9})
			client, in, _ := f.dial()
			fmt.Fprint(client, requestText("q", "Connection: close\r\n"))
			q := <-f.submissions
			_, err := client.Write(make([]byte, pipelined))
			require.NoError(t, err)
			q.Finish(broker.Result{Complete: true, Values: []broker.Value{{Data: []byte("v")}}})
			time.Sleep(20 * time.Millisecond)
			_, err = fmt.Fprint(client, requestText("late")) // arrives after the close
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
			require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in))
			_, err = in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.Empty(t, f.submissions, "a request after Connection: close was submitted")
		})
	}
}

// A client's close is detected, and its query disconnected, even after pipelined bytes that are discarded.
func TestConnDetectsCloseAfterDiscardedBytes(t *testing.T) {
	f := newFixture(t, Options{MaxConns: 9})
	client, _, _ := f.dial()
	fmt.Fprint(client, requestText("q"))
	q := <-f.submissions
	_, err := client.Write(make([]byte, 300<<10))
	require.NoError(t, err)
	require.NoError(t, client.SetLinger(0))
	require.NoError(t, client.Close())
	select {
	case r := <-f.disconnectedRequests:
		require.Same(t, q.Request, r)
		require.Equal(t, broker.ClientDisconnected, r.Conn.State())
	case <-time.After(time.Second):
		require.FailNow(t, "the close was not detected within 1 s")
	}
}

// A client that pipelines more than maxPipelinedBytes during a request gets 413, and its query is disconnected.
func TestConnRejectsExcessivePipelining(t *testing.T) {
	f := newFixture(t, Options{MaxConns: 9})
	client, in, _ := f.dial()
	fmt.Fprint(client, requestText("q"))
	q := <-f.submissions
	go func() {
		for {
			if _, err := client.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}()
	require.Same(t, q.Request, <-f.disconnectedRequests)
	require.Equal(t, "HTTP/1.1 413 Content Too Large", readStatusLine(t, in))
}

// New connections get the slots of idle and lingering ones without waiting for their timeouts, and their requests are served.
func TestAdmitEvictsIdleAndLingeringConnections(t *testing.T) {
	f := newFixture(t, Options{MaxConns: 8})
	startedAt := time.Now()
	for i := range 200 {
		client, in, _ := f.dial()
		if i%20 == 19 {
			fmt.Fprint(client, "GET /up HTTP/1.1\r\nHost: n1\r\n\r\n")
			require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in))
		}
	}
	require.Less(t, time.Since(startedAt), 2*time.Second)
}

// During a shutdown, a request that follows the one in flight, read completely or in part, is served before the connection
// closes.
func TestShutdownServesPipelinedRequest(t *testing.T) {
	for name, second := range map[string]string{"complete": requestText("q2"), "in part": requestText("q2")[:60]} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, Options{MaxConns: 8})
			client, in, _ := f.dial()
			fmt.Fprint(client, requestText("q1"))
			q := <-f.submissions
			fmt.Fprint(client, second)
			time.Sleep(20 * time.Millisecond)
			go f.front.Shutdown(f.Context(), time.Now(), drain.ShutdownPlan{AnswerBy: time.Second, CloseIdle: 500 * time.Millisecond})
			require.Eventually(t, func() bool { return f.front.stage().announceClose }, time.Second, time.Millisecond)
			q.Finish(broker.Result{Complete: true})
			require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in))
			fmt.Fprint(client, requestText("q2")[len(second):])
			f.answerNext(in, "q2")
			_, err := in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// A connection that is evicted after a part of a request was read gets 503.
func TestEvictionAnswersPartialRequest(t *testing.T) {
	f := newFixture(t, Options{MaxConns: 1})
	client, in, _ := f.dial()
	f.roundTrip(client, in, "first")
	fmt.Fprint(client, requestText("second")[:60])
	f.awaitReceiving(1)
	next, nextIn, _ := f.dial()
	require.Equal(t, "HTTP/1.1 503 Service Unavailable", readStatusLine(t, in))
	f.roundTrip(next, nextIn, "third")
}

// A shutdown waits until AnswerBy for the rest of a request that was received in part, and then answers 408.
func TestShutdownAwaitsPartialRequestUntilAnswerBy(t *testing.T) {
	f := newFixture(t, Options{MaxConns: 8})
	client, in, _ := f.dial()
	stalled, stalledIn, _ := f.dial()
	text := requestText("q")
	fmt.Fprint(client, text[:40])
	fmt.Fprint(stalled, text[:40])
	time.Sleep(20 * time.Millisecond)
	endTime := make(chan time.Time, 1)
	startedAt := time.Now()
	go func() {
		f.front.Shutdown(f.Context(), time.Now(), drain.ShutdownPlan{AnswerBy: 300 * time.Millisecond, CloseIdle: 50 * time.Millisecond})
		endTime <- time.Now()
	}()
	time.Sleep(100 * time.Millisecond)
	fmt.Fprint(client, text[40:])
	f.answerNext(in, "q")
	require.Equal(t, "HTTP/1.1 408 Request Timeout", readStatusLine(t, stalledIn))
	client.Close()
	stalled.Close()
	require.Less(t, (<-endTime).Sub(startedAt), time.Second)
}

// TestShutdownServesRequestsReadBeforeItsLastStage guards against requests that were read behind another one and are dropped as the
// last stage of a shutdown begins before that one is answered.
func TestShutdownServesRequestsReadBeforeItsLastStage(t *testing.T) {
	for name, rest := range map[string]string{"complete": "", "and one in part": requestText("q4")[:60]} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, Options{MaxConns: 8})
			client, in, _ := f.dial()
			fmt.Fprint(client, requestText("q1")+requestText("q2")+requestText("q3")+rest)
			q := <-f.submissions
			time.Sleep(20 * time.Millisecond)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				f.front.Shutdown(f.Context(), time.Now(), drain.ShutdownPlan{AnswerBy: 50 * time.Millisecond, ExitBy: time.Second})
			}()
			require.Eventually(t, func() bool { return f.front.stage().closeAll }, time.Second, time.Millisecond)
			q.Finish(broker.Result{Outcome: broker.Rejected})
			require.Equal(t, "HTTP/1.1 503 Service Unavailable", readStatusLine(t, in))
			f.answerNext(in, "q2")
			f.answerNext(in, "q3")
			if rest != "" {
				require.Equal(t, "HTTP/1.1 408 Request Timeout", readStatusLine(t, in))
			}
			_, err := in.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			client.Close()
			<-ended
		})
	}
}

// A client that always has requests under way cannot delay the end of a shutdown: in its last stage nothing more is read.
func TestShutdownEndsWhileClientKeepsSending(t *testing.T) {
	f := newFixture(t, Options{MaxConns: 8})
	client, in, _ := f.dial()
	const sentBefore = 20 // requests sent before the last stage
	fmt.Fprint(client, strings.Repeat(requestText("q"), sentBefore))
	go func() { // sends another request for each response
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasPrefix(line, "HTTP/1.1 ") {
				fmt.Fprint(client, requestText("q"))
			}
		}
	}()
	q := <-f.submissions
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.front.Shutdown(f.Context(), time.Now(), drain.ShutdownPlan{AnswerBy: 50 * time.Millisecond, ExitBy: 100 * time.Millisecond})
	}()
	require.Eventually(t, func() bool { return f.front.stage().exit }, time.Second, time.Millisecond)
	timeout := time.After(2 * time.Second)
	for served := 1; ; served++ {
		require.LessOrEqual(t, served, sentBefore)
		q.Finish(broker.Result{Outcome: broker.Rejected})
		select {
		case q = <-f.submissions:
		case <-ended:
			return
		case <-timeout:
			require.FailNow(t, "the shutdown did not end within 2 s")
		}
	}
}

// A shutdown waits for an answer that is given after ExitBy, as after a hold-up, but not for clients that have their answers and
// do not close: they get exitLinger, also if they began to linger before ExitBy.
func TestShutdownAwaitsLateAnswerButNotLingeringClients(t *testing.T) {
	f := newFixture(t, Options{MaxConns: 8})
	late, lateIn, _ := f.dial()
	fmt.Fprint(late, requestText("late"))
	q := <-f.submissions
	lingering, lingeringIn, _ := f.dial()
	f.roundTrip(lingering, lingeringIn, "first")
	fmt.Fprint(lingering, requestText("second")[:60])
	f.awaitReceiving(1)
	ended := make(chan time.Time, 1)
	go func() {
		f.front.Shutdown(f.Context(), time.Now(), drain.ShutdownPlan{AnswerBy: 250 * time.Millisecond, ExitBy: 300 * time.Millisecond})
		ended <- time.Now()
	}()
	require.Equal(t, "HTTP/1.1 408 Request Timeout", readStatusLine(t, lingeringIn)) // at AnswerBy
	select {
	case <-ended:
		require.FailNow(t, "the shutdown ended without the answer")
	case <-time.After(350 * time.Millisecond): // less than lingerTimeout
	}
	require.Equal(t, 1, f.front.connCount(), "a client delays the end that has its answer and does not close")
	answeredAt := time.Now()
	q.Finish(broker.Result{Complete: true})
	require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, lateIn))
	require.Less(t, (<-ended).Sub(answeredAt), lingerTimeout)
}

// While requests in flight hold all slots, another connection gets 503 with Retry-After, and no reset loses the response.
func TestConnectionOverCapacityGets503WithRetryAfter(t *testing.T) {
	f := newFixture(t, Options{MaxConns: 1})
	client, in, _ := f.dial()
	fmt.Fprint(client, requestText("q"))
	q := <-f.submissions
	for range 10 { // more than maxRejecting, so each must free its slot
		s, err := net.Dial("tcp", f.listener.Addr().String())
		require.NoError(t, err)
		defer s.Close()
		s.SetDeadline(time.Now().Add(2 * time.Second))
		fmt.Fprint(s, requestText("more"))
		time.Sleep(5 * time.Millisecond)
		in := bufio.NewReader(s)
		head, err := in.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 503 Service Unavailable\r\n", head)
		rest, err := io.ReadAll(in) // header and body
		require.NoError(t, err)
		require.Contains(t, string(rest), "Retry-After: 0.5\r\n")
		s.Close()
	}
	q.Finish(broker.Result{Complete: true})
	require.Equal(t, "HTTP/1.1 200 OK", readStatusLine(t, in))
	require.Empty(t, f.submissions)
}

// Guards against later attempts for a client that has closed its connection behind bytes whose turn to be read has not come.
func TestConnKnowsOfCloseBehindUnreadBytes(t *testing.T) {
	scheduler := fairqueue.NewScheduler(1)
	f := newFixture(t, Options{MaxConns: 9, Scheduler: scheduler})
	client, _, _ := f.dial()
	fmt.Fprint(client, requestText("q"))
	q := <-f.submissions
	require.Equal(t, broker.ClientConnected, q.Conn.State())
	other := scheduler.NewFlow()
	other.Wait() // no other connection has a turn from now on
	_, err := client.Write(make([]byte, 100<<10))
	require.NoError(t, err)
	require.NoError(t, client.Close())
	closedAt := time.Now()
	require.Eventually(t, func() bool { return q.Conn.State() != broker.ClientConnected }, time.Second, time.Millisecond)
	require.Less(t, time.Since(closedAt), 100*time.Millisecond)
	require.Empty(t, f.disconnectedRequests, "the close has been read: the test needs more bytes before it")
	other.Close()
	require.Same(t, q.Request, <-f.disconnectedRequests)
}

// Guards against attempts that wait although the socket was read empty when the query was submitted: hundreds of clients that send
// much behind a request held the slots of others for seconds.
func TestConnIsConfirmedBySubmission(t *testing.T) {
	scheduler := fairqueue.NewScheduler(1)
	f := newFixture(t, Options{MaxConns: 9, Scheduler: scheduler})
	client, _, _ := f.dial()
	fmt.Fprint(client, requestText("q"))
	submittedAt := time.Now()
	q := <-f.submissions
	other := scheduler.NewFlow()
	other.Wait() // what comes now is not read
	defer other.Close()
	go func() { _, _ = client.Write(make([]byte, 1<<20)) }() // it ends with the connection
	time.Sleep(10 * time.Millisecond)
	state := q.Conn.State()
	if time.Since(submittedAt) < broker.MaxUnconfirmed {
		require.Equal(t, broker.ClientConnected, state)
	}
	require.Eventually(t, func() bool { return q.Conn.State() == broker.ClientUnconfirmed }, time.Second, time.Millisecond)
}
