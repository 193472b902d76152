package recent_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/collections/recent"
)

func TestDecayFactors(t *testing.T) {
	require.Equal(t, 1.0, recent.Decay(0, 5))
	require.InDelta(t, 1/math.E, recent.Decay(5, 5), 1e-15)
	require.Equal(t, 1.0, recent.HalfLifeDecay(0, 5))
	require.Equal(t, 0.25, recent.HalfLifeDecay(10, 5))
}
