// Package drain decides what a process does for its clients while operators drain it, and when it shuts down. It does no I/O
// and keeps no clock. Both go in steps, since fronts and clients learn of it one after the other: first the process is not up
// any more and answers announce that the connection closes; then idle connections are closed; then requests that come all the
// same are rejected. A drain that is cancelled undoes all of it at once.
package drain

import "time"

// Drains.
const (
	// closeIdleDelay leaves clients the time to use a connection once more that they have: fronts stop sending new ones
	// 0.2 s after the process is not up.
	closeIdleDelay = 1500 * time.Millisecond
	// rejectDelay is when requests are rejected. From 4 s on nothing may be in flight that came in the last 2 s.
	rejectDelay = 1900 * time.Millisecond
)

// LastRequestTimeout is for how long a connection that is accepted after idle ones were closed may wait for its request.
const LastRequestTimeout = 300 * time.Millisecond

// ShutdownPlan is what a process does how long after it is told to end (SIGTERM).
type ShutdownPlan struct {
	// AnnounceClose is for how long nothing changes: fronts still hand it clients for 0.4 s. From then on answers announce
	// that the connection closes, so that clients leave one by one.
	AnnounceClose time.Duration
	// CloseIdle is when no connection is accepted any more and idle ones are closed.
	CloseIdle time.Duration
	// AnswerBy is when all requests have their final answers.
	AnswerBy time.Duration
	// ExitBy is when the process has ended, whatever its clients do.
	ExitBy time.Duration
}

// Shutdowns. SIGKILL comes killDelay after the longest deadline at the earliest.
const (
	killDelay          = 700 * time.Millisecond
	maxPlannedDeadline = 3 * time.Second        // a longer deadline counts as this
	killLead           = 200 * time.Millisecond // before SIGKILL all is answered,
	exitLead           = 100 * time.Millisecond // and the process has ended
	maxAnnounceClose   = 500 * time.Millisecond
	maxCloseIdleDelay  = time.Second // for clients to use once more a connection that they have
)

// PlanShutdown plans the shutdown where clients wait for so long at most. With short deadlines its steps move together: a
// request that is accepted late would be found unanswered by SIGKILL.
func PlanShutdown(longestDeadline time.Duration) ShutdownPlan {
	kill := min(longestDeadline, maxPlannedDeadline) + killDelay
	p := ShutdownPlan{AnswerBy: kill - killLead, ExitBy: kill - exitLead}
	p.AnnounceClose = min(maxAnnounceClose, p.AnswerBy*2/3)
	p.CloseIdle = p.AnnounceClose + min(maxCloseIdleDelay, (p.AnswerBy-p.AnnounceClose)/2)
	return p
}

// State is a drain. Its zero value is none. Its methods take the time.
type State struct {
	started bool
	since   time.Time
}

// Start starts the drain; one that is under way goes on.
func (s *State) Start(now time.Time) {
	if !s.started {
		s.started, s.since = true, now
	}
}

// Cancel ends the drain.
func (s *State) Cancel() { s.started = false }

// IsUp tells whether the process may say that it is up.
func (s *State) IsUp() bool { return !s.started }

// AnnouncesClose tells whether answers announce that the connection closes.
func (s *State) AnnouncesClose() bool { return s.started }

// ClosesIdle tells whether idle connections are closed.
func (s *State) ClosesIdle(now time.Time) bool {
	return s.started && now.Sub(s.since) >= closeIdleDelay
}

// RejectsRequests tells whether requests are rejected.
func (s *State) RejectsRequests(now time.Time) bool {
	return s.started && now.Sub(s.since) >= rejectDelay
}

// CloseIdleDelay is how long after a drain's start idle connections are closed.
func CloseIdleDelay() time.Duration { return closeIdleDelay }
