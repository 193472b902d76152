package controlplanetest_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/harness/controlplanetest"
)

// dialEchoServer starts a server that echoes all bytes, and connects to it through a relay from site "client" to site "server".
func dialEchoServer(t *testing.T) (*controlplanetest.Network, net.Conn) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	network := controlplanetest.NewNetwork()
	address, err := network.Relay("client", "server", server.Addr().String())
	require.NoError(t, err)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() {
		conn.Close()
		server.Close()
		network.Close()
	})
	return network, conn
}

// echoByte sends one byte and returns the error of reading its echo within a time.
func echoByte(t *testing.T, conn net.Conn, within time.Duration) error {
	_, err := conn.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(within)))
	_, err = conn.Read(make([]byte, 1))
	return err
}

func TestCutHoldsBackBytesOfOneDirection(t *testing.T) {
	for _, pair := range [][2]string{{"client", "server"}, {"server", "client"}} {
		network, conn := dialEchoServer(t)
		require.NoError(t, echoByte(t, conn, 2*time.Second))
		network.SetFault(pair[0], pair[1], controlplanetest.Fault{Cut: true})
		require.Error(t, echoByte(t, conn, 100*time.Millisecond))
		network.SetFault(pair[0], pair[1], controlplanetest.Fault{})
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
		_, err := conn.Read(make([]byte, 1))
		require.NoError(t, err)
	}
}

func TestRelayDelaysOneDirection(t *testing.T) {
	network, conn := dialEchoServer(t)
	require.NoError(t, echoByte(t, conn, 2*time.Second))
	network.SetFault("server", "client", controlplanetest.Fault{Delay: 200 * time.Millisecond})
	startedAt := time.Now()
	require.NoError(t, echoByte(t, conn, 2*time.Second))
	require.GreaterOrEqual(t, time.Since(startedAt), 200*time.Millisecond)
}
