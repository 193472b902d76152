package upstream_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/frame"
	"mothrouter/internal/transport/upstream"
)

// scriptedDecider decides what the test says next.
type scriptedDecider struct {
	parts       chan decision.Part
	finished    chan decision.AttemptFinished
	nextActions chan []decision.Action
}

func (s scriptedDecider) Handle(_ float64, events []decision.Event) (actions []decision.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case decision.Part:
			s.parts <- e
		case decision.AttemptFinished:
			s.finished <- e
		}
	}
	select {
	case actions = <-s.nextActions:
	default:
	}
	return actions
}

type discardClient struct{}

func (discardClient) Finish(broker.Result) {}

// fixture is a core with a scripted Decider, a link under test and one record server at a listener.
type fixture struct {
	*testing.T
	scriptedDecider
	broker    *broker.Broker
	listener  net.Listener
	endpoints broker.EndpointUpdate
}

func newFixture(t *testing.T, opt upstream.Options) *fixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); l.Close() })
	x := &fixture{T: t, listener: l, scriptedDecider: scriptedDecider{make(chan decision.Part, 9), make(chan decision.AttemptFinished, 999), make(chan []decision.Action, 9)}}
	set := decision.Settings{ReplicaSets: 1, ReplicationFactor: 1, Classes: []decision.Class{
		{Deadline: 9, CompletenessThreshold: 1, MinCompleteness: 1}, {Deadline: 9, CompletenessThreshold: 1, MinCompleteness: 1, Idempotency: decision.NonIdempotent}}}
	x.broker = broker.New(broker.Options{Settings: set}, x.scriptedDecider, upstream.New(ctx, opt))
	go x.broker.Run(ctx)
	x.endpoints = broker.EndpointUpdate{Mode: decision.FullUpdate, Servers: []broker.Endpoint{
		{Server: decision.Server{ID: "s0"}, Addr: l.Addr().String()}}}
	x.broker.Update(x.endpoints)
	return x
}

// act has the Decider act.
func (x *fixture) act(a ...decision.Action) {
	x.nextActions <- a
	x.broker.Update(x.endpoints)
}

// submit hands over a query of one part and returns the part's id.
func (x *fixture) submit(name string) decision.RequestID { return x.submitOfClass(0, name) }

// submitOfClass asks in a class; parts of class 1 must not run twice.
func (x *fixture) submitOfClass(class int, name string) decision.RequestID {
	x.broker.Submit(&broker.Request{ID: name, Class: class, ReceivedAt: time.Now(), Timeout: 5 * time.Second,
		Parts: []broker.Part{{Weight: 1}}, Payload: []byte("x")}, discardClient{})
	return (<-x.parts).ID
}

// serverConn is the record server's end of a connection.
type serverConn struct {
	*testing.T
	net.Conn
	in frame.Reader
}

func (x *fixture) accept() *serverConn {
	require.NoError(x, x.listener.(*net.TCPListener).SetDeadline(time.Now().Add(2*time.Second)))
	c, err := x.listener.Accept()
	require.NoError(x, err)
	x.Cleanup(func() { c.Close() })
	return &serverConn{T: x.T, Conn: c}
}

func (p *serverConn) expectFrame(letter byte, starts string) {
	p.Helper()
	for {
		m, ok, err := p.in.Next()
		require.NoError(p, err)
		if ok {
			require.Equal(p, string(letter), string(m.Type))
			require.Contains(p, string(m.Body), starts)
			return
		}
		require.NoError(p, p.SetReadDeadline(time.Now().Add(2*time.Second)))
		n, err := p.Read(p.in.Grow())
		require.NoError(p, err)
		p.in.Advance(n)
	}
}

func (p *serverConn) sendFrame(letter byte, rest string) {
	_, err := p.Write(frame.Append(nil, letter, rest))
	require.NoError(p, err)
}

func send(id decision.RequestID) decision.Action { return decision.Send{ID: id, Server: "s0"} }

var defaultOptions = upstream.Options{MaxStreams: 2, IdleTimeout: time.Minute, ConnectTimeout: 250 * time.Millisecond}

func TestAttemptAvoidsConnectionOfCancelledAttempt(t *testing.T) {
	x := newFixture(t, defaultOptions)
	id := x.submit("q")
	x.act(send(id))
	first := x.accept()
	first.expectFrame('S', "q.0 0 d=")
	x.act(decision.Cancel{ID: id})
	first.expectFrame('C', "q.0")
	require.Equal(t, decision.Cancelled, (<-x.finished).Status)
	x.act(send(id))
	second := x.accept()
	second.expectFrame('S', "q.0 0 d=")
	first.sendFrame('R', "q.0 done 1 -\nold") // late: must not end the newer attempt
	other := x.submit("other")
	x.act(send(other))
	first.expectFrame('S', "other.0") // the first connection is still of use to others
	first.sendFrame('R', "other.0 failed 1 inflight=3\n")
	e := <-x.finished
	require.Equal(t, []any{other, decision.Error, 3.0}, []any{e.ID, e.Status, e.LoadReport.InFlight})
	second.sendFrame('R', "q.0 done 1 -\nnew")
	e = <-x.finished
	require.Equal(t, []any{id, 1, decision.OK}, []any{e.ID, e.Attempt, e.Status})
}

func TestConnectionCarriesUpToMaxStreams(t *testing.T) {
	x := newFixture(t, defaultOptions)
	x.act(send(x.submit("a")))
	first := x.accept()
	first.expectFrame('S', "a.0")
	x.act(send(x.submit("b")))
	first.expectFrame('S', "b.0")
	x.act(send(x.submit("c")))
	second := x.accept()
	second.expectFrame('S', "c.0")
	require.NoError(t, second.Close())
	require.Equal(t, decision.Reset, (<-x.finished).Status) // its frame was written whole
	first.sendFrame('F', "no such frame")
	require.Equal(t, decision.Reset, (<-x.finished).Status)
	require.Equal(t, decision.Reset, (<-x.finished).Status)
	require.NoError(t, x.listener.Close())
	x.act(send(x.submit("d")))
	require.Equal(t, decision.Unreachable, (<-x.finished).Status)
}

// A machine that has dropped off the network leaves its connections open and silent. One whose call got no
// word for long is not used for more: on a new one it shows that nothing can have run.
func TestCancelRetiresSilentConnection(t *testing.T) {
	x := newFixture(t, defaultOptions)
	id := x.submit("q")
	x.act(send(id))
	first := x.accept()
	first.expectFrame('S', "q.0")
	time.Sleep(upstream.MaxSilence + 50*time.Millisecond)
	x.act(decision.Cancel{ID: id})
	<-x.finished
	x.act(send(x.submit("next")))
	x.accept().expectFrame('S', "next.0")
}

func TestHealthCheckKeepsConnectionUsable(t *testing.T) {
	x := newFixture(t, defaultOptions)
	x.act(decision.CheckHealth{Server: "s0"})
	p := x.accept()
	p.expectFrame('H', "")
	p.sendFrame('H', "done")
	x.act(send(x.submit("q"))) // and the connection goes on
	p.expectFrame('S', "q.0")
}

// A connection may fall silent alone. Once it has owed an answer for eight times what answers take, the next
// call goes by a new one, and the server is asked no more by the old.
func TestCallsAvoidSilentConnection(t *testing.T) {
	x := newFixture(t, upstream.Options{MaxStreams: 9, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	asked := time.Now()
	x.act(send(x.submit("a")))
	first := x.accept()
	first.expectFrame('S', "a.0")
	time.Sleep(20 * time.Millisecond) // an answer that comes before its call is noted as written tells no time
	first.sendFrame('R', "a.0 done 1 -\nv")
	<-x.finished
	took := time.Since(asked) // at least what the link measured, of which 8 times are silence
	x.act(send(x.submit("lost")))
	first.expectFrame('S', "lost.0")
	time.Sleep(100*time.Millisecond + 8*took)
	x.act(send(x.submit("next")))
	second := x.accept()
	second.expectFrame('S', "next.0")
	first.sendFrame('R', "lost.0 done 1 -\nv") // it was only slow, and is of use again
	require.Equal(t, decision.OK, (<-x.finished).Status)
	x.act(send(x.submit("more")))
	first.expectFrame('S', "more.0")
}

// What cannot be read leaves its connection of no use: all that is out on it has failed, at once, and may
// have run, but the server is not taken for cut off. What was served before it is served.
func TestProtocolErrorsFailAttempts(t *testing.T) {
	const good = "\x00\x00\x00\x0fRa.0 done 1 -\nv"
	for name, spoilt := range map[string]string{
		"an unknown letter":    "\x00\x00\x00\x0f\x01b.0 done 1 -\nv",
		"an id never asked":    "\x00\x00\x00\x0fRx.0 done 1 -\nv",
		"a length that is odd": "\xff\xff\xff\xfcRb.0 done 1 -\nv",
		"an end that is odd":   "\x00\x00\x00\x0cRb.0 ? 1 -\nv",
		"no text":              "\x00\x00\x00\x0fRb.0 done 1 -\n\xff",
		"a probe's answer":     "\x00\x00\x00\x05Hdone",
		"a frame that stops":   "\x00\x00\x00\x40Rb.0 done 1 -\nv",
	} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t, defaultOptions)
			a, b := x.submit("a"), x.submit("b")
			x.act(send(a), send(b))
			p := x.accept()
			p.expectFrame('S', "a.0")
			p.expectFrame('S', "b.0")
			_, err := p.Write([]byte(good + spoilt))
			require.NoError(t, err)
			e := <-x.finished
			require.Equal(t, []any{a, decision.OK}, []any{e.ID, e.Status})
			e = <-x.finished
			require.Equal(t, []any{b, decision.Error}, []any{e.ID, e.Status})
			x.act(send(x.submit("next")))
			x.accept().expectFrame('S', "next.0")
		})
	}
}

// A second copy behind a good answer does no harm, and no later attempt of its id meets it. Noise there ends
// the connection before the next call takes it for its answer.
func TestBytesBehindLastAnswerDoNotReachNextCall(t *testing.T) {
	const good = "\x00\x00\x00\x11Ra.0 failed 1 -\nv"
	for name, more := range map[string]string{"a copy": good, "half a frame": "\x00\x00\x00\x40R"} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t, defaultOptions)
			a := x.submit("a")
			x.act(send(a))
			first := x.accept()
			first.expectFrame('S', "a.0")
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

// What ends a connection must not fail parts that cannot be sent again: they go alone, by a connection that spoke
// a moment ago, else by a new one. One that has rested may be gone, and makes room for the new one.
func TestNonIdempotentCallsUseProvenConnectionsAlone(t *testing.T) {
	x := newFixture(t, upstream.Options{MaxStreams: 9, IdleTimeout: time.Minute, ConnectTimeout: time.Second, ProvenAliveFor: time.Second})
	x.act(send(x.submit("safe")))
	first := x.accept()
	first.expectFrame('S', "safe.0")
	x.act(send(x.submitOfClass(1, "alone")))
	second := x.accept()
	second.expectFrame('S', "alone.0")
	x.act(send(x.submit("other"))) // does not join it
	first.expectFrame('S', "other.0")
	second.sendFrame('R', "alone.0 done 1 -\nv")
	<-x.finished
	time.Sleep(20 * time.Millisecond)
	x.act(send(x.submitOfClass(1, "soon")))
	second.expectFrame('S', "soon.0")
	second.sendFrame('R', "soon.0 done 1 -\nv")
	<-x.finished
	time.Sleep(1100 * time.Millisecond)
	x.act(send(x.submitOfClass(1, "later")))
	x.accept().expectFrame('S', "later.0")
	_, err := second.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

func TestMaxConnsBoundsConnections(t *testing.T) {
	x := newFixture(t, upstream.Options{MaxStreams: 1, MaxConns: 1, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	x.act(send(x.submit("a")))
	p := x.accept()
	p.expectFrame('S', "a.0")
	x.act(send(x.submit("b")))
	require.Equal(t, decision.NotSent, (<-x.finished).Status) // it tells nothing of the server
	p.sendFrame('R', "a.0 done 1 -\nv")
	require.Equal(t, decision.OK, (<-x.finished).Status)
	x.act(send(x.submit("c")))
	p.expectFrame('S', "c.0")
}

// Connections that rest, as those to servers that are gone, make room for one to a server that has none.
func TestIdleConnectionIsEvictedForAnother(t *testing.T) {
	x := newFixture(t, upstream.Options{MaxStreams: 1, MaxConns: 1, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	x.act(send(x.submit("a")))
	p := x.accept()
	p.expectFrame('S', "a.0")
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

// A server takes no bytes, and the call that is just being written is taken back. The rest of its frame must not come to
// the server later, when another attempt may be out.
func TestCancelDuringStalledWriteResetsConnection(t *testing.T) {
	x := newFixture(t, upstream.Options{MaxStreams: 1000, IdleTimeout: time.Minute, ConnectTimeout: 250 * time.Millisecond})
	text := bytes.Repeat([]byte("x"), 60<<10)
	var ids []decision.RequestID
	for i := range 300 { // more than what the system takes off the writer's hands
		x.broker.Submit(&broker.Request{ID: fmt.Sprint("q", i), ReceivedAt: time.Now(), Timeout: 9 * time.Second,
			Parts: []broker.Part{{Weight: 1}}, Payload: text}, discardClient{})
		id := (<-x.parts).ID
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
	whole := 0
	for err == nil {
		var n int
		n, err = p.Read(p.in.Grow())
		p.in.Advance(n)
		for {
			m, ok, bad := p.in.Next()
			require.NoError(t, bad)
			if !ok {
				break
			}
			require.Equal(t, "S", string(m.Type), "no cancel follows, since the connection is reset")
			whole++
		}
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Less(t, whole, 300)
}
