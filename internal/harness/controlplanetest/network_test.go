package controlplanetest_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/harness/controlplanetest"
)

// dialEchoServer connects to a server that sends back what it gets, through a relay from "here" to "there".
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
	address, err := network.Relay("here", "there", server.Addr().String())
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

func echoByte(t *testing.T, conn net.Conn, within time.Duration) error {
	_, err := conn.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(within)))
	_, err = conn.Read(make([]byte, 1))
	return err
}

func TestRelayCutHoldsBytesOfOneDirection(t *testing.T) {
	for _, pair := range [][2]string{{"here", "there"}, {"there", "here"}} {
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
	network.SetFault("there", "here", controlplanetest.Fault{Delay: 200 * time.Millisecond})
	began := time.Now()
	require.NoError(t, echoByte(t, conn, 2*time.Second))
	require.GreaterOrEqual(t, time.Since(began), 200*time.Millisecond)
}
