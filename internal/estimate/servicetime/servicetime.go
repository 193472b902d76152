// Package servicetime estimates how long record servers take to serve one part of a query, for each server and as a mean over
// the fleet. A service time is a latency divided by the broker's concurrency at the server, so that the broker's own queue does
// not make a server look slow. The package makes no decisions, does no I/O and takes the time as an argument; times and
// durations are in seconds.
package servicetime

import (
	"mothrouter/internal/collections/recent"
)

// MinHalfLife is the minimum half-life of a server's own estimate, in seconds. It applies to a fleet that answers continuously.
const MinHalfLife = 1.0

const (
	rateWindow  = 5.0  // time constant of the answer count, in seconds: long enough for a steady rate
	averageSpan = 2.0  // time span of answers that the fleet's mean averages over, in seconds
	maxHalfLife = 15.0 // maximum half-life of a server's own estimate, in seconds: most faults are shorter
	minAnswers  = 0.1  // answer count below which the half-life grows no further
	minMean     = 1e-6 // lower bound of the mean that Relative divides by, in seconds

	// meanHalfLife is the half-life of the fleet's mean, in seconds. If the mean did not decay, a broker that rejects every query
	// would never detect that the fleet has recovered.
	meanHalfLife = 10.0

	observationHalfLife = 2.0 // time without an observation after which the next one has a weight of 0.5, in seconds
	maxWeight           = 0.9 // maximum weight of an observation, so that none replaces the estimate
)

// Fleet estimates the mean service time of all servers. The zero value is an estimate without answers.
type Fleet struct {
	Mean     float64 // service time of one part in seconds; 0: unknown
	HalfLife float64 // half-life of a server's own estimate, in seconds; longer if there are fewer answers
	answers  float64 // number of answers, decayed with the time constant rateWindow
}

// Advance decays the estimate by elapsed seconds. warmServers is the number of warm servers after that time.
func (f *Fleet) Advance(elapsed, warmServers float64) {
	f.answers *= recent.Decay(elapsed, rateWindow)
	f.Mean *= recent.HalfLifeDecay(elapsed, meanHalfLife)
	// interval is the mean time between two answers of one server.
	interval := warmServers * rateWindow / max(f.answers, minAnswers)
	f.HalfLife = min(MinHalfLife+interval, maxHalfLife)
}

// Answered counts an answer towards the answer rate, from which HalfLife is computed.
func (f *Fleet) Answered() { f.answers++ }

// Observe moves the fleet's mean towards an observed service time, with a weight from 0 to 1.
func (f *Fleet) Observe(serviceTime, weight float64) {
	f.Mean += weight * (serviceTime - f.Mean) / (1 + averageSpan*f.answers/rateWindow)
}

// Server holds the estimate of one server. The zero value is an estimate without answers.
type Server struct {
	Mean float64 // service time in seconds at the time At
	At   float64 // time of the latest observation
}

// Of returns the estimated service time of a server in seconds: its own estimate, decayed towards the fleet's mean.
func (f *Fleet) Of(s *Server, now float64) float64 {
	return f.Mean + (s.Mean-f.Mean)*recent.HalfLifeDecay(now-s.At, f.HalfLife)
}

// Relative returns a server's service time as a multiple of the fleet's mean.
func (f *Fleet) Relative(s *Server, now float64) float64 {
	return f.Of(s, now) / max(f.Mean, minMean)
}

// ObserveServer moves a server's own estimate towards a service time observed at the time now.
func (f *Fleet) ObserveServer(s *Server, serviceTime, now float64) {
	previous := f.Of(s, now)
	s.Mean = previous + ObservationWeight(now-s.At)*(serviceTime-previous)
	s.At = now
}

// ObservationWeight returns the weight, from 0 to 0.9, of an observation of a server made elapsed seconds after the previous
// one. The less frequent observations are, the higher is the weight of each.
func ObservationWeight(elapsed float64) float64 {
	return min(maxWeight, 1-recent.HalfLifeDecay(elapsed, observationHalfLife))
}
