package front

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Many large requests at once must not take the memory: one that would go beyond the bound is turned away,
// and what ends makes room.
func TestBuffersAreBounded(t *testing.T) {
	f := New(Options{ConnsMax: 2, Buffers: 100}, nil, nil)
	a, b := &conn{f: f}, &conn{f: f}
	require.True(t, f.buffer(a, 80))
	require.False(t, f.buffer(b, 80))
	require.True(t, f.buffer(b, 0))
	require.True(t, f.buffer(a, 10))
	require.True(t, f.buffer(b, 80))
}
