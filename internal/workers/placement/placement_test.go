package placement_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothrouter/internal/workers/placement"
)

func TestChoosePrefersLessLoadedWorker(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	loads := make([]placement.WorkerLoad, 4)
	for range 4000 {
		loads[placement.Choose(loads, rng)].InFlight++
	}
	for _, l := range loads {
		require.InDelta(t, 1000, l.InFlight, 20)
	}
	// A worker with a long backlog gets no more queries.
	loads[1].Backlog = 500
	before := loads[1].InFlight
	for range 400 {
		loads[placement.Choose(loads, rng)].InFlight++
	}
	require.Equal(t, before, loads[1].InFlight)
}

func TestChooseSkipsDeadWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		loads := make([]placement.WorkerLoad, rapid.IntRange(1, 6).Draw(t, "workers"))
		alive := 0
		for i := range loads {
			loads[i] = placement.WorkerLoad{InFlight: rapid.IntRange(0, 9).Draw(t, "in flight"), Dead: rapid.Bool().Draw(t, "dead")}
			if !loads[i].Dead {
				alive++
			}
		}
		for range 20 {
			w := placement.Choose(loads, rng)
			if alive == 0 {
				require.Equal(t, -1, w)
			} else {
				require.False(t, loads[w].Dead)
			}
		}
	})
}

func TestNameRegistryClaimsNameOnce(t *testing.T) {
	registry := placement.NewNameRegistry()
	require.True(t, registry.Claim("q", 0))
	require.False(t, registry.Claim("q", 1))
	worker, ok := registry.Worker("q")
	require.True(t, ok)
	require.Equal(t, 0, worker)
	registry.Release("q")
	require.True(t, registry.Claim("q", 1))
	require.Equal(t, 1, registry.Len())
}
