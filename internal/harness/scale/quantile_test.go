package scale_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/harness/scale"
)

func TestPartQuantileIsRootIfAllPartsAreRequired(t *testing.T) {
	require.InDelta(t, math.Pow(0.99, 1.0/300), scale.PartQuantile(300, 1), 1e-9)
	require.InDelta(t, 0.99, scale.PartQuantile(1, 1), 1e-9)
}

func TestPartQuantileIsLowerWithMinCompleteness(t *testing.T) {
	with, without := scale.PartQuantile(300, 0.95), scale.PartQuantile(300, 1)
	require.Less(t, with, without)
	require.Greater(t, with, 0.95) // with a mean equal to the minimum completeness, half of the queries would be below it
}
