package presence

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client *net.TCPConn, server net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	dialled, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	server, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		dialled.Close()
		server.Close()
	})
	return dialled.(*net.TCPConn), server
}

// requireState requires that the state becomes want within a second.
func requireState(t *testing.T, want broker.ClientState, tracker *Tracker) {
	t.Helper()
	require.Eventually(t, func() bool { return tracker.State() == want }, time.Second, time.Millisecond)
}

// Guards against attempts for a client whose close stands behind bytes that are read slowly.
func TestStateSeesCloseBehindUnreadBytes(t *testing.T) {
	for name, closeClient := range map[string]func(*net.TCPConn) error{
		"close":      (*net.TCPConn).Close,
		"half close": (*net.TCPConn).CloseWrite,
		"reset": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			tracker := NewTracker(server)
			require.Equal(t, broker.ClientConnected, tracker.State())
			_, err := client.Write(make([]byte, 10<<10))
			require.NoError(t, err)
			require.NoError(t, closeClient(client))
			requireState(t, broker.ClientDisconnected, tracker)
			require.True(t, tracker.Closed())
		})
	}
}

// Guards against attempts for a client whose close cannot be known, since the window is full of unread bytes.
func TestStateIsUnconfirmedWhileBytesAreUnread(t *testing.T) {
	client, server := connect(t)
	tracker := NewTracker(server)
	go func() {
		_, _ = client.Write(make([]byte, 64<<20)) // more than any window: it fails once the test has ended
		client.Close()
	}()
	time.Sleep(2 * broker.MaxUnconfirmed)
	require.Equal(t, broker.ClientUnconfirmed, tracker.State())
	tracker.IgnoreUnread()
	require.Equal(t, broker.ClientConnected, tracker.State())
}

// A connection whose client has sent nothing for long, and of which all has been read, is confirmed.
func TestStateIsConnectedOnceAllIsRead(t *testing.T) {
	client, server := connect(t)
	tracker := NewTracker(server)
	_, err := client.Write([]byte("x"))
	require.NoError(t, err)
	requireState(t, broker.ClientUnconfirmed, tracker)
	_, err = server.Read(make([]byte, 9))
	require.NoError(t, err)
	time.Sleep(2 * broker.MaxUnconfirmed)
	require.Equal(t, broker.ClientConnected, tracker.State())
}

// Guards against attempts for a call whose cancellation has been read from the socket but waits to be processed.
func TestStateIsUnconfirmedWhileBytesAreUnprocessed(t *testing.T) {
	client, server := connect(t)
	c := newConn(server)
	tracker := c.RemoteAddr().(Addr).Tracker
	_, err := client.Write([]byte("x"))
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 9))
	require.NoError(t, err)
	requireState(t, broker.ClientUnconfirmed, tracker)
	read := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 9)) // the byte has been processed
		read <- err
	}()
	requireState(t, broker.ClientConnected, tracker)
	client.Close()
	require.Error(t, <-read)
	require.Equal(t, broker.ClientDisconnected, tracker.State())
}

// A read that ends at its deadline is no close of the client, and a connection that the process has closed has no client.
func TestStateAfterDeadlineAndOwnClose(t *testing.T) {
	_, server := connect(t)
	c := newConn(server)
	require.NoError(t, c.SetReadDeadline(time.Unix(1, 0)))
	_, err := c.Read(make([]byte, 9))
	require.Error(t, err)
	tracker := c.RemoteAddr().(Addr).Tracker
	require.Equal(t, broker.ClientConnected, tracker.State())
	require.NoError(t, c.Close())
	requireState(t, broker.ClientDisconnected, tracker)
}

// A connection that is no socket counts as connected until it is marked as closed.
func TestStateOfPipe(t *testing.T) {
	one, other := net.Pipe()
	defer other.Close()
	defer one.Close()
	tracker := NewTracker(one)
	require.Equal(t, broker.ClientConnected, tracker.State())
	tracker.MarkClosed()
	require.Equal(t, broker.ClientDisconnected, tracker.State())
}

// Guards against attempts for a client that had left before its connection was accepted.
func TestStateOfConnectionClosedBeforeAccept(t *testing.T) {
	client, server := connect(t)
	_, err := client.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, client.Close())
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, broker.ClientDisconnected, NewTracker(server).State())
}
