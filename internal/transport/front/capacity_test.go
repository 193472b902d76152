package front

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Beyond MaxIdleConns only the connection that is idle longest is evicted; a request that was read revokes the eviction.
func TestMarkIdleEvictsLongestIdle(t *testing.T) {
	f := New(Options{MaxConns: 9, MaxIdleConns: 2}, nil, nil)
	var conns []*conn
	for range 4 {
		sock, client := net.Pipe()
		defer client.Close()
		c := &conn{front: f, sock: sock}
		f.markIdle(c)
		conns = append(conns, c)
		if len(conns) == 2 { // after another request, the first is no longer the one that is idle longest
			f.markBusy(conns[0])
			f.markIdle(conns[0])
		}
	}
	var evicted []bool
	for _, c := range conns {
		evicted = append(evicted, c.evicted)
	}
	require.Equal(t, []bool{true, true, false, false}, evicted)
	f.markBusy(conns[1]) // a request was read before the eviction took effect
	require.False(t, conns[1].evicted)
	require.Equal(t, 2, f.idleConns.Len())
}

// A reservation beyond MaxBufferedBytes fails; one that shrinks succeeds and frees bytes for other connections.
func TestReserveBufferBoundsSum(t *testing.T) {
	f := New(Options{MaxConns: 2, MaxBufferedBytes: 100}, nil, nil)
	a, b := &conn{front: f}, &conn{front: f}
	require.True(t, f.reserveBuffer(a, 80))
	require.False(t, f.reserveBuffer(b, 80))
	require.True(t, f.reserveBuffer(b, 0))
	require.True(t, f.reserveBuffer(a, 10))
	require.True(t, f.reserveBuffer(b, 80))
}
