package serverstats

import (
	"cmp"

	"mothrouter/internal/collections/recent"
	"mothrouter/internal/estimate/failures"
	"mothrouter/internal/estimate/servicetime"
	"mothrouter/internal/estimate/slowstart"
)

const (
	zoneWeight       = 0.05  // of one outcome in its zone's failure ratio: about the zone's latest 20 outcomes count
	disconnectWeight = 0.05  // of one outcome in the disconnect ratio
	minFailureWeight = 0.25  // of one outcome in its server's failure ratio: about the latest 4 outcomes count
	negligibleRatio  = 1e-33 // below 2^-108, 1 less a ratio r and such a median rounds as 1-r
	failureHalfLife  = 5.0   // seconds; about the shortest fault

	// knownPerWarm bounds the warm servers from below by known servers: a mass restart must not credit a few servers with the
	// answers of all.
	knownPerWarm = 3
)

// Fleet compares the servers of one broker. Use NewFleet. It is not safe for concurrent use.
type Fleet struct {
	Failures           failures.Ratios // of the servers; the ready ones are included in the median
	MedianFailureRatio float64         // as of the latest Advance; 0 if negligible
	DisconnectRatio    float64         // moving average of the fraction of attempts that were refused or reset, 0 to 1
	Latencies          []recent.Ring   // of the latest answered parts, in seconds, by class
	ServiceTime        servicetime.Fleet
	PeakRate           slowstart.PeakRate
	SlowStartWindows   slowstart.WindowUsage

	now         float64 // time of the latest Advance
	warmServers float64 // see WarmServers
}

// NewFleet returns a fleet without servers, for queries of classes 0 to classes-1.
func NewFleet(classes int) Fleet {
	return Fleet{
		Failures:  failures.New(failureHalfLife, zoneWeight, negligibleRatio),
		Latencies: make([]recent.Ring, classes),
	}
}

// Advance advances the estimates to a time, which never runs backwards. Of known servers, warming are ready and in slow
// start, whose overload window is window seconds.
func (f *Fleet) Advance(now float64, known, warming int, window float64) {
	elapsed := now - f.now
	f.now = now
	f.Failures.Now = now
	if f.Failures.Len() > 0 {
		f.MedianFailureRatio = f.Failures.Median()
	}
	f.warmServers = float64(max(f.Failures.Len()-warming, known/knownPerWarm, 1))
	f.SlowStartWindows.Advance(elapsed, float64(warming), window)
	f.PeakRate.Advance(now, f.warmServers)
	f.ServiceTime.Advance(elapsed, f.warmServers)
	f.Failures.SlowHalfLife = f.ServiceTime.HalfLife // failures by disconnects decay as slowly as service times
}

// Restore sets what an earlier process had learned, unless this one has learned it already: a service time in seconds and a
// peak rate of a warm server in answers a second.
func (f *Fleet) Restore(serviceTime, peakRate float64) {
	f.ServiceTime.Mean = cmp.Or(f.ServiceTime.Mean, serviceTime)
	f.PeakRate.Value = max(f.PeakRate.Value, peakRate)
}

// WarmServers returns how many servers count as warm: those that are ready and not in slow start, but at least a third of the
// known ones, and at least 1.
func (f *Fleet) WarmServers() float64 { return f.warmServers }

// RecordSuccess records an outcome in favor of a server.
func (f *Fleet) RecordSuccess(s *Stats) { f.recordOutcome(s, 0, 0) }

// RecordFailure records an outcome against a server. disconnected is whether its connection was refused or reset.
func (f *Fleet) RecordFailure(s *Stats, disconnected bool) {
	if disconnected {
		f.recordOutcome(s, 1, 1)
	} else {
		f.recordOutcome(s, 1, 0)
	}
}

// recordOutcome records an outcome for a server, its zone and the disconnect ratio; failed and disconnected are 0 or 1.
func (f *Fleet) recordOutcome(s *Stats, failed, disconnected float64) {
	weight := max(minFailureWeight, servicetime.ObservationWeight(f.now-s.Failures.At))
	f.Failures.Record(&s.Failures, failed, weight, disconnected > 0)
	f.DisconnectRatio += disconnectWeight * (disconnected - f.DisconnectRatio)
	s.ObservedAt = f.now
}

// Attempt is an attempt that has ended.
type Attempt struct {
	Class       int
	SentAt      float64 // time
	Latency     float64 // seconds from SentAt to its end
	Concurrency float64 // this broker's attempts at the server when it was sent, itself included
}

// serviceTime returns the latency without the broker's own queue.
func (a *Attempt) serviceTime() float64 { return a.Latency / a.Concurrency }

// RecordAnswer records an attempt that was answered. weight, from 0 to 1, is the weight of the server in the fleet's service
// time: few stalled servers must not make the fleet look slow. Answers of a warm server count for the peak rate.
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

// RecordTimeout records an attempt that timed out, with a weight as for RecordAnswer.
func (f *Fleet) RecordTimeout(s *Stats, a Attempt, weight float64) {
	s.abandon(a.SentAt, f.now)
	f.ServiceTime.ObserveServer(&s.ServiceTime, a.serviceTime(), f.now)
	f.ServiceTime.Observe(a.serviceTime(), weight)
}

// RecordCancel records an attempt that was cancelled: its latency is a lower bound of the server's.
func (f *Fleet) RecordCancel(s *Stats, a Attempt) {
	s.abandon(a.SentAt, f.now)
	if a.serviceTime() > f.ServiceTime.Of(&s.ServiceTime, f.now) {
		f.ServiceTime.ObserveServer(&s.ServiceTime, a.serviceTime(), f.now)
	}
}

// RecordOverload records an attempt that was rejected by a full queue, with the service time that such a queue stands for and
// a weight as for RecordAnswer.
func (f *Fleet) RecordOverload(serviceTime, weight float64) {
	f.ServiceTime.Observe(serviceTime, weight)
}

// RecordPeer records what another broker or loop observed of a server at a time: a failure ratio, with a weight from 0 to 1,
// and a service time in seconds; 0: none. Each counts only if it is newer than this broker's own.
func (f *Fleet) RecordPeer(s *Stats, at, failureRatio, weight, serviceTime float64) {
	if weight > 0 && at > s.Failures.At {
		f.Failures.RecordPeer(&s.Failures, failureRatio, weight, at)
	}
	if serviceTime > 0 && at > s.ServiceTime.At {
		s.ServiceTime = servicetime.Server{Mean: serviceTime, At: at}
	}
}
