package serverstats

import (
	"cmp"

	"mothrouter/internal/collections/recent"
	"mothrouter/internal/estimate/failures"
	"mothrouter/internal/estimate/servicetime"
	"mothrouter/internal/estimate/slowstart"
)

const (
	zoneWeight       = 0.05  // weight of one outcome in a zone's failure ratio and in the disconnect ratio
	minFailureWeight = 0.25  // weight of one outcome in a server's failure ratio
	negligibleRatio  = 1e-33 // below 2^-108: 1 less a ratio and such a median rounds as 1 less the ratio
	failureHalfLife  = 5.0   // seconds in which a failure ratio halves; about a fault's shortest duration
)

// Fleet compares the servers of one broker. Use NewFleet.
type Fleet struct {
	Failures           failures.Ratios // of attempts, by server; those included are ready
	MedianFailureRatio float64         // 0 if negligible
	DisconnectRatio    float64         // averaged fraction of attempts that were refused or reset
	Latencies          []recent.Ring   // latest ones of parts, by class
	ServiceTime        servicetime.Fleet
	PeakRate           slowstart.PeakRate
	SlowStartWindows   slowstart.WindowUsage

	now         float64
	warmServers float64 // warm servers, at least a third of all
}

// NewFleet returns a fleet without servers whose queries are of so many classes.
func NewFleet(classes int) Fleet {
	return Fleet{
		Failures:  failures.New(failureHalfLife, zoneWeight, negligibleRatio),
		Latencies: make([]recent.Ring, classes),
	}
}

// Advance brings the estimates to a time, which never runs backwards. Of the servers known, so many warm up and are ready;
// slow start counts in windows.
func (f *Fleet) Advance(now float64, known, warming int, window float64) {
	elapsed := now - f.now
	f.now = now
	f.Failures.Now = now
	if f.Failures.Len() > 0 {
		f.MedianFailureRatio = f.Failures.Median()
	}
	f.warmServers = float64(max(f.Failures.Len()-warming, known/3, 1))
	f.SlowStartWindows.Advance(elapsed, float64(warming), window)
	f.PeakRate.Advance(now, f.warmServers)
	f.ServiceTime.Advance(elapsed, f.warmServers)
	f.Failures.SlowHalfLife = f.ServiceTime.HalfLife // broken links fade as slowly as service times
}

// Restore takes up what an earlier process knew: a service time, and the peak rate of a warm server's answers. It counts
// while this process has seen nothing.
func (f *Fleet) Restore(serviceTime, peakRate float64) {
	f.ServiceTime.Mean = cmp.Or(f.ServiceTime.Mean, serviceTime)
	f.PeakRate.Value = max(f.PeakRate.Value, peakRate)
}

// Warm is how many servers count as warm.
func (f *Fleet) Warm() float64 { return f.warmServers }

// RecordSuccess counts an outcome for a server, its zone and the links of this broker.
func (f *Fleet) RecordSuccess(s *Stats) { f.recordOutcome(s, 0, 0) }

// RecordFailure counts an outcome against a server, its zone and, if it was cut off, the links of this broker.
func (f *Fleet) RecordFailure(s *Stats, disconnected bool) {
	if disconnected {
		f.recordOutcome(s, 1, 1)
	} else {
		f.recordOutcome(s, 1, 0)
	}
}

func (f *Fleet) recordOutcome(s *Stats, failed, disconnected float64) {
	weight := max(minFailureWeight, servicetime.ObservationWeight(f.now-s.Failures.At))
	f.Failures.Record(&s.Failures, failed, weight, disconnected > 0)
	f.DisconnectRatio += zoneWeight * (disconnected - f.DisconnectRatio)
	s.ObservedAt = f.now
}

// Attempt is one that has ended.
type Attempt struct {
	Class       int
	SentAt      float64
	Latency     float64
	Concurrency float64 // this broker's attempts at the server when it was sent, itself included
}

func (a *Attempt) serviceTime() float64 { return a.Latency / a.Concurrency }

// RecordAnswer learns from an attempt that was answered. The weight, from 0 to 1, is how far the server tells how fast the
// fleet is: a few that hang do not make it slow. Whether the server has its whole capacity tells what it can bear.
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

// RecordTimeout learns from an attempt whose time was up, with a weight as for RecordAnswer.
func (f *Fleet) RecordTimeout(s *Stats, a Attempt, weight float64) {
	s.abandon(a.SentAt, f.now)
	f.ServiceTime.ObserveServer(&s.ServiceTime, a.serviceTime(), f.now)
	f.ServiceTime.Observe(a.serviceTime(), weight)
}

// RecordCancel learns from an attempt that was cancelled: that it took so long at least.
func (f *Fleet) RecordCancel(s *Stats, a Attempt) {
	s.abandon(a.SentAt, f.now)
	if a.serviceTime() > f.ServiceTime.Of(&s.ServiceTime, f.now) {
		f.ServiceTime.ObserveServer(&s.ServiceTime, a.serviceTime(), f.now)
	}
}

// RecordOverload learns from an attempt that met a full queue, which stands for a time. The weight is as for RecordAnswer.
func (f *Fleet) RecordOverload(queueTime, weight float64) { f.ServiceTime.Observe(queueTime, weight) }

// RecordPeer takes up what others saw of a server at a time, unless this broker's own observation is as new: a failure
// ratio with a weight from 0 to 1, and a service time; 0: not told.
func (f *Fleet) RecordPeer(s *Stats, at, failureRatio, weight, serviceTime float64) {
	if weight > 0 && at > s.Failures.At {
		f.Failures.RecordPeer(&s.Failures, failureRatio, weight, at)
	}
	if serviceTime > 0 && at > s.ServiceTime.At {
		s.ServiceTime = servicetime.Server{Mean: serviceTime, At: at}
	}
}
