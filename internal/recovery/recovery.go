package recovery

import (
	"fmt"
	"math"

	"mothrouter/internal/decision"
	"mothrouter/internal/snapshot"
)

// What a fact is still worth. A belief that a server is well fades faster than one that it is ill: to shun a sound
// server costs a little, to trust a dead one costs requests.
const (
	// MaxAge is how old a snapshot may be: the fleet is another by then.
	MaxAge = 600.0

	clockSlack = 0.5  // seconds by which a clock may seem to run ahead
	illHalf    = 20.0 // seconds in which it halves that a server is slow or fails
	slowFrom   = 1.5  // times the pace of all from which a server counts as slow
	reportMost = 10.0 // seconds for which a load report holds: the table of fitness is as old at worst
	peakHalf   = 30.0 // in which the rate of warm servers halves
	leastWorth = 0.05 // less is not worth a word
	illFrom    = 0.1  // share of failures from which a server counts as ill
)

// Stale tells why a snapshot is worth nothing; "": it is worth something.
func Stale(s *snapshot.Snapshot, now float64) string {
	switch age := now - s.Written; {
	case age < -clockSlack:
		return fmt.Sprintf("it was written %.1f s from now: a clock went back", -age)
	case age > MaxAge:
		return fmt.Sprintf("it is %.0f s old", age)
	}
	return ""
}

// Restore returns, as the module's events, what a snapshot is still worth for the servers of a list, as it is now.
// The events follow the list. Of a server that has started since, drains, or has left and come back as another
// process, nothing holds: it never looks warm, well or ill for what its predecessor was.
func Restore(s *snapshot.Snapshot, list []decision.Server, now float64) (events []decision.Event) {
	if Stale(s, now) != "" {
		return nil
	}
	listed := make(map[string]decision.Server, len(list))
	for _, e := range list {
		listed[e.ID] = e
	}
	if worth := half(now-s.Written, peakHalf); s.Pace > 0 && worth >= leastWorth {
		events = append(events, decision.RestoredState{ServiceTime: s.Pace, PeakThroughput: s.Peak * worth})
	}
	for _, v := range s.Servers {
		e, here := listed[v.ID]
		if !here || e.State != decision.Ready || e.Started != v.Started || e.Started > s.Written {
			continue
		}
		if h, ok := heard(v, s, now); ok {
			events = append(events, h)
		}
	}
	return events
}

// heard is what is remembered of a server, as hearsay of the time when it was so: the older it is, the more the
// module's first news of its own weighs against it. That a server was quick is not told at all. A blank start takes
// each server for average, and hearsay of a good past would make its first bad news count for less.
func heard(v snapshot.Server, s *snapshot.Snapshot, now float64) (h decision.PeerObservation, ok bool) {
	// Times within a snapshot that lie behind its end are no times.
	at := func(t float64) float64 { return math.Min(t, s.Written) }
	age := func(t float64) float64 { return now - at(t) }
	h = decision.PeerObservation{Server: v.ID, At: math.Min(at(math.Max(v.FailedAt, v.PaceAt)), now), LoadReport: decision.NoLoadReport}
	if worth := half(age(v.FailedAt), illHalf); v.FailedAt > 0 && v.Failed >= illFrom && worth*v.Failed >= leastWorth {
		h.FailureRatio, h.Weight, ok = v.Failed, worth, true
	}
	if worth := half(age(v.PaceAt), illHalf); v.PaceAt > 0 && s.Pace > 0 && v.Pace > slowFrom*s.Pace && worth >= leastWorth {
		h.ServiceTime, ok = s.Pace+(v.Pace-s.Pace)*worth, true
	}
	if v.LoadAt > 0 && age(v.LoadAt) <= reportMost && age(v.LoadAt) >= 0 {
		h.LoadReport, h.LoadReportedAt, ok = v.Load, math.Min(v.LoadAt, s.Written), true
	}
	return h, ok
}

// half is what is left of 1 after an age that halves it in a span.
func half(age, span float64) float64 { return math.Exp2(-math.Max(age, 0) / span) }
