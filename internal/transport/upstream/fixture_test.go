package upstream_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/decision"
	"mothrouter/internal/transport/frame"
	"mothrouter/internal/transport/upstream"
)

// scriptedDecider passes events to the test and returns the actions that the test has put in nextActions.
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

// discardClient is a client that ignores its result.
type discardClient struct{}

func (discardClient) Finish(broker.Result) {}

// The classes of the fixture's settings.
const (
	idempotentClass = iota
	nonIdempotentClass
)

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
	x := &fixture{T: t, listener: l, scriptedDecider: scriptedDecider{
		parts:       make(chan decision.Part, 9),
		finished:    make(chan decision.AttemptFinished, 999),
		nextActions: make(chan []decision.Action, 9),
	}}
	idempotent := decision.Class{Deadline: 9, CompletenessThreshold: 1, MinCompleteness: 1}
	nonIdempotent := idempotent
	nonIdempotent.Idempotency = decision.NonIdempotent
	settings := decision.Settings{
		ReplicaSets:       1,
		ReplicationFactor: 1,
		Classes:           []decision.Class{idempotentClass: idempotent, nonIdempotentClass: nonIdempotent},
	}
	x.broker = broker.New(broker.Options{Settings: settings}, x.scriptedDecider, upstream.New(ctx, opt))
	go x.broker.Run(ctx)
	x.endpoints = broker.EndpointUpdate{
		Mode:    decision.FullUpdate,
		Servers: []broker.Endpoint{{Server: decision.Server{ID: "s0"}, Addr: l.Addr().String()}},
	}
	x.broker.Update(x.endpoints)
	return x
}

// act has the Decider return the actions; the endpoint update makes the core call it.
func (x *fixture) act(a ...decision.Action) {
	x.nextActions <- a
	x.broker.Update(x.endpoints)
}

// submit submits an idempotent query of one part and returns the part's id.
func (x *fixture) submit(name string) decision.RequestID {
	return x.submitOfClass(idempotentClass, name)
}

// submitOfClass submits a query of a class with one part and returns the part's id.
func (x *fixture) submitOfClass(class int, name string) decision.RequestID {
	return x.submitRequest(&broker.Request{
		ID:         name,
		Class:      class,
		ReceivedAt: time.Now(),
		Timeout:    5 * time.Second,
		Payload:    []byte("x"),
	})
}

// submitRequest submits a request with one part and returns the part's id.
func (x *fixture) submitRequest(r *broker.Request) decision.RequestID {
	r.Parts = []broker.Part{{Weight: 1}}
	x.broker.Submit(r, discardClient{})
	return (<-x.parts).ID
}

// sendOnNewConn submits a query, sends its part and awaits the frame on a new connection.
func (x *fixture) sendOnNewConn(name string) (decision.RequestID, *serverConn) {
	x.Helper()
	id := x.submit(name)
	x.act(send(id))
	conn := x.accept()
	conn.expectFrame('S', name+".0 0 d=")
	return id, conn
}

// serverConn is the record server's end of a connection.
type serverConn struct {
	*testing.T
	net.Conn
	in frame.Reader // of the frames that the link sends
}

// accept returns the next connection of the link, which must come within 2 s.
func (x *fixture) accept() *serverConn {
	require.NoError(x, x.listener.(*net.TCPListener).SetDeadline(time.Now().Add(2*time.Second)))
	c, err := x.listener.Accept()
	require.NoError(x, err)
	x.Cleanup(func() { c.Close() })
	return &serverConn{T: x.T, Conn: c}
}

// expectFrame requires that the next frame has the message type and that its body contains text.
func (p *serverConn) expectFrame(messageType byte, text string) {
	p.Helper()
	for {
		m, ok, err := p.in.Next()
		require.NoError(p, err)
		if ok {
			require.Equal(p, string(messageType), string(m.Type))
			require.Contains(p, string(m.Body), text)
			return
		}
		require.NoError(p, p.SetReadDeadline(time.Now().Add(2*time.Second)))
		n, err := p.Read(p.in.Grow())
		require.NoError(p, err)
		p.in.Advance(n)
	}
}

func (p *serverConn) sendFrame(messageType byte, body string) {
	_, err := p.Write(frame.Append(nil, messageType, body))
	require.NoError(p, err)
}

// send returns the action that sends a part to the only server.
func send(id decision.RequestID) decision.Action { return decision.Send{ID: id, Server: "s0"} }

var defaultOptions = upstream.Options{MaxStreams: 2, IdleTimeout: time.Minute, ConnectTimeout: 250 * time.Millisecond}
