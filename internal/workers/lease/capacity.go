package lease

import (
	"math"
	"math/rand/v2"

	"mothrouter/internal/estimate/slowstart"
)

// CapacityEstimate estimates, for all workers of a process, the capacity of a server in slow start. The rate at which warm
// servers answer this process is a lower bound of their capacity and of the process's share of it.
type CapacityEstimate struct {
	settings slowstart.Settings
	brokers  int
	rng      *rand.Rand
	peak     slowstart.PeakRate
}

// NewCapacityEstimate returns an estimate without observations, for a process that is one of a number of brokers.
func NewCapacityEstimate(s slowstart.Settings, brokers int, rng *rand.Rand) *CapacityEstimate {
	return &CapacityEstimate{settings: s, brokers: brokers, rng: rng}
}

// Resize sets the number of brokers that share the servers.
func (e *CapacityEstimate) Resize(brokers int) { e.brokers = brokers }

// Answered records an answer from one of the warm servers. warm is the number of warm servers.
func (e *CapacityEstimate) Answered(now float64, warm int) {
	e.advance(now, warm)
	e.peak.Answered()
}

// advance advances the peak rate to a time.
func (e *CapacityEstimate) advance(now float64, warm int) {
	e.peak.Advance(now, float64(max(warm, 1)))
}

// CapacityFraction returns a lower bound of the fraction of its full capacity that a server has; 1: the server is warm.
// startedAt is the start time of the server's process; 0 or less: so long ago that the server is warm.
func (e *CapacityEstimate) CapacityFraction(startedAt, now float64) float64 {
	if startedAt <= 0 {
		return 1
	}
	return e.settings.CapacityFraction(now - startedAt)
}

// Budget returns how many parts this process may send within one window to a server that has a fraction of its full capacity.
// The budget is rounded to an integer stochastically: roundingVariate, which the caller draws with RoundingVariate once per
// window, is added before rounding down. If all brokers always rounded up, the excess would add up.
func (e *CapacityEstimate) Budget(capacityFraction, roundingVariate, now float64, warm int) float64 {
	e.advance(now, warm)
	return math.Floor(e.settings.Budget(capacityFraction, e.peak.Value, e.brokers) + roundingVariate)
}

// RoundingVariate draws the rounding variate of a server for one window, uniformly from [0, 1).
func (e *CapacityEstimate) RoundingVariate() float64 { return e.rng.Float64() }
