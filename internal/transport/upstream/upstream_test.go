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

// script decides what the test says next.
type script struct {
	parts chan decision.Part
	ended chan decision.AttemptFinished
	next  chan []decision.Action
}

func (s script) Handle(_ float64, events []decision.Event) (actions []decision.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case decision.Part:
			s.parts <- e
		case decision.AttemptFinished:
			s.ended <- e
		}
	}
	select {
	case actions = <-s.next:
	default:
	}
	return actions
}

type nobody struct{}

func (nobody) Finish(broker.Result) {}

// rig is a core with a scripted Decider, a link under test and one record server at a listener.
type rig struct {
	*testing.T
	script
	b    *broker.Broker
	l    net.Listener
	list broker.EndpointUpdate
}

func newRig(t *testing.T, opt upstream.Options) *rig {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); l.Close() })
	r := &rig{T: t, l: l, script: script{make(chan decision.Part, 9), make(chan decision.AttemptFinished, 999), make(chan []decision.Action, 9)}}
	set := decision.Settings{ReplicaSets: 1, ReplicationFactor: 1, Classes: []decision.Class{
		{Deadline: 9, CompletenessThreshold: 1, MinCompleteness: 1}, {Deadline: 9, CompletenessThreshold: 1, MinCompleteness: 1, Idempotency: decision.NonIdempotent}}}
	r.b = broker.New(broker.Options{Settings: set}, r.script, upstream.New(ctx, opt))
	go r.b.Run(ctx)
	r.list = broker.EndpointUpdate{Mode: decision.FullUpdate, Servers: []broker.Endpoint{
		{Server: decision.Server{ID: "s0"}, Addr: l.Addr().String()}}}
	r.b.Update(r.list)
	return r
}

// do has the Decider act.
func (r *rig) do(a ...decision.Action) {
	r.next <- a
	r.b.Update(r.list)
}

// ask hands over a query of one part and returns the part's id.
func (r *rig) ask(name string) decision.RequestID { return r.askOf(0, name) }

// askOf asks in a class; parts of class 1 must not run twice.
func (r *rig) askOf(class int, name string) decision.RequestID {
	r.b.Submit(&broker.Request{ID: name, Class: class, ReceivedAt: time.Now(), Timeout: 5 * time.Second,
		Parts: []broker.Part{{Weight: 1}}, Payload: []byte("x")}, nobody{})
	return (<-r.parts).ID
}

// peer is the record server's end of a connection.
type peer struct {
	*testing.T
	net.Conn
	in frame.Reader
}

func (r *rig) accept() *peer {
	require.NoError(r, r.l.(*net.TCPListener).SetDeadline(time.Now().Add(2*time.Second)))
	c, err := r.l.Accept()
	require.NoError(r, err)
	r.Cleanup(func() { c.Close() })
	return &peer{T: r.T, Conn: c}
}

func (p *peer) gets(letter byte, starts string) {
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

func (p *peer) sends(letter byte, rest string) {
	_, err := p.Write(frame.Append(nil, letter, rest))
	require.NoError(p, err)
}

func send(id decision.RequestID) decision.Action { return decision.Send{ID: id, Server: "s0"} }

var options = upstream.Options{MaxStreams: 2, IdleTimeout: time.Minute, ConnectTimeout: 250 * time.Millisecond}

func TestAnAttemptSharesNoConnectionWithACancelledOneOfItsID(t *testing.T) {
	r := newRig(t, options)
	id := r.ask("q")
	r.do(send(id))
	first := r.accept()
	first.gets('S', "q.0 0 d=")
	r.do(decision.Cancel{ID: id})
	first.gets('C', "q.0")
	require.Equal(t, decision.Cancelled, (<-r.ended).Status)
	r.do(send(id))
	second := r.accept()
	second.gets('S', "q.0 0 d=")
	first.sends('R', "q.0 done 1 -\nold") // late: must not end the newer attempt
	other := r.ask("other")
	r.do(send(other))
	first.gets('S', "other.0") // the first connection is still of use to others
	first.sends('R', "other.0 failed 1 inflight=3\n")
	e := <-r.ended
	require.Equal(t, []any{other, decision.Error, 3.0}, []any{e.ID, e.Status, e.LoadReport.InFlight})
	second.sends('R', "q.0 done 1 -\nnew")
	e = <-r.ended
	require.Equal(t, []any{id, 1, decision.OK}, []any{e.ID, e.Attempt, e.Status})
}

func TestConnectionsAreSharedUpToTheirStreams(t *testing.T) {
	r := newRig(t, options)
	r.do(send(r.ask("a")))
	first := r.accept()
	first.gets('S', "a.0")
	r.do(send(r.ask("b")))
	first.gets('S', "b.0")
	r.do(send(r.ask("c")))
	second := r.accept()
	second.gets('S', "c.0")
	require.NoError(t, second.Close())
	require.Equal(t, decision.Reset, (<-r.ended).Status) // its frame was written whole
	first.sends('F', "no such frame")
	require.Equal(t, decision.Reset, (<-r.ended).Status)
	require.Equal(t, decision.Reset, (<-r.ended).Status)
	require.NoError(t, r.l.Close())
	r.do(send(r.ask("d")))
	require.Equal(t, decision.Unreachable, (<-r.ended).Status)
}

// A machine that has dropped off the network leaves its connections open and silent. One whose call got no
// word for long is not used for more: on a new one it shows that nothing can have run.
func TestSilentConnectionIsRetired(t *testing.T) {
	r := newRig(t, options)
	id := r.ask("q")
	r.do(send(id))
	first := r.accept()
	first.gets('S', "q.0")
	time.Sleep(upstream.MaxSilence + 50*time.Millisecond)
	r.do(decision.Cancel{ID: id})
	<-r.ended
	r.do(send(r.ask("next")))
	r.accept().gets('S', "next.0")
}

func TestHealthChecks(t *testing.T) {
	r := newRig(t, options)
	r.do(decision.CheckHealth{Server: "s0"})
	p := r.accept()
	p.gets('H', "")
	p.sends('H', "done")
	r.do(send(r.ask("q"))) // and the connection goes on
	p.gets('S', "q.0")
}

// A connection may fall silent alone. Once it has owed an answer for eight times what answers take, the next
// call goes by a new one, and the server is asked no more by the old.
func TestCallsAvoidASilentConnection(t *testing.T) {
	r := newRig(t, upstream.Options{MaxStreams: 9, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	asked := time.Now()
	r.do(send(r.ask("a")))
	first := r.accept()
	first.gets('S', "a.0")
	time.Sleep(20 * time.Millisecond) // an answer that comes before its call is noted as written tells no time
	first.sends('R', "a.0 done 1 -\nv")
	<-r.ended
	took := time.Since(asked) // at least what the link measured, of which 8 times are silence
	r.do(send(r.ask("lost")))
	first.gets('S', "lost.0")
	time.Sleep(100*time.Millisecond + 8*took)
	r.do(send(r.ask("next")))
	second := r.accept()
	second.gets('S', "next.0")
	first.sends('R', "lost.0 done 1 -\nv") // it was only slow, and is of use again
	require.Equal(t, decision.OK, (<-r.ended).Status)
	r.do(send(r.ask("more")))
	first.gets('S', "more.0")
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
			r := newRig(t, options)
			a, b := r.ask("a"), r.ask("b")
			r.do(send(a), send(b))
			p := r.accept()
			p.gets('S', "a.0")
			p.gets('S', "b.0")
			_, err := p.Write([]byte(good + spoilt))
			require.NoError(t, err)
			e := <-r.ended
			require.Equal(t, []any{a, decision.OK}, []any{e.ID, e.Status})
			e = <-r.ended
			require.Equal(t, []any{b, decision.Error}, []any{e.ID, e.Status})
			r.do(send(r.ask("next")))
			r.accept().gets('S', "next.0")
		})
	}
}

// A second copy behind a good answer does no harm, and no later attempt of its id meets it. Noise there ends
// the connection before the next call takes it for its answer.
func TestTrailingBytesAreAProtocolError(t *testing.T) {
	const good = "\x00\x00\x00\x11Ra.0 failed 1 -\nv"
	for name, more := range map[string]string{"a copy": good, "half a frame": "\x00\x00\x00\x40R"} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, options)
			a := r.ask("a")
			r.do(send(a))
			first := r.accept()
			first.gets('S', "a.0")
			_, err := first.Write([]byte(good + more))
			require.NoError(t, err)
			require.Equal(t, decision.Error, (<-r.ended).Status)
			r.do(send(a))
			second := r.accept()
			second.gets('S', "a.0")
			second.sends('R', "a.0 done 1 -\nv")
			e := <-r.ended
			require.Equal(t, []any{1, decision.OK}, []any{e.Attempt, e.Status})
		})
	}
}

// What ends a connection must not fail parts that cannot be sent again: they go alone, by a connection that spoke
// a moment ago, else by a new one. One that has rested may be gone, and makes room for the new one.
func TestNonIdempotentPartsGoAloneByProvenConnections(t *testing.T) {
	r := newRig(t, upstream.Options{MaxStreams: 9, IdleTimeout: time.Minute, ConnectTimeout: time.Second, ProvenAliveFor: time.Second})
	r.do(send(r.ask("safe")))
	first := r.accept()
	first.gets('S', "safe.0")
	r.do(send(r.askOf(1, "alone")))
	second := r.accept()
	second.gets('S', "alone.0")
	r.do(send(r.ask("other"))) // does not join it
	first.gets('S', "other.0")
	second.sends('R', "alone.0 done 1 -\nv")
	<-r.ended
	time.Sleep(20 * time.Millisecond)
	r.do(send(r.askOf(1, "soon")))
	second.gets('S', "soon.0")
	second.sends('R', "soon.0 done 1 -\nv")
	<-r.ended
	time.Sleep(1100 * time.Millisecond)
	r.do(send(r.askOf(1, "later")))
	r.accept().gets('S', "later.0")
	_, err := second.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

func TestConnectionsAreBounded(t *testing.T) {
	r := newRig(t, upstream.Options{MaxStreams: 1, MaxConns: 1, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	r.do(send(r.ask("a")))
	p := r.accept()
	p.gets('S', "a.0")
	r.do(send(r.ask("b")))
	require.Equal(t, decision.NotSent, (<-r.ended).Status) // it tells nothing of the server
	p.sends('R', "a.0 done 1 -\nv")
	require.Equal(t, decision.OK, (<-r.ended).Status)
	r.do(send(r.ask("c")))
	p.gets('S', "c.0")
}

// Connections that rest, as those to servers that are gone, make room for one to a server that has none.
func TestIdleConnectionIsEvictedForAnother(t *testing.T) {
	r := newRig(t, upstream.Options{MaxStreams: 1, MaxConns: 1, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	r.do(send(r.ask("a")))
	p := r.accept()
	p.gets('S', "a.0")
	p.sends('R', "a.0 done 1 -\nv")
	<-r.ended
	next, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer next.Close()
	r.list.Servers[0] = broker.Endpoint{Server: decision.Server{ID: "s1"}, Addr: next.Addr().String()}
	r.b.Update(r.list)
	r.l = next
	r.do(decision.Send{ID: r.ask("b"), Server: "s1"})
	r.accept().gets('S', "b.0")
	_, err = p.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// A server takes no bytes, and the call that is just being written is taken back. The rest of its frame must not come to
// the server later, when another attempt may be out.
func TestCancelDuringWriteResetsTheConnection(t *testing.T) {
	r := newRig(t, upstream.Options{MaxStreams: 1000, IdleTimeout: time.Minute, ConnectTimeout: 250 * time.Millisecond})
	text := bytes.Repeat([]byte("x"), 60<<10)
	var ids []decision.RequestID
	for i := range 300 { // more than what the system takes off the writer's hands
		r.b.Submit(&broker.Request{ID: fmt.Sprint("q", i), ReceivedAt: time.Now(), Timeout: 9 * time.Second,
			Parts: []broker.Part{{Weight: 1}}, Payload: text}, nobody{})
		id := (<-r.parts).ID
		r.do(send(id))
		ids = append(ids, id)
	}
	p := r.accept()
	time.Sleep(300 * time.Millisecond)
	for _, id := range ids {
		r.do(decision.Cancel{ID: id})
		require.NotEqual(t, decision.OK, (<-r.ended).Status)
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
