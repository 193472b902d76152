package flight

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"mothrouter/internal/broker"
	"mothrouter/internal/transport/presence"
)

// slowListener is a listener of whose connections nothing is handed to the reader while held is locked, as beside a flood.
type slowListener struct {
	net.Listener
	held *sync.RWMutex
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c, l.held}, err
}

type slowConn struct {
	net.Conn
	held *sync.RWMutex
}

func (c slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), 64)])
	c.held.RLock()
	defer c.held.RUnlock()
	return n, err
}

// submissions is a Core that passes requests to the test and never answers them.
type submissions chan *broker.Request

func (s submissions) Submit(r *broker.Request, _ broker.Client) { s <- r }
func (s submissions) Disconnect(*broker.Request)                {}

// startSlowFront serves a front on tracked connections that are read slowly while held is locked, and returns a client.
func startSlowFront(t *testing.T) (core submissions, held *sync.RWMutex, conn *grpc.ClientConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	core, held = make(submissions, 16), &sync.RWMutex{}
	front := NewFront(Options{Classes: map[string]int{"c": 0}, MaxConns: 4}, core)
	served := make(chan error, 1)
	go func() { served <- front.Serve(slowListener{presence.Listener(l), held}, slog.New(slog.DiscardHandler)) }()
	conn, err = grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() {
		conn.Close()
		front.server.Stop()
		require.NoError(t, <-served)
	})
	return core, held, conn
}

// call begins a query.
func call(ctx context.Context, t *testing.T, conn *grpc.ClientConn, id string) {
	ticket := fmt.Appendf(nil, `{"id":%q,"class":"c","targets":[{"partition":0,"share":1}],"query":"x"}`, id)
	_, err := flight.NewClientFromConn(conn, nil).DoGet(ctx, &flight.Ticket{Ticket: ticket})
	require.NoError(t, err)
}

// Guards against later attempts for a Flight client that has closed its connection, while what it sent before is read slowly.
func TestCloseIsKnownBeforeItIsRead(t *testing.T) {
	core, held, conn := startSlowFront(t)
	call(t.Context(), t, conn, "first")
	r := <-core
	require.Equal(t, broker.ClientConnected, r.Conn.State())
	held.Lock()
	defer held.Unlock()
	call(t.Context(), t, conn, "second")
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return r.Conn.State() == broker.ClientDisconnected }, 100*time.Millisecond, time.Millisecond)
}

// Guards against later attempts for a Flight client that has cancelled its call, while the cancellation is read slowly.
func TestCancellationIsUnconfirmedUntilItIsRead(t *testing.T) {
	core, held, conn := startSlowFront(t)
	ctx, cancel := context.WithCancel(t.Context())
	call(ctx, t, conn, "first")
	r := <-core
	held.Lock()
	cancel()
	require.Eventually(t, func() bool { return r.Conn.State() == broker.ClientUnconfirmed }, time.Second, time.Millisecond)
	held.Unlock()
	require.Eventually(t, func() bool { return r.Conn.State() == broker.ClientDisconnected }, time.Second, time.Millisecond)
}

// Guards against first attempts for a Flight client that has closed its connection behind its call, while the close is read slowly.
func TestCallIsNotSubmittedBeforeItsClientIsConfirmed(t *testing.T) {
	core, held, conn := startSlowFront(t)
	call(t.Context(), t, conn, "first")
	<-core
	held.Lock()
	ctx, cancel := context.WithCancel(t.Context())
	call(ctx, t, conn, "second")
	cancel() // stands behind the call
	time.Sleep(2 * broker.MaxUnconfirmed)
	held.Unlock()
	call(t.Context(), t, conn, "third")
	require.Equal(t, "third", (<-core).ID)
	require.Empty(t, core)
}
