package controlserver

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"
)

// numberedMessage returns a message of the given size that starts with a number.
func numberedMessage(number, size int) []byte {
	message := make([]byte, size)
	binary.BigEndian.PutUint32(message, uint32(number))
	return message
}

func TestOutboxDropsOldestBeyondMaxMessages(t *testing.T) {
	o := newOutbox()
	for i := range MaxQueuedMessages + 3 {
		o.push(numberedMessage(i, 4))
	}
	require.Equal(t, uint64(3), o.droppedCount())
	for i := 3; i < MaxQueuedMessages+3; i++ {
		message, ok := o.pop()
		require.True(t, ok)
		require.Equal(t, numberedMessage(i, 4), message)
	}
	_, ok := o.pop()
	require.False(t, ok)
	require.Zero(t, o.bytes)
}

func TestOutboxDropsOldestBeyondMaxBytes(t *testing.T) {
	const size = 4 << 20
	o := newOutbox()
	for i := range MaxQueuedBytes/size + 2 {
		o.push(numberedMessage(i, size))
		require.LessOrEqual(t, o.bytes, MaxQueuedBytes)
	}
	require.Equal(t, uint64(2), o.droppedCount())
	first, ok := o.pop()
	require.True(t, ok)
	require.Equal(t, numberedMessage(2, size), first)
}
