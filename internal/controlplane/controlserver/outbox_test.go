package controlserver

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"
)

func numbered(n, size int) []byte {
	message := make([]byte, size)
	binary.BigEndian.PutUint32(message, uint32(n))
	return message
}

func TestOutboxDropsTheOldestBeyondItsNumber(t *testing.T) {
	o := newOutbox()
	for i := range MaxQueued + 3 {
		o.put(numbered(i, 4))
	}
	require.Equal(t, uint64(3), o.totalDropped())
	for i := 3; i < MaxQueued+3; i++ {
		message, ok := o.drain()
		require.True(t, ok)
		require.Equal(t, numbered(i, 4), message)
	}
	_, ok := o.drain()
	require.False(t, ok)
	require.Zero(t, o.bytes)
}

func TestOutboxDropsTheOldestBeyondItsBytes(t *testing.T) {
	const size = 4 << 20
	o := newOutbox()
	for i := range MaxQueuedBytes/size + 2 {
		o.put(numbered(i, size))
		require.LessOrEqual(t, o.bytes, MaxQueuedBytes)
	}
	require.Equal(t, uint64(2), o.totalDropped())
	first, ok := o.drain()
	require.True(t, ok)
	require.Equal(t, numbered(2, size), first)
}
