// Package serverstats keeps what one broker has observed of its record servers: attempts in flight, latencies, failures and
// load reports, and the estimates for each server and for the fleet that follow from these. It decides nothing, does no I/O
// and takes the time as an argument; times and durations are seconds.
package serverstats

import (
	"slices"

	"mothrouter/internal/estimate/failures"
	"mothrouter/internal/estimate/servicetime"
)

// abandonedLifetime is how long an abandoned attempt counts as queued, in seconds: about the time that a full queue takes.
const abandonedLifetime = 3.0

// Stats are those of one server. Use NewStats: absent values of a load report are not zero.
type Stats struct {
	InFlight         int             // this broker's attempts
	AnsweredAt       float64         // time of its latest success
	NewestAnsweredAt float64         // when the most recently sent of its successful attempts was sent
	BusySince        float64         // when the first attempt after its latest success was sent
	ObservedAt       float64         // time of its latest outcome or health check
	Failures         failures.Server // failure ratio
	ServiceTime      servicetime.Server
	LoadReport       LoadReport // the latest
	LoadReportedAt   float64    // when it was made; 0: there was none
	Fitness          float64    // by ComputeFitness, above 0 to 1; 0: no report was known then

	abandoned []abandonedAttempt
}

// abandonedAttempt is an attempt that the broker gave up but its server may still have queued.
type abandonedAttempt struct {
	sentAt float64
	until  float64 // end of abandonedLifetime
}

// NewStats returns the stats of a server that nothing was observed of.
func NewStats() Stats { return Stats{LoadReport: NoLoadReport} }

// Restarted resets what belonged to the server's previous process. Its service time stays.
func (s *Stats) Restarted() {
	s.LoadReport = NoLoadReport
	s.LoadReportedAt = 0
	s.Fitness = 0
	s.Failures.Ratio = 0
	s.abandoned = nil
}

// Sent records an attempt that is sent now.
func (s *Stats) Sent(now float64) {
	s.InFlight++
	if s.InFlight == 1 || s.BusySince <= s.AnsweredAt { // a server that answers is not silent about older attempts
		s.BusySince = now
	}
}

// QueueDepth returns the number of this broker's attempts at the server: those in flight, and abandoned ones that may still
// be queued.
func (s *Stats) QueueDepth(now float64) int {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(a abandonedAttempt) bool { return now > a.until })
	return s.InFlight + len(s.abandoned)
}

// Silence returns how long the server has had attempts in flight without any success; 0: it has none in flight, or has
// succeeded since.
func (s *Stats) Silence(now float64) float64 {
	if s.InFlight == 0 || s.BusySince < s.AnsweredAt {
		return 0
	}
	return now - s.BusySince
}

// abandon records an abandoned attempt.
func (s *Stats) abandon(sentAt, now float64) {
	s.abandoned = append(s.abandoned, abandonedAttempt{sentAt, now + abandonedLifetime})
}

// answered records a success. Queues are first in, first out, so attempts that were sent before it have left the queue.
func (s *Stats) answered(sentAt, now float64) {
	s.AnsweredAt = now
	s.NewestAnsweredAt = max(s.NewestAnsweredAt, sentAt)
	s.abandoned = slices.DeleteFunc(s.abandoned, func(a abandonedAttempt) bool { return a.sentAt <= sentAt })
}
