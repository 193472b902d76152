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
	parts            chan decision.Part
	finishedAttempts chan decision.AttemptFinished
	nextActions      chan []decision.Action
}

func (s scriptedDecider) Handle(_ float64, events []decision.Event) (actions []decision.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case decision.Part:
			s.parts <- e
		case decision.AttemptFinished:
			s.finishedAttempts <- e
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

// fixture is a broker with a scripted Decider, the link under test, and the listener of one fake record server.
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
	f := &fixture{T: t, listener: l, scriptedDecider: scriptedDecider{
		parts:            make(chan decision.Part, 9),
		finishedAttempts: make(chan decision.AttemptFinished, 999),
		nextActions:      make(chan []decision.Action, 9),
	}}
	idempotent := decision.Class{Deadline: 9, CompletenessThreshold: 1, MinCompleteness: 1}
	nonIdempotent := idempotent
	nonIdempotent.Idempotency = decision.NonIdempotent
	settings := decision.Settings{
		ReplicaSets:       1,
		ReplicationFactor: 1,
		Classes:           []decision.Class{idempotentClass: idempotent, nonIdempotentClass: nonIdempotent},
	}
	f.broker = broker.New(broker.Options{Settings: settings}, f.scriptedDecider, upstream.New(ctx, opt))
	go f.broker.Run(ctx)
	f.endpoints = broker.EndpointUpdate{
		Mode:    decision.FullUpdate,
		Servers: []broker.Endpoint{{Server: decision.Server{ID: "s0"}, Addr: l.Addr().String()}},
	}
	f.broker.Update(f.endpoints)
	return f
}

// act makes the Decider return the actions; the endpoint update makes the broker call the Decider.
func (f *fixture) act(a ...decision.Action) {
	f.nextActions <- a
	f.broker.Update(f.endpoints)
}

// submit submits an idempotent query of one part and returns the part's id.
func (f *fixture) submit(name string) decision.RequestID {
	return f.submitOfClass(idempotentClass, name)
}

// submitOfClass submits a query of a class with one part and returns the part's id.
func (f *fixture) submitOfClass(class int, name string) decision.RequestID {
	return f.submitRequest(&broker.Request{
		ID:         name,
		Class:      class,
		ReceivedAt: time.Now(),
		Timeout:    5 * time.Second,
		Payload:    []byte("x"),
	})
}

// submitRequest submits a request with one part and returns the part's id.
func (f *fixture) submitRequest(r *broker.Request) decision.RequestID {
	r.Parts = []broker.Part{{Weight: 1}}
	f.broker.Submit(r, discardClient{})
	return (<-f.parts).ID
}

// sendOnNewConn submits a query, sends its part and awaits the frame, which must arrive on a new connection.
func (f *fixture) sendOnNewConn(name string) (decision.RequestID, *serverConn) {
	f.Helper()
	id := f.submit(name)
	f.act(send(id))
	conn := f.accept()
	conn.expectFrame('S', name+".0 0 d=")
	return id, conn
}

// serverConn is the fake record server's end of a connection.
type serverConn struct {
	*testing.T
	net.Conn
	in frame.Reader // of the frames that the link sends
}

// accept returns the next connection that the link opens, which must happen within 2 s.
func (f *fixture) accept() *serverConn {
	require.NoError(f, f.listener.(*net.TCPListener).SetDeadline(time.Now().Add(2*time.Second)))
	c, err := f.listener.Accept()
	require.NoError(f, err)
	f.Cleanup(func() { c.Close() })
	return &serverConn{T: f.T, Conn: c}
}

// expectFrame requires that the next frame has the message type and that its body contains text.
func (s *serverConn) expectFrame(messageType byte, text string) {
	s.Helper()
	for {
		m, ok, err := s.in.Next()
		require.NoError(s, err)
		if ok {
			require.Equal(s, string(messageType), string(m.Type))
			require.Contains(s, string(m.Body), text)
			return
		}
		require.NoError(s, s.SetReadDeadline(time.Now().Add(2*time.Second)))
		n, err := s.Read(s.in.Grow())
		require.NoError(s, err)
		s.in.Advance(n)
	}
}

func (s *serverConn) sendFrame(messageType byte, body string) {
	_, err := s.Write(frame.Append(nil, messageType, body))
	require.NoError(s, err)
}

// send returns the action that sends a part to the only server.
func send(id decision.RequestID) decision.Action { return decision.Send{ID: id, Server: "s0"} }

var defaultOptions = upstream.Options{MaxStreams: 2, IdleTimeout: time.Minute, ConnectTimeout: 250 * time.Millisecond}
