package recovery

import (
	"errors"
	"fmt"
	"math"

	"mothrouter/internal/decision"
	"mothrouter/internal/state/snapshot"
)

// Decay of restored observations. Health decays faster than faults, since to avoid a healthy server costs little capacity,
// while to trust a dead one costs requests.
const (
	// MaxAge is the maximum age of a snapshot, in seconds. An older one describes a fleet that has changed since.
	MaxAge = 600.0

	clockSlack         = 0.5  // seconds by which a clock may seem to run ahead
	faultHalfLife      = 20.0 // seconds in which it halves that a server is slow or fails
	slowServerFactor   = 1.5  // times the fleet's service time from which a server counts as slow
	minFailureRatio    = 0.1  // from which a server counts as failing
	loadReportLifetime = 10.0 // seconds for which a load report holds: the fitness table is as old at worst
	peakHalfLife       = 30.0 // seconds in which the rate of warm servers halves
	minWeight          = 0.05 // less does not count
)

// Errors of CheckAge.
var (
	ErrFuture = errors.New("written in the future: a clock went back")
	ErrStale  = errors.New("stale")
)

// CheckAge returns nil for a snapshot that may be restored, else an error with its age that wraps ErrFuture or ErrStale.
func CheckAge(s *snapshot.Snapshot, now float64) error {
	switch age := now - s.WrittenAt; {
	case age < -clockSlack:
		return fmt.Errorf("%w: %.1f s from now", ErrFuture, -age)
	case age > MaxAge:
		return fmt.Errorf("%w: %.0f s old, at most %.0f s", ErrStale, age, MaxAge)
	}
	return nil
}

// Restore returns the valid state of a snapshot as events for the decision module, which must have handled the endpoint list
// before. State is valid only for a server that is ready and still the same process: nothing is restored of one that has
// restarted, drains or was replaced under its id.
func Restore(s *snapshot.Snapshot, list []decision.Server, now float64) (events []decision.Event) {
	if CheckAge(s, now) != nil {
		return nil
	}
	listed := make(map[string]decision.Server, len(list))
	for _, e := range list {
		listed[e.ID] = e
	}
	if weight := decay(now-s.WrittenAt, peakHalfLife); s.ServiceTime > 0 && weight >= minWeight {
		events = append(events, decision.RestoredState{ServiceTime: s.ServiceTime, PeakThroughput: s.PeakThroughput * weight})
	}
	for _, v := range s.Servers {
		e, here := listed[v.ID]
		if !here || e.State != decision.Ready || e.Started != v.Started || e.Started > s.WrittenAt {
			continue
		}
		if o, ok := peerObservation(v, s, now); ok {
			events = append(events, o)
		}
	}
	return events
}

// peerObservation returns the restored state of a server as an observation dated to when it was made, since the module's
// own observations outweigh older ones. It reports whether there is any. That a server was fast is not restored: without
// state each server counts as average, and a good past would reduce the weight of its first failures.
func peerObservation(v snapshot.Server, s *snapshot.Snapshot, now float64) (o decision.PeerObservation, ok bool) {
	// Times after the snapshot's own are invalid and count as its own.
	madeAt := func(t float64) float64 { return math.Min(t, s.WrittenAt) }
	age := func(t float64) float64 { return now - madeAt(t) }
	o = decision.PeerObservation{
		Server:     v.ID,
		At:         math.Min(madeAt(math.Max(v.FailureRatioAt, v.ServiceTimeAt)), now),
		LoadReport: decision.NoLoadReport,
	}
	weight := decay(age(v.FailureRatioAt), faultHalfLife)
	if v.FailureRatioAt > 0 && v.FailureRatio >= minFailureRatio && weight*v.FailureRatio >= minWeight {
		o.FailureRatio, o.Weight, ok = v.FailureRatio, weight, true
	}
	weight = decay(age(v.ServiceTimeAt), faultHalfLife)
	if v.ServiceTimeAt > 0 && s.ServiceTime > 0 && v.ServiceTime > slowServerFactor*s.ServiceTime && weight >= minWeight {
		o.ServiceTime, ok = s.ServiceTime+(v.ServiceTime-s.ServiceTime)*weight, true
	}
	if a := age(v.LoadReportedAt); v.LoadReportedAt > 0 && a >= 0 && a <= loadReportLifetime {
		o.LoadReport, o.LoadReportedAt, ok = v.LoadReport, madeAt(v.LoadReportedAt), true
	}
	return o, ok
}

// decay returns the factor by which a weight has decayed at an age.
func decay(age, halfLife float64) float64 { return math.Exp2(-math.Max(age, 0) / halfLife) }
