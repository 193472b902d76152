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

// fleet is what a broker sees of servers in zones that fail now and then.
type fleet struct {
	random  *rand.Rand
	ratios  failures.Ratios
	records []*failures.Server
	in      map[*failures.Server]bool
}

func newFleet(seed uint64, servers, zones int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 3)), ratios: failures.New(5, 0.05, negligible),
		in: map[*failures.Server]bool{}}
	for i := range servers {
		r := &failures.Server{Zone: i % zones}
		f.records = append(f.records, r)
		f.include(r)
	}
	return f
}

func (f *fleet) include(r *failures.Server) {
	f.ratios.Include(r)
	f.in[r] = true
}

// step passes some time and one event, an outcome most of the times.
func (f *fleet) step(failureRatio float64) {
	f.ratios.Now += 0.005 * f.random.ExpFloat64()
	if f.random.IntN(500) == 0 {
		f.ratios.Now += 3 * f.random.Float64()
	}
	f.ratios.SlowHalfLife = 1 + 14*f.random.Float64()
	r := f.records[f.random.IntN(len(f.records))]
	switch f.random.IntN(60) {
	case 0:
		f.ratios.Exclude(r)
		delete(f.in, r)
	case 1:
		r.Ratio = 0
		f.include(r)
	case 2:
		f.ratios.RecordPeer(r, float64(f.random.IntN(2)), f.random.Float64(), f.ratios.Now+0.1*(f.random.Float64()-0.5))
	default:
		failed := 0.0
		if f.random.Float64() < failureRatio {
			failed = 1
		}
		f.ratios.Record(r, failed, 0.25+0.6*f.random.Float64(), failed == 1 && f.random.IntN(2) == 0)
	}
}

// plain is the median of all ratios, each computed.
func (f *fleet) plain() float64 {
	var values []float64
	for r := range f.in {
		values = append(values, f.ratios.Of(r))
	}
	return median.Lower(values)
}

// Whatever befalls the servers, the median is to the bit that of all ratios, but for negligible ones.
func TestMedianMatchesSortOfRatios(t *testing.T) {
	above := 0
	for seed := range uint64(30) {
		zones := 1 + int(seed%5)
		f := newFleet(seed, 20+10*int(seed), zones)
		for range 1000 {
			f.step([]float64{0, 0.001, 0.02, 0.3, 0.9}[seed/2%5])
			if len(f.in) == 0 {
				continue
			}
			want, got := f.plain(), f.ratios.Median()
			if math.Abs(want) < negligible {
				require.Less(t, math.Abs(got), negligible)
				continue
			}
			require.Equal(t, want, got, "seed %d, at %v", seed, f.ratios.Now)
			above++
		}
	}
	require.Greater(t, above, 5_000, "medians that are not negligible")
}

// Servers of one zone are compared with nothing: it would tell nothing of them.
func TestSingleZoneRatioIsIgnored(t *testing.T) {
	for zones := 1; zones <= 2; zones++ {
		f := newFleet(1, 10, zones)
		f.ratios.Now = 10
		for range 50 {
			f.ratios.Record(f.records[0], 1, 0.25, false)
		}
		f.ratios.Now = 60
		f.ratios.Record(f.records[0], 1, 0.25, false)
		other := f.ratios.Of(f.records[2])
		require.Equal(t, zones > 1, other > 0.01, "%d zones: its neighbour's share is %v", zones, other)
	}
}
