// Package serverstats keeps what one broker has observed of its record servers, namely attempts in flight, latencies, failures
// and load reports, and estimates derived from these for each server and for the fleet. It makes no decisions, does no I/O and
// takes the time as an argument; times and durations are in seconds.
package serverstats

import (
	"slices"

	"mothrouter/internal/estimate/failures"
	"mothrouter/internal/estimate/servicetime"
)

// abandonedLifetime is how long an abandoned attempt counts as queued, in seconds. It is about the time that a server takes to
// serve a full queue.
const abandonedLifetime = 3.0

// Stats holds the observations of one server. Use NewStats, because absent values of a load report are not zero.
type Stats struct {
	InFlight         int             // number of this broker's attempts in flight at the server
	AnsweredAt       float64         // time of the server's latest success
	NewestAnsweredAt float64         // send time of the most recently sent successful attempt
	BusySince        float64         // send time of the first attempt after the latest success
	ObservedAt       float64         // time of the latest outcome or health check
	Failures         failures.Server // failure ratio
	ServiceTime      servicetime.Server
	LoadReport       LoadReport // the latest load report
	LoadReportedAt   float64    // time of the latest load report; 0: there was none
	Fitness          float64    // as of the latest ComputeFitness, above 0 and at most 1; 0: the server had not reported its load

	abandonedAttempts []abandonedAttempt
}

// abandonedAttempt is an attempt that the broker has given up but that may still be in the server's queue.
type abandonedAttempt struct {
	sentAt    float64
	expiresAt float64 // time after which the attempt no longer counts as queued
}

// NewStats returns the stats of a server without observations.
func NewStats() Stats { return Stats{LoadReport: NoLoadReport} }

// Restarted records a restart of the server. It resets all observations of the previous process except the service time.
func (s *Stats) Restarted() {
	s.LoadReport = NoLoadReport
	s.LoadReportedAt = 0
	s.Fitness = 0
	s.Failures.Ratio = 0
	s.abandonedAttempts = nil
}

// Sent records an attempt sent at the time now.
func (s *Stats) Sent(now float64) {
	s.InFlight++
	if s.InFlight == 1 || s.BusySince <= s.AnsweredAt { // after a success, silence is measured from the next attempt
		s.BusySince = now
	}
}

// QueueDepth returns the number of this broker's attempts at the server: attempts in flight and abandoned attempts that may
// still be queued.
func (s *Stats) QueueDepth(now float64) int {
	s.abandonedAttempts = slices.DeleteFunc(s.abandonedAttempts, func(a abandonedAttempt) bool { return now > a.expiresAt })
	return s.InFlight + len(s.abandonedAttempts)
}

// Silence returns for how many seconds the server has had attempts in flight without a success, or 0 if it has none in flight
// or has not been sent an attempt since its latest success.
func (s *Stats) Silence(now float64) float64 {
	if s.InFlight == 0 || s.BusySince < s.AnsweredAt {
		return 0
	}
	return now - s.BusySince
}

// abandon records an attempt that was sent at sentAt and is given up now.
func (s *Stats) abandon(sentAt, now float64) {
	s.abandonedAttempts = append(s.abandonedAttempts, abandonedAttempt{sentAt, now + abandonedLifetime})
}

// answered records a success at the time now of an attempt sent at sentAt. Server queues are FIFO, so all attempts that were
// sent earlier have left the queue.
func (s *Stats) answered(sentAt, now float64) {
	s.AnsweredAt = now
	s.NewestAnsweredAt = max(s.NewestAnsweredAt, sentAt)
	s.abandonedAttempts = slices.DeleteFunc(s.abandonedAttempts, func(a abandonedAttempt) bool { return a.sentAt <= sentAt })
}
