package serverstats

import (
	"cmp"

	"mothrouter/internal/collections/recent"
	"mothrouter/internal/estimate/failures"
	"mothrouter/internal/estimate/servicetime"
	"mothrouter/internal/estimate/slowstart"
)

const (
	zoneWeight       = 0.05 // weight of one outcome in its zone's failure ratio, which averages about the latest 20 outcomes
	disconnectWeight = 0.05 // weight of one outcome in the disconnect ratio
	minFailureWeight = 0.25 // minimum weight of one outcome in its server's failure ratio, which averages about the latest 4
	failureHalfLife  = 5.0  // half-life of failure ratios in seconds, about the duration of the shortest fault

	// negligibleRatio is the median failure ratio below which the median counts as 0. For a failure ratio r and a median m below
	// 2^-108, 1-(r-m) rounds to the same value as 1-r.
	negligibleRatio = 1e-33

	// At least one in knownPerWarm known servers counts as warm. Without this lower bound, the answers of all servers would be
	// attributed to a few after a mass restart.
	knownPerWarm = 3
)

// Fleet holds the estimates of one broker over all its servers. Use NewFleet. It is not safe for concurrent use.
type Fleet struct {
	Failures           failures.Ratios // failure ratios of the servers; the median is over those that are ready
	MedianFailureRatio float64         // as of the latest Advance; 0 if negligible
	DisconnectRatio    float64         // moving average of the fraction of attempts that were refused or reset, 0 to 1
	Latencies          []recent.Ring   // latencies of the latest answered parts in seconds, by class
	ServiceTime        servicetime.Fleet
	PeakRate           slowstart.PeakRate
	SlowStartWindows   slowstart.WindowUsage

	now         float64 // time of the latest Advance
	warmServers float64 // see WarmServers
}

// NewFleet returns a fleet without servers, for queries of the classes 0 to classes-1.
func NewFleet(classes int) Fleet {
	return Fleet{
		Failures:  failures.New(failureHalfLife, zoneWeight, negligibleRatio),
		Latencies: make([]recent.Ring, classes),
	}
}

// Advance advances the estimates to the time now, which must not run backwards. knownServers is the number of known servers,
// warmingServers the number of those that are ready and in slow start, and window the overload window of slow start in seconds.
func (f *Fleet) Advance(now float64, knownServers, warmingServers int, window float64) {
	elapsed := now - f.now
	f.now = now
	f.Failures.Now = now
	if f.Failures.Len() > 0 {
		f.MedianFailureRatio = f.Failures.Median()
	}
	f.warmServers = float64(max(f.Failures.Len()-warmingServers, knownServers/knownPerWarm, 1))
	f.SlowStartWindows.Advance(elapsed, float64(warmingServers), window)
	f.PeakRate.Advance(now, f.warmServers)
	f.ServiceTime.Advance(elapsed, f.warmServers)
	f.Failures.SlowHalfLife = f.ServiceTime.HalfLife // failures by refused or reset connections decay as slowly as service times
}

// Restore sets estimates that an earlier process has learned: the mean service time in seconds and the peak rate of a warm
// server in answers per second. It does not replace a service time that this process has already learned, and does not lower
// the peak rate.
func (f *Fleet) Restore(serviceTime, peakRate float64) {
	f.ServiceTime.Mean = cmp.Or(f.ServiceTime.Mean, serviceTime)
	f.PeakRate.Value = max(f.PeakRate.Value, peakRate)
}

// WarmServers returns how many servers count as warm: those that are ready and not in slow start, but at least a third of the
// known ones, and at least 1.
func (f *Fleet) WarmServers() float64 { return f.warmServers }

// RecordSuccess records a successful outcome of a server.
func (f *Fleet) RecordSuccess(s *Stats) { f.recordOutcome(s, 0, 0) }

// RecordFailure records a failed outcome of a server. disconnected reports whether the connection was refused or reset.
func (f *Fleet) RecordFailure(s *Stats, disconnected bool) {
	if disconnected {
		f.recordOutcome(s, 1, 1)
	} else {
		f.recordOutcome(s, 1, 0)
	}
}

// recordOutcome updates the failure ratios of a server and its zone, and the disconnect ratio. failed and disconnected are 0
// or 1.
func (f *Fleet) recordOutcome(s *Stats, failed, disconnected float64) {
	weight := max(minFailureWeight, servicetime.ObservationWeight(f.now-s.Failures.At))
	f.Failures.Record(&s.Failures, failed, weight, disconnected > 0)
	f.DisconnectRatio += disconnectWeight * (disconnected - f.DisconnectRatio)
	s.ObservedAt = f.now
}

// Attempt is an attempt that has ended.
type Attempt struct {
	Class       int     // class of the query
	SentAt      float64 // time at which the attempt was sent
	Latency     float64 // seconds from SentAt to the end of the attempt
	Concurrency float64 // number of this broker's attempts at the server at the time SentAt, including this one
}

// serviceTime returns the latency divided by the concurrency, so that it does not include the wait in the broker's own queue.
func (a *Attempt) serviceTime() float64 { return a.Latency / a.Concurrency }

// RecordAnswer records an attempt that was answered. weight, from 0 to 1, is the weight of the server in the fleet's service
// time, so that a few stalled servers do not make the fleet look slow. Answers of warm servers count towards the peak rate.
func (f *Fleet) RecordAnswer(s *Stats, a Attempt, weight float64, warm bool) {
	f.ServiceTime.ObserveServer(&s.ServiceTime, a.serviceTime(), f.now)
	f.ServiceTime.Observe(a.serviceTime(), weight)
	s.answered(a.SentAt, f.now)
	f.Latencies[a.Class].Add(a.Latency)
	f.ServiceTime.Answered()
	if warm {
		f.PeakRate.Answered()
	}
}

// RecordTimeout records an attempt that timed out. weight is the same as in RecordAnswer.
func (f *Fleet) RecordTimeout(s *Stats, a Attempt, weight float64) {
	s.abandon(a.SentAt, f.now)
	f.ServiceTime.ObserveServer(&s.ServiceTime, a.serviceTime(), f.now)
	f.ServiceTime.Observe(a.serviceTime(), weight)
}

// RecordCancel records an attempt that was cancelled. Its latency is a lower bound of the server's latency, so it can only
// raise the server's service time.
func (f *Fleet) RecordCancel(s *Stats, a Attempt) {
	s.abandon(a.SentAt, f.now)
	if a.serviceTime() > f.ServiceTime.Of(&s.ServiceTime, f.now) {
		f.ServiceTime.ObserveServer(&s.ServiceTime, a.serviceTime(), f.now)
	}
}

// RecordOverload records an attempt that was rejected because of a full queue. serviceTime is the service time in seconds that
// a full queue implies, and weight is the same as in RecordAnswer.
func (f *Fleet) RecordOverload(serviceTime, weight float64) {
	f.ServiceTime.Observe(serviceTime, weight)
}

// RecordPeer records what another broker or another event loop of this process observed of a server at the time at: a failure
// ratio with a weight from 0 to 1, and a service time in seconds. A weight of 0 means that no failure ratio was observed, and a
// service time of 0 that no service time was. Each of the two counts only if it is newer than the latest one recorded for the
// server.
func (f *Fleet) RecordPeer(s *Stats, at, failureRatio, weight, serviceTime float64) {
	if weight > 0 && at > s.Failures.At {
		f.Failures.RecordPeer(&s.Failures, failureRatio, weight, at)
	}
	if serviceTime > 0 && at > s.ServiceTime.At {
		s.ServiceTime = servicetime.Server{Mean: serviceTime, At: at}
	}
}
