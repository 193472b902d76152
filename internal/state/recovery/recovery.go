package recovery

import (
	"errors"
	"fmt"
	"math"

	"mothrouter/internal/decision"
	"mothrouter/internal/state/snapshot"
)

// How much an observation still counts. That a server is healthy fades faster than that it is not: to avoid a healthy
// server costs a little, to trust a dead one costs requests.
const (
	// MaxAge is how old a snapshot may be, in seconds: the fleet is another by then.
	MaxAge = 600.0

	clockSlack         = 0.5  // seconds by which a clock may seem to run ahead
	faultHalfLife      = 20.0 // seconds in which it halves that a server is slow or fails
	slowServerFactor   = 1.5  // times the fleet's service time from which a server counts as slow
	minFailureRatio    = 0.1  // from which a server counts as failing
	loadReportLifetime = 10.0 // seconds for which a load report holds: the fitness table is as old at worst
	peakHalfLife       = 30.0 // seconds in which the rate of warm servers halves
	minWeight          = 0.05 // less does not count
)

// Errors of snapshots that do not count any more.
var (
	ErrFuture = errors.New("written in the future: a clock went back")
	ErrStale  = errors.New("stale")
)

// CheckAge returns ErrFuture or ErrStale for a snapshot of which nothing counts any more, with its age; nil: it counts.
func CheckAge(s *snapshot.Snapshot, now float64) error {
	switch age := now - s.WrittenAt; {
	case age < -clockSlack:
		return fmt.Errorf("%w: %.1f s from now", ErrFuture, -age)
	case age > MaxAge:
		return fmt.Errorf("%w: %.0f s old, at most %.0f s", ErrStale, age, MaxAge)
	}
	return nil
}

// Restore returns, as the decision module's events, what of a snapshot still counts for the servers of a list, as it is
// now. The events follow the list. Of a server that has restarted since, drains, or was removed and came back as another
// process, nothing counts: it is never warm, healthy or unhealthy for what its predecessor was.
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

// peerObservation is what is restored of a server, as an observation of the time when it was made: the older it is, the
// more the module's first observation of its own weighs against it. That a server was fast is left out. A blank start takes
// each server for average, and a good past would make its first failures count for less.
func peerObservation(v snapshot.Server, s *snapshot.Snapshot, now float64) (o decision.PeerObservation, ok bool) {
	// Times within a snapshot that lie behind its end are no times.
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

// decay is what is left of 1 after an age.
func decay(age, halfLife float64) float64 { return math.Exp2(-math.Max(age, 0) / halfLife) }
