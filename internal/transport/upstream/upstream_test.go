package upstream_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/upstream"
)

// An attempt never uses a connection on which an answer to an earlier attempt of the same part may still arrive.
func TestAttemptAvoidsConnectionOfCancelledAttempt(t *testing.T) {
	f := newFixture(t, defaultOptions)
	id, first := f.sendOnNewConn("q")
	f.act(decision.Cancel{ID: id})
	first.expectFrame('C', "q.0")
	require.Equal(t, decision.Cancelled, (<-f.finishedAttempts).Status)
	f.act(send(id))
	second := f.accept()
	second.expectFrame('S', "q.0 0 d=")
	first.sendFrame('R', "q.0 done 1 -\nold") // late answer, which must not finish the second attempt
	other := f.submit("other")
	f.act(send(other))
	first.expectFrame('S', "other.0") // other parts may still use the first connection
	first.sendFrame('R', "other.0 failed 1 inflight=3\n")
	e := <-f.finishedAttempts
	require.Equal(t, []any{other, decision.Error, 3.0}, []any{e.ID, e.Status, e.LoadReport.InFlight})
	second.sendFrame('R', "q.0 done 1 -\nnew")
	e = <-f.finishedAttempts
	require.Equal(t, []any{id, 1, decision.OK}, []any{e.ID, e.Attempt, e.Status})
}

// Calls share a connection up to MaxStreams. A connection that ends resets its calls; a refused connect is Unreachable.
func TestConnectionCarriesUpToMaxStreams(t *testing.T) {
	f := newFixture(t, defaultOptions)
	_, first := f.sendOnNewConn("a")
	f.act(send(f.submit("b")))
	first.expectFrame('S', "b.0")
	_, second := f.sendOnNewConn("c")
	require.NoError(t, second.Close())
	require.Equal(t, decision.Reset, (<-f.finishedAttempts).Status) // its frame was written completely
	first.sendFrame('F', "no such frame")
	require.Equal(t, decision.Reset, (<-f.finishedAttempts).Status)
	require.Equal(t, decision.Reset, (<-f.finishedAttempts).Status)
	require.NoError(t, f.listener.Close())
	f.act(send(f.submit("d")))
	require.Equal(t, decision.Unreachable, (<-f.finishedAttempts).Status)
}

// A partitioned server leaves connections open and silent. A connection that is silent when a call on it is cancelled gets no
// further call: opening a new connection fails instead, which proves that the next call did not run.
func TestCancelRetiresSilentConnection(t *testing.T) {
	f := newFixture(t, defaultOptions)
	id, _ := f.sendOnNewConn("q")
	time.Sleep(upstream.MaxSilence + 50*time.Millisecond)
	f.act(decision.Cancel{ID: id})
	<-f.finishedAttempts
	f.sendOnNewConn("next")
}

// A call uses the connection on which a health check was answered.
func TestHealthCheckKeepsConnectionUsable(t *testing.T) {
	f := newFixture(t, defaultOptions)
	f.act(decision.CheckHealth{Server: "s0"})
	conn := f.accept()
	conn.expectFrame('H', "")
	conn.sendFrame('H', "done")
	f.act(send(f.submit("q"))) // on the same connection
	conn.expectFrame('S', "q.0")
}

// A connection on which an answer is outstanding for eight times the mean latency gets no further call until it receives
// something.
func TestCallsAvoidSilentConnection(t *testing.T) {
	f := newFixture(t, upstream.Options{MaxStreams: 9, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	submittedAt := time.Now()
	_, first := f.sendOnNewConn("a")
	time.Sleep(20 * time.Millisecond) // an answer read before the write is recorded has no latency
	first.sendFrame('R', "a.0 done 1 -\nv")
	<-f.finishedAttempts
	elapsed := time.Since(submittedAt) // at least the latency that the link measured
	f.act(send(f.submit("lost")))
	first.expectFrame('S', "lost.0")
	time.Sleep(100*time.Millisecond + 8*elapsed)
	f.sendOnNewConn("next")
	first.sendFrame('R', "lost.0 done 1 -\nv") // the connection may be used again
	require.Equal(t, decision.OK, (<-f.finishedAttempts).Status)
	f.act(send(f.submit("more")))
	first.expectFrame('S', "more.0")
}

// A protocol error ends the connection: all calls in flight on it fail at once with Error, since they may have run and the
// server is reachable. An answer before the invalid bytes is valid.
func TestProtocolErrorsFailAttempts(t *testing.T) {
	const good = "\x00\x00\x00\x0fRa.0 done 1 -\nv"
	for name, malformed := range map[string]string{
		"unknown message type":     "\x00\x00\x00\x0f\x01b.0 done 1 -\nv",
		"unknown id":               "\x00\x00\x00\x0fRx.0 done 1 -\nv",
		"invalid length":           "\xff\xff\xff\xfcRb.0 done 1 -\nv",
		"invalid status":           "\x00\x00\x00\x0cRb.0 ? 1 -\nv",
		"value not UTF-8":          "\x00\x00\x00\x0fRb.0 done 1 -\n\xff",
		"unexpected health answer": "\x00\x00\x00\x05Hdone",
		"truncated frame":          "\x00\x00\x00\x40Rb.0 done 1 -\nv",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, defaultOptions)
			a, b := f.submit("a"), f.submit("b")
			f.act(send(a), send(b))
			conn := f.accept()
			conn.expectFrame('S', "a.0")
			conn.expectFrame('S', "b.0")
			_, err := conn.Write([]byte(good + malformed))
			require.NoError(t, err)
			e := <-f.finishedAttempts
			require.Equal(t, []any{a, decision.OK}, []any{e.ID, e.Status})
			e = <-f.finishedAttempts
			require.Equal(t, []any{b, decision.Error}, []any{e.ID, e.Status})
			f.sendOnNewConn("next")
		})
	}
}

// Bytes after the last answer, a duplicate or a partial frame, are not parsed as the answer to the next attempt of the part.
func TestBytesAfterLastAnswerDoNotReachNextCall(t *testing.T) {
	const good = "\x00\x00\x00\x11Ra.0 failed 1 -\nv"
	for name, extra := range map[string]string{"duplicate answer": good, "partial frame": "\x00\x00\x00\x40R"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, defaultOptions)
			a, first := f.sendOnNewConn("a")
			_, err := first.Write([]byte(good + extra))
			require.NoError(t, err)
			require.Equal(t, decision.Error, (<-f.finishedAttempts).Status)
			f.act(send(a))
			second := f.accept()
			second.expectFrame('S', "a.0")
			second.sendFrame('R', "a.0 done 1 -\nv")
			e := <-f.finishedAttempts
			require.Equal(t, []any{1, decision.OK}, []any{e.Attempt, e.Status})
		})
	}
}

// A non-idempotent call fails if its connection does, so it uses a connection that is proven alive, or a new one, and shares it
// with no other call. The new connection replaces an idle one.
func TestNonIdempotentCallsUseProvenConnectionsAlone(t *testing.T) {
	f := newFixture(t, upstream.Options{
		MaxStreams:     9,
		IdleTimeout:    time.Minute,
		ConnectTimeout: time.Second,
		ProvenAliveFor: time.Second,
	})
	_, first := f.sendOnNewConn("safe")
	f.act(send(f.submitOfClass(nonIdempotentClass, "alone")))
	second := f.accept()
	second.expectFrame('S', "alone.0")
	f.act(send(f.submit("other"))) // must not share its connection
	first.expectFrame('S', "other.0")
	second.sendFrame('R', "alone.0 done 1 -\nv")
	<-f.finishedAttempts
	time.Sleep(20 * time.Millisecond)
	f.act(send(f.submitOfClass(nonIdempotentClass, "soon")))
	second.expectFrame('S', "soon.0")
	second.sendFrame('R', "soon.0 done 1 -\nv")
	<-f.finishedAttempts
	time.Sleep(1100 * time.Millisecond)
	f.act(send(f.submitOfClass(nonIdempotentClass, "later")))
	f.accept().expectFrame('S', "later.0")
	_, err := second.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// A call that needs a connection beyond MaxConns, with none idle, ends with NotSent.
func TestMaxConnsBoundsConnections(t *testing.T) {
	f := newFixture(t, upstream.Options{MaxStreams: 1, MaxConns: 1, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	_, conn := f.sendOnNewConn("a")
	f.act(send(f.submit("b")))
	require.Equal(t, decision.NotSent, (<-f.finishedAttempts).Status) // this says nothing about the server
	conn.sendFrame('R', "a.0 done 1 -\nv")
	require.Equal(t, decision.OK, (<-f.finishedAttempts).Status)
	f.act(send(f.submit("c")))
	conn.expectFrame('S', "c.0")
}

// At MaxConns, an idle connection to a removed server is closed for one to another server.
func TestIdleConnectionIsEvictedForAnother(t *testing.T) {
	f := newFixture(t, upstream.Options{MaxStreams: 1, MaxConns: 1, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	_, conn := f.sendOnNewConn("a")
	conn.sendFrame('R', "a.0 done 1 -\nv")
	<-f.finishedAttempts
	next, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer next.Close()
	f.endpoints.Servers[0] = broker.Endpoint{Server: decision.Server{ID: "s1"}, Addr: next.Addr().String()}
	f.broker.Update(f.endpoints)
	f.listener = next
	f.act(decision.Send{ID: f.submit("b"), Server: "s1"})
	f.accept().expectFrame('S', "b.0")
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Cancelling a call whose frame is stalled in the socket resets the connection, so that the rest of the frame is not delivered
// while another attempt may be in flight.
func TestCancelDuringStalledWriteResetsConnection(t *testing.T) {
	f := newFixture(t, upstream.Options{MaxStreams: 1000, IdleTimeout: time.Minute, ConnectTimeout: 250 * time.Millisecond})
	text := bytes.Repeat([]byte("x"), 60<<10)
	var ids []decision.RequestID
	for i := range 300 { // more bytes than the socket buffers accept
		id := f.submitRequest(&broker.Request{
			ID:         fmt.Sprint("q", i),
			ReceivedAt: time.Now(),
			Timeout:    9 * time.Second,
			Payload:    text,
		})
		f.act(send(id))
		ids = append(ids, id)
	}
	conn := f.accept()
	time.Sleep(300 * time.Millisecond)
	for _, id := range ids {
		f.act(decision.Cancel{ID: id})
		require.NotEqual(t, decision.OK, (<-f.finishedAttempts).Status)
	}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	var err error
	complete := 0
	for err == nil {
		var n int
		n, err = conn.Read(conn.in.Grow())
		conn.in.Advance(n)
		for {
			m, ok, parseErr := conn.in.Next()
			require.NoError(t, parseErr)
			if !ok {
				break
			}
			require.Equal(t, "S", string(m.Type), "no cancel follows, since the connection is reset")
			complete++
		}
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Less(t, complete, 300)
}
