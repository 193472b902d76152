package front

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Clients that ask once and hold their connection for good must not use up what clients may hold together: of
// too many idle connections the longest idle is closed, and no other.
func TestMarkIdleEvictsLongestIdle(t *testing.T) {
	f := New(Options{MaxConns: 9, MaxIdleConns: 2}, nil, nil)
	var conns []*conn
	for range 4 {
		sock, peer := net.Pipe()
		defer peer.Close()
		c := &conn{front: f, sock: sock}
		f.markIdle(c)
		conns = append(conns, c)
		if len(conns) == 2 { // the first asks again, and so is not the longest idle
			f.markBusy(conns[0])
			f.markIdle(conns[0])
		}
	}
	var evicted []bool
	for _, c := range conns {
		evicted = append(evicted, c.evicted)
	}
	require.Equal(t, []bool{true, true, false, false}, evicted)
	f.markBusy(conns[1]) // its request was read just before it looked: it goes on
	require.False(t, conns[1].evicted)
	require.Equal(t, 2, f.idleConns.Len())
}

// Many large requests at once must not take the memory: one that would go beyond the bound is turned away,
// and what ends makes room.
func TestReserveBufferBoundsSum(t *testing.T) {
	f := New(Options{MaxConns: 2, MaxBufferedBytes: 100}, nil, nil)
	a, b := &conn{front: f}, &conn{front: f}
	require.True(t, f.reserveBuffer(a, 80))
	require.False(t, f.reserveBuffer(b, 80))
	require.True(t, f.reserveBuffer(b, 0))
	require.True(t, f.reserveBuffer(a, 10))
	require.True(t, f.reserveBuffer(b, 80))
}
