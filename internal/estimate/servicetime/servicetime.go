// Package servicetime estimates how long record servers take for a part of a query, for the fleet and for each server. A
// latency is divided by the concurrency that the part met, so that the broker's own queue does not make a server look slow.
// The package decides nothing, does no I/O and takes the time as an argument; times and durations are seconds.
package servicetime

import (
	"mothrouter/internal/collections/recent"
)

// MinHalfLife is the least half-life of a server's own estimate, in seconds: that of a fleet that answers continuously.
const MinHalfLife = 1.0

const (
	rateWindow   = 5.0  // time constant of the answer count, in seconds: long enough for a steady rate
	averageSpan  = 2.0  // seconds of answers that the fleet's mean averages over
	meanHalfLife = 10.0 // seconds; without it, a broker that rejects everything would never see that the fleet has recovered
	recentSpan   = 2.0  // seconds without an observation after which the next one weighs half
	maxWeight    = 0.9  // of one observation: none replaces the estimate
	maxHalfLife  = 15.0 // seconds; a fault is mostly over by then
	minAnswers   = 0.1  // answer count below which the half-life grows no further
	minMean      = 1e-6 // seconds; least divisor of a relative service time
)

// Fleet is the estimate over all servers. Its zero value has seen no answer.
type Fleet struct {
	Mean     float64 // seconds for one part; 0: unknown
	HalfLife float64 // of a server's own estimate, seconds: the fewer answers, the longer
	answers  float64 // decayed over rateWindow
}

// Advance advances the estimate by elapsed seconds, after which warmServers servers are warm.
func (f *Fleet) Advance(elapsed, warmServers float64) {
	f.answers *= recent.Decay(elapsed, rateWindow)
	f.Mean *= recent.HalfLifeDecay(elapsed, meanHalfLife)
	// The mean time between the answers of one server.
	interval := warmServers * rateWindow / max(f.answers, minAnswers)
	f.HalfLife = min(MinHalfLife+interval, maxHalfLife)
}

// Answered records an answer.
func (f *Fleet) Answered() { f.answers++ }

// Observe moves the mean towards a service time, with a weight from 0 to 1.
func (f *Fleet) Observe(serviceTime, weight float64) {
	f.Mean += weight * (serviceTime - f.Mean) / (1 + averageSpan*f.answers/rateWindow)
}

// Server is the estimate of one server. Its zero value has seen no answer.
type Server struct {
	Mean float64 // at the time At
	At   float64 // time of the latest observation
}

// Of returns the service time of a server: its own estimate, which decays to the fleet's mean.
func (f *Fleet) Of(s *Server, now float64) float64 {
	return f.Mean + (s.Mean-f.Mean)*recent.HalfLifeDecay(now-s.At, f.HalfLife)
}

// Relative returns a server's service time as a multiple of the fleet's mean.
func (f *Fleet) Relative(s *Server, now float64) float64 {
	return f.Of(s, now) / max(f.Mean, minMean)
}

// ObserveServer moves a server's own estimate towards a service time that was observed now.
func (f *Fleet) ObserveServer(s *Server, serviceTime, now float64) {
	previous := f.Of(s, now)
	s.Mean = previous + ObservationWeight(now-s.At)*(serviceTime-previous)
	s.At = now
}

// ObservationWeight returns the weight, from 0 to 0.9, of an observation of a server that follows the previous one after
// elapsed seconds: the rarer observations are, the more each weighs.
func ObservationWeight(elapsed float64) float64 {
	return min(maxWeight, 1-recent.HalfLifeDecay(elapsed, recentSpan))
}
