// Package serverstats keeps what one broker has seen of its record servers: attempts in flight, latencies, failures and
// load reports, and what can be estimated from these for each server and for the fleet. It decides nothing, does no I/O and
// takes the time as an argument; times and durations are seconds.
package serverstats

import (
	"slices"

	"mothrouter/internal/estimate/failures"
	"mothrouter/internal/estimate/servicetime"
)

// abandonedLifetime is for how long an abandoned attempt counts as queued: about the length of a full queue.
const abandonedLifetime = 3.0

// Stats are those of one server. Use NewStats: absent values of a load report are not zero.
type Stats struct {
	InFlight         int     // this broker's attempts
	AnsweredAt       float64 // its latest success
	NewestAnsweredAt float64 // when the latest attempt was sent that it answered
	BusySince        float64 // when the first attempt was sent after its latest success
	ObservedAt       float64 // its latest outcome, or when its health was last checked
	Failures         failures.Server
	ServiceTime      servicetime.Server
	LoadReport       LoadReport
	LoadReportedAt   float64 // 0: never
	Fitness          float64 // from its load report; 0: unreported when it was last computed

	abandoned []abandonedAttempt
}

// abandonedAttempt was given up; its server may still work through it until then.
type abandonedAttempt struct{ sentAt, until float64 }

// NewStats returns what is known of a server before anything was seen of it.
func NewStats() Stats { return Stats{LoadReport: NoLoadReport} }

// Restarted forgets what ended with the server's old process.
func (s *Stats) Restarted() {
	s.LoadReport = NoLoadReport
	s.LoadReportedAt = 0
	s.Fitness = 0
	s.Failures.Ratio = 0
	s.abandoned = nil
}

// Sent counts an attempt that is sent now.
func (s *Stats) Sent(now float64) {
	s.InFlight++
	if s.InFlight == 1 || s.BusySince <= s.AnsweredAt { // one that answers owes nothing older
		s.BusySince = now
	}
}

// QueueDepth counts this broker's attempts at the server: those in flight, and abandoned ones that may still be queued.
func (s *Stats) QueueDepth(now float64) int {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(a abandonedAttempt) bool { return now > a.until })
	return s.InFlight + len(s.abandoned)
}

// Silence is for how long the server has had attempts in flight without answering any; 0: it owes no answer.
func (s *Stats) Silence(now float64) float64 {
	if s.InFlight == 0 || s.BusySince < s.AnsweredAt {
		return 0
	}
	return now - s.BusySince
}

// abandon counts an attempt as queued that was given up.
func (s *Stats) abandon(sentAt, now float64) {
	s.abandoned = append(s.abandoned, abandonedAttempt{sentAt, now + abandonedLifetime})
}

// answered counts a success. Queues go in order, so whatever was sent before it is done.
func (s *Stats) answered(sentAt, now float64) {
	s.AnsweredAt = now
	s.NewestAnsweredAt = max(s.NewestAnsweredAt, sentAt)
	s.abandoned = slices.DeleteFunc(s.abandoned, func(a abandonedAttempt) bool { return a.sentAt <= sentAt })
}
