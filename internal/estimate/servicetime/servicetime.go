// Package servicetime estimates how long record servers take for a part of a query, for the fleet and for each server. A
// latency counts divided by the concurrency that the part met, so that a queue of one's own does not pass for a slow server.
// The package decides nothing, does no I/O and takes the time as an argument; times and durations are seconds.
package servicetime

import "math"

// MinHalfLife is the least half-life of a server's own estimate, in seconds: that of a fleet that answers all the time.
const MinHalfLife = 1.0

const (
	rateWindow   = 5.0  // time constant of the answer rate
	averageSpan  = 2.0  // seconds of answers that make the fleet's mean
	meanHalfLife = 10.0 // of the fleet's mean: a broker that rejects everything hears no more of it
	recentSpan   = 2.0  // seconds of observations that outweigh older ones
	maxWeight    = 0.9  // the last observation never tells all
	maxHalfLife  = 15.0 // a fault may be over by then
	minAnswers   = 0.1  // answers a second
	minMean      = 1e-6 // no mean counts as shorter
)

// Fleet is the estimate over all servers. Its zero value has seen no answer.
type Fleet struct {
	Mean     float64 // seconds for one part; 0: not known
	HalfLife float64 // seconds in which a server's own estimate is half forgotten: the less is seen, the longer
	answers  float64 // decayed over rateWindow
}

// Advance lets elapsed seconds pass; so many servers are warm.
func (f *Fleet) Advance(elapsed, warmServers float64) {
	f.answers *= math.Exp(-elapsed / rateWindow)
	f.Mean *= math.Exp2(-elapsed / meanHalfLife)
	f.HalfLife = min(MinHalfLife+warmServers*rateWindow/max(f.answers, minAnswers), maxHalfLife)
}

// Answered counts an answer.
func (f *Fleet) Answered() { f.answers++ }

// Observe moves the mean towards a service time, by a weight from 0 to 1.
func (f *Fleet) Observe(serviceTime, weight float64) {
	f.Mean += weight * (serviceTime - f.Mean) / (1 + averageSpan*f.answers/rateWindow)
}

// Server is the estimate of one server. Its zero value has seen no answer.
type Server struct {
	Mean float64
	At   float64 // time of the latest observation
}

// Of is the service time of a server: its own as far as it is remembered, else the fleet's.
func (f *Fleet) Of(s *Server, now float64) float64 {
	return f.Mean + (s.Mean-f.Mean)*math.Exp2(-(now-s.At)/f.HalfLife)
}

// Relative is a server's service time as a multiple of the fleet's mean.
func (f *Fleet) Relative(s *Server, now float64) float64 {
	return f.Of(s, now) / max(f.Mean, minMean)
}

// ObserveServer moves a server's own estimate towards a service time that was seen now.
func (f *Fleet) ObserveServer(s *Server, serviceTime, now float64) {
	own := f.Of(s, now)
	s.Mean = own + ObservationWeight(now-s.At)*(serviceTime-own)
	s.At = now
}

// ObservationWeight is the weight of one more observation of a server, from 0 to 1, so many seconds after the latest: the
// rarer they are, the more each tells.
func ObservationWeight(elapsed float64) float64 {
	return min(maxWeight, 1-math.Exp2(-elapsed/recentSpan))
}
