package failures_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/collections/median"
	"mothrouter/internal/estimate/failures"
)

const negligible = 1e-33

// fleet simulates servers in several zones with random failures.
type fleet struct {
	random   *rand.Rand
	ratios   failures.Ratios
	servers  []*failures.Server
	included map[*failures.Server]bool // servers included in the median
}

func newFleet(seed uint64, servers, zones int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 3)), ratios: failures.New(5, 0.05, negligible),
		included: map[*failures.Server]bool{}}
	for i := range servers {
		s := &failures.Server{Zone: i % zones}
		f.servers = append(f.servers, s)
		f.include(s)
	}
	return f
}

func (f *fleet) include(s *failures.Server) {
	f.ratios.Include(s)
	f.included[s] = true
}

// step advances the time by a random amount and simulates one event, usually an outcome of an attempt.
func (f *fleet) step(failureRatio float64) {
	f.ratios.Now += 0.005 * f.random.ExpFloat64()
	if f.random.IntN(500) == 0 {
		f.ratios.Now += 3 * f.random.Float64()
	}
	f.ratios.SlowHalfLife = 1 + 14*f.random.Float64()
	s := f.servers[f.random.IntN(len(f.servers))]
	switch f.random.IntN(60) {
	case 0:
		f.ratios.Exclude(s)
		delete(f.included, s)
	case 1:
		s.Ratio = 0
		f.include(s)
	case 2:
		f.ratios.RecordPeer(s, float64(f.random.IntN(2)), f.random.Float64(), f.ratios.Now+0.1*(f.random.Float64()-0.5))
	default:
		failed := 0.0
		if f.random.Float64() < failureRatio {
			failed = 1
		}
		f.ratios.Record(s, failed, 0.25+0.6*f.random.Float64(), failed == 1 && f.random.IntN(2) == 0)
	}
}

// computeMedian computes the ratios of all included servers and returns their median.
func (f *fleet) computeMedian() float64 {
	var ratios []float64
	for s := range f.included {
		ratios = append(ratios, f.ratios.Of(s))
	}
	return median.Lower(ratios)
}

// Guards against bounds that do not contain a server's ratio. After any sequence of events, the median must be bit-identical to
// that of all computed ratios, unless it is negligible.
func TestMedianMatchesSortOfRatios(t *testing.T) {
	notNegligible := 0 // number of medians that are not negligible
	for seed := range uint64(30) {
		zones := 1 + int(seed%5)
		f := newFleet(seed, 20+10*int(seed), zones)
		for range 1000 {
			f.step([]float64{0, 0.001, 0.02, 0.3, 0.9}[seed/2%5])
			if len(f.included) == 0 {
				continue
			}
			want, got := f.computeMedian(), f.ratios.Median()
			if math.Abs(want) < negligible {
				require.Less(t, math.Abs(got), negligible)
				continue
			}
			require.Equal(t, want, got, "seed %d, at %v", seed, f.ratios.Now)
			notNegligible++
		}
	}
	require.Greater(t, notNegligible, 5_000, "too few medians that are not negligible")
}

// A server's failures raise the ratios of the other servers in its zone only if there are several zones: the ratio of a single
// zone does not distinguish its servers from others.
func TestSingleZoneRatioIsIgnored(t *testing.T) {
	for zones := 1; zones <= 2; zones++ {
		f := newFleet(1, 10, zones)
		f.ratios.Now = 10
		for range 50 {
			f.ratios.Record(f.servers[0], 1, 0.25, false)
		}
		f.ratios.Now = 60
		f.ratios.Record(f.servers[0], 1, 0.25, false)
		other := f.ratios.Of(f.servers[2])
		require.Equal(t, zones > 1, other > 0.01, "%d zones: ratio of another server in the zone is %v", zones, other)
	}
}
