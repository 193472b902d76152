package lease

import (
	"math"
	"math/rand/v2"

	"mothrouter/internal/estimate/slowstart"
)

// CapacityEstimate estimates, for all workers of a process, the capacity of a server in slow start. The rate at which warm
// servers answered this process is a lower bound of their capacity and of the process's share of it.
type CapacityEstimate struct {
	settings slowstart.Settings
	brokers  int
	rng      *rand.Rand
	peak     slowstart.PeakRate
}

// NewCapacityEstimate returns an estimate without observations, for one of a number of brokers.
func NewCapacityEstimate(s slowstart.Settings, brokers int, rng *rand.Rand) *CapacityEstimate {
	return &CapacityEstimate{settings: s, brokers: brokers, rng: rng}
}

// Resize sets the number of brokers that share the servers.
func (e *CapacityEstimate) Resize(brokers int) { e.brokers = brokers }

// Answered records an answer of one of the warm servers, whose number is warm.
func (e *CapacityEstimate) Answered(now float64, warm int) {
	e.advance(now, warm)
	e.peak.Answered()
}

func (e *CapacityEstimate) advance(now float64, warm int) {
	e.peak.Advance(now, float64(max(warm, 1)))
}

// CapacityFraction is the fraction of its capacity that a server surely has now; 1: it is warm. started is when its process
// started; 0 or less: long ago.
func (e *CapacityEstimate) CapacityFraction(started, now float64) float64 {
	if started <= 0 {
		return 1
	}
	return e.settings.CapacityFraction(now - started)
}

// Budget is how many parts this process may send within one window to a server that has a fraction of its capacity.
// A fractional budget is rounded by a variate that is drawn anew for each window: rounding up always would add up over the
// brokers.
func (e *CapacityEstimate) Budget(capacityFraction, roundingVariate, now float64, warm int) float64 {
	e.advance(now, warm)
	return math.Floor(e.settings.Budget(capacityFraction, e.peak.Value, e.brokers) + roundingVariate)
}

// RoundingVariate draws a server's rounding variate for a window, uniformly from 0 to 1.
func (e *CapacityEstimate) RoundingVariate() float64 { return e.rng.Float64() }
