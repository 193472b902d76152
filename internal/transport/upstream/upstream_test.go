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

// An attempt never uses a connection on which an answer to an earlier attempt of its id may still arrive.
func TestAttemptAvoidsConnectionOfCancelledAttempt(t *testing.T) {
	x := newFixture(t, defaultOptions)
	id, first := x.sendOnNewConn("q")
	x.act(decision.Cancel{ID: id})
	first.expectFrame('C', "q.0")
	require.Equal(t, decision.Cancelled, (<-x.finished).Status)
	x.act(send(id))
	second := x.accept()
	second.expectFrame('S', "q.0 0 d=")
	first.sendFrame('R', "q.0 done 1 -\nold") // late: must not end the newer attempt
	other := x.submit("other")
	x.act(send(other))
	first.expectFrame('S', "other.0") // other ids may still use the first connection
	first.sendFrame('R', "other.0 failed 1 inflight=3\n")
	e := <-x.finished
	require.Equal(t, []any{other, decision.Error, 3.0}, []any{e.ID, e.Status, e.LoadReport.InFlight})
	second.sendFrame('R', "q.0 done 1 -\nnew")
	e = <-x.finished
	require.Equal(t, []any{id, 1, decision.OK}, []any{e.ID, e.Attempt, e.Status})
}

// Calls share a connection up to MaxStreams. A connection that ends resets its calls; a refused connect is Unreachable.
func TestConnectionCarriesUpToMaxStreams(t *testing.T) {
	x := newFixture(t, defaultOptions)
	_, first := x.sendOnNewConn("a")
	x.act(send(x.submit("b")))
	first.expectFrame('S', "b.0")
	_, second := x.sendOnNewConn("c")
	require.NoError(t, second.Close())
	require.Equal(t, decision.Reset, (<-x.finished).Status) // its frame was written completely
	first.sendFrame('F', "no such frame")
	require.Equal(t, decision.Reset, (<-x.finished).Status)
	require.Equal(t, decision.Reset, (<-x.finished).Status)
	require.NoError(t, x.listener.Close())
	x.act(send(x.submit("d")))
	require.Equal(t, decision.Unreachable, (<-x.finished).Status)
}

// A partitioned server leaves connections open and silent. A connection that is silent when a call on it is cancelled gets no
// further call: a failed connect proves that nothing can have run.
func TestCancelRetiresSilentConnection(t *testing.T) {
	x := newFixture(t, defaultOptions)
	id, _ := x.sendOnNewConn("q")
	time.Sleep(upstream.MaxSilence + 50*time.Millisecond)
	x.act(decision.Cancel{ID: id})
	<-x.finished
	x.sendOnNewConn("next")
}

// A call uses the connection of an answered health check.
func TestHealthCheckKeepsConnectionUsable(t *testing.T) {
	x := newFixture(t, defaultOptions)
	x.act(decision.CheckHealth{Server: "s0"})
	p := x.accept()
	p.expectFrame('H', "")
	p.sendFrame('H', "done")
	x.act(send(x.submit("q"))) // on the same connection
	p.expectFrame('S', "q.0")
}

// A connection on which an answer is outstanding for eight times the mean latency gets no further call until it receives
// something.
func TestCallsAvoidSilentConnection(t *testing.T) {
	x := newFixture(t, upstream.Options{MaxStreams: 9, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	submittedAt := time.Now()
	_, first := x.sendOnNewConn("a")
	time.Sleep(20 * time.Millisecond) // an answer read before the write is recorded has no latency
	first.sendFrame('R', "a.0 done 1 -\nv")
	<-x.finished
	elapsed := time.Since(submittedAt) // at least the latency that the link measured
	x.act(send(x.submit("lost")))
	first.expectFrame('S', "lost.0")
	time.Sleep(100*time.Millisecond + 8*elapsed)
	x.sendOnNewConn("next")
	first.sendFrame('R', "lost.0 done 1 -\nv") // the connection may be used again
	require.Equal(t, decision.OK, (<-x.finished).Status)
	x.act(send(x.submit("more")))
	first.expectFrame('S', "more.0")
}

// A protocol error ends the connection: all calls in flight on it fail at once with Error, since they may have run and the
// server is reachable. An answer read before it counts.
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
			x := newFixture(t, defaultOptions)
			a, b := x.submit("a"), x.submit("b")
			x.act(send(a), send(b))
			p := x.accept()
			p.expectFrame('S', "a.0")
			p.expectFrame('S', "b.0")
			_, err := p.Write([]byte(good + malformed))
			require.NoError(t, err)
			e := <-x.finished
			require.Equal(t, []any{a, decision.OK}, []any{e.ID, e.Status})
			e = <-x.finished
			require.Equal(t, []any{b, decision.Error}, []any{e.ID, e.Status})
			x.sendOnNewConn("next")
		})
	}
}

// Bytes behind the last answer, a duplicate or a partial frame, are not read as the answer to the id's next attempt.
func TestBytesBehindLastAnswerDoNotReachNextCall(t *testing.T) {
	const good = "\x00\x00\x00\x11Ra.0 failed 1 -\nv"
	for name, more := range map[string]string{"duplicate answer": good, "partial frame": "\x00\x00\x00\x40R"} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t, defaultOptions)
			a, first := x.sendOnNewConn("a")
			_, err := first.Write([]byte(good + more))
			require.NoError(t, err)
			require.Equal(t, decision.Error, (<-x.finished).Status)
			x.act(send(a))
			second := x.accept()
			second.expectFrame('S', "a.0")
			second.sendFrame('R', "a.0 done 1 -\nv")
			e := <-x.finished
			require.Equal(t, []any{1, decision.OK}, []any{e.Attempt, e.Status})
		})
	}
}

// A non-idempotent call fails with its connection, so it uses one that is proven alive, or a new one, and shares it with no
// other call. An idle connection is closed for the new one.
func TestNonIdempotentCallsUseProvenConnectionsAlone(t *testing.T) {
	x := newFixture(t, upstream.Options{
		MaxStreams:     9,
		IdleTimeout:    time.Minute,
		ConnectTimeout: time.Second,
		ProvenAliveFor: time.Second,
	})
	_, first := x.sendOnNewConn("safe")
	x.act(send(x.submitOfClass(nonIdempotentClass, "alone")))
	second := x.accept()
	second.expectFrame('S', "alone.0")
	x.act(send(x.submit("other"))) // must not share its connection
	first.expectFrame('S', "other.0")
	second.sendFrame('R', "alone.0 done 1 -\nv")
	<-x.finished
	time.Sleep(20 * time.Millisecond)
	x.act(send(x.submitOfClass(nonIdempotentClass, "soon")))
	second.expectFrame('S', "soon.0")
	second.sendFrame('R', "soon.0 done 1 -\nv")
	<-x.finished
	time.Sleep(1100 * time.Millisecond)
	x.act(send(x.submitOfClass(nonIdempotentClass, "later")))
	x.accept().expectFrame('S', "later.0")
	_, err := second.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Beyond MaxConns without an idle connection, a call ends with NotSent.
func TestMaxConnsBoundsConnections(t *testing.T) {
	x := newFixture(t, upstream.Options{MaxStreams: 1, MaxConns: 1, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	_, p := x.sendOnNewConn("a")
	x.act(send(x.submit("b")))
	require.Equal(t, decision.NotSent, (<-x.finished).Status) // the server is not at fault
	p.sendFrame('R', "a.0 done 1 -\nv")
	require.Equal(t, decision.OK, (<-x.finished).Status)
	x.act(send(x.submit("c")))
	p.expectFrame('S', "c.0")
}

// At MaxConns, an idle connection to a removed server is closed for one to another server.
func TestIdleConnectionIsEvictedForAnother(t *testing.T) {
	x := newFixture(t, upstream.Options{MaxStreams: 1, MaxConns: 1, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	_, p := x.sendOnNewConn("a")
	p.sendFrame('R', "a.0 done 1 -\nv")
	<-x.finished
	next, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer next.Close()
	x.endpoints.Servers[0] = broker.Endpoint{Server: decision.Server{ID: "s1"}, Addr: next.Addr().String()}
	x.broker.Update(x.endpoints)
	x.listener = next
	x.act(decision.Send{ID: x.submit("b"), Server: "s1"})
	x.accept().expectFrame('S', "b.0")
	_, err = p.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Cancelling a call whose frame is stalled in the socket resets the connection, so that the rest of the frame is not delivered
// while another attempt may be in flight.
func TestCancelDuringStalledWriteResetsConnection(t *testing.T) {
	x := newFixture(t, upstream.Options{MaxStreams: 1000, IdleTimeout: time.Minute, ConnectTimeout: 250 * time.Millisecond})
	text := bytes.Repeat([]byte("x"), 60<<10)
	var ids []decision.RequestID
	for i := range 300 { // more bytes than the socket buffers accept
		id := x.submitRequest(&broker.Request{
			ID:         fmt.Sprint("q", i),
			ReceivedAt: time.Now(),
			Timeout:    9 * time.Second,
			Payload:    text,
		})
		x.act(send(id))
		ids = append(ids, id)
	}
	p := x.accept()
	time.Sleep(300 * time.Millisecond)
	for _, id := range ids {
		x.act(decision.Cancel{ID: id})
		require.NotEqual(t, decision.OK, (<-x.finished).Status)
	}
	require.NoError(t, p.SetReadDeadline(time.Now().Add(5*time.Second)))
	var err error
	complete := 0
	for err == nil {
		var n int
		n, err = p.Read(p.in.Grow())
		p.in.Advance(n)
		for {
			m, ok, parseErr := p.in.Next()
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
