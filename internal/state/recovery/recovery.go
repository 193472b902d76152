package recovery

import (
	"errors"
	"fmt"
	"math"

	"mothrouter/internal/decision"
	"mothrouter/internal/state/snapshot"
)

// Decay of restored observations. Evidence that a server is healthy decays faster than evidence of a fault: avoiding a
// healthy server costs little capacity, while trusting a dead one costs requests.
const (
	// MaxAge is the maximum age of a snapshot, in seconds. A fleet changes too much in a longer time.
	MaxAge = 600.0

	clockSlack       = 0.5  // seconds by which the time of a snapshot may be ahead of the clock
	faultHalfLife    = 20.0 // half-life, in seconds, of the observation that a server is slow or failing
	slowServerFactor = 1.5  // a server counts as slow above this multiple of the fleet's service time
	minFailureRatio  = 0.1  // a server counts as failing from this failure ratio
	// loadReportLifetime is how long a load report is valid, in seconds: as long as a server fitness computed from load reports
	// is used.
	loadReportLifetime = 10.0
	peakHalfLife       = 30.0 // half-life, in seconds, of the peak throughput of warm servers
	minWeight          = 0.05 // observations of a lower weight are dropped
)

// Errors of CheckAge.
var (
	ErrFuture = errors.New("written in the future: a clock went back")
	ErrStale  = errors.New("stale")
)

// CheckAge returns nil if the age of a snapshot allows its use, or else an error that states the age and wraps ErrFuture or
// ErrStale.
func CheckAge(s *snapshot.Snapshot, now float64) error {
	switch age := now - s.WrittenAt; {
	case age < -clockSlack:
		return fmt.Errorf("%w: %.1f s from now", ErrFuture, -age)
	case age > MaxAge:
		return fmt.Errorf("%w: %.0f s old, at most %.0f s", ErrStale, age, MaxAge)
	}
	return nil
}

// Restore returns the valid state of a snapshot as events for a decision.Decider, which must have handled the endpoint list
// before. State is valid only for a server that is ready and still the same process; it is dropped if the server has
// restarted, is draining or was replaced by another under the same id.
func Restore(s *snapshot.Snapshot, list []decision.Server, now float64) (events []decision.Event) {
	if CheckAge(s, now) != nil {
		return nil
	}
	endpointsByID := make(map[string]decision.Server, len(list))
	for _, endpoint := range list {
		endpointsByID[endpoint.ID] = endpoint
	}
	if weight := decay(now-s.WrittenAt, peakHalfLife); s.ServiceTime > 0 && weight >= minWeight {
		events = append(events, decision.RestoredState{ServiceTime: s.ServiceTime, PeakThroughput: s.PeakThroughput * weight})
	}
	for _, saved := range s.Servers {
		endpoint, found := endpointsByID[saved.ID]
		if !found || endpoint.State != decision.Ready || endpoint.StartedAt != saved.StartedAt || endpoint.StartedAt > s.WrittenAt {
			continue
		}
		if observation, ok := peerObservation(saved, s, now); ok {
			events = append(events, observation)
		}
	}
	return events
}

// peerObservation returns the saved state of a server as an observation dated to when it was made, since the Decider's own
// observations outweigh older ones. ok is whether there is anything to restore. That a server was fast or reliable is not
// restored: without state every server counts as average, and a good history would reduce the weight of its first failures.
func peerObservation(saved snapshot.Server, s *snapshot.Snapshot, now float64) (observation decision.PeerObservation, ok bool) {
	// A time after that of the snapshot is invalid and is replaced by the snapshot's time.
	observedAt := func(t float64) float64 { return math.Min(t, s.WrittenAt) }
	age := func(t float64) float64 { return now - observedAt(t) }
	observation = decision.PeerObservation{
		Server:     saved.ID,
		At:         math.Min(observedAt(math.Max(saved.FailureRatioAt, saved.ServiceTimeAt)), now),
		LoadReport: decision.NoLoadReport,
	}
	weight := decay(age(saved.FailureRatioAt), faultHalfLife)
	if saved.FailureRatioAt > 0 && saved.FailureRatio >= minFailureRatio && weight*saved.FailureRatio >= minWeight {
		observation.FailureRatio, observation.Weight, ok = saved.FailureRatio, weight, true
	}
	weight = decay(age(saved.ServiceTimeAt), faultHalfLife)
	if saved.ServiceTimeAt > 0 && s.ServiceTime > 0 && saved.ServiceTime > slowServerFactor*s.ServiceTime && weight >= minWeight {
		observation.ServiceTime, ok = s.ServiceTime+(saved.ServiceTime-s.ServiceTime)*weight, true
	}
	if a := age(saved.LoadReportedAt); saved.LoadReportedAt > 0 && a >= 0 && a <= loadReportLifetime {
		observation.LoadReport, observation.LoadReportedAt, ok = saved.LoadReport, observedAt(saved.LoadReportedAt), true
	}
	return observation, ok
}

// decay returns the factor by which a weight decays over an age, both times in seconds.
func decay(age, halfLife float64) float64 { return math.Exp2(-math.Max(age, 0) / halfLife) }
