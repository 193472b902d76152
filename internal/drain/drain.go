// Package drain decides what a process does for its clients while operators drain it, and while it shuts down. It does no I/O
// and keeps no clock.
//
// Both are gradual, since load balancers and clients notice one after the other: first the process is not up and answers
// announce that the connection closes; then idle connections are closed; then new requests are rejected. Cancelling a drain
// undoes all of it at once.
package drain

import "time"

// Steps of a drain, from its start.
const (
	// closeIdleDelay lets clients use a connection once more that they have: load balancers stop sending new ones 0.2 s after
	// the process is not up.
	closeIdleDelay = 1500 * time.Millisecond
	// rejectDelay is when requests are rejected. From 4 s on no request that was accepted in the last 2 s may be in flight.
	rejectDelay = 1900 * time.Millisecond
)

// LastRequestTimeout is how long a connection that is accepted after idle ones were closed may wait for its request.
const LastRequestTimeout = 300 * time.Millisecond

// ShutdownPlan is when a process takes the steps of its shutdown, from SIGTERM on.
type ShutdownPlan struct {
	// AnnounceClose is when answers start to announce that the connection closes, so that clients leave one by one. Until then
	// nothing changes: load balancers send clients for another 0.4 s.
	AnnounceClose time.Duration
	// CloseIdle is when the process stops accepting connections and closes idle ones.
	CloseIdle time.Duration
	// AnswerBy is when all requests have their final answers.
	AnswerBy time.Duration
	// ExitBy is when the process has ended, whatever its clients do.
	ExitBy time.Duration
}

// Bounds of a shutdown. SIGKILL comes killDelay after the longest deadline, or later.
const (
	killDelay          = 700 * time.Millisecond
	maxPlannedDeadline = 3 * time.Second        // a longer deadline counts as this
	answerLead         = 200 * time.Millisecond // from AnswerBy to SIGKILL
	exitLead           = 100 * time.Millisecond // from ExitBy to SIGKILL
	maxAnnounceClose   = 500 * time.Millisecond
	maxCloseIdleDelay  = time.Second // from AnnounceClose, for clients to use once more a connection that they have
)

// PlanShutdown plans a shutdown by the longest deadline of a class. With short deadlines the steps are closer together: a
// request that is accepted late would not be answered before SIGKILL.
func PlanShutdown(longestDeadline time.Duration) ShutdownPlan {
	killAt := min(longestDeadline, maxPlannedDeadline) + killDelay
	plan := ShutdownPlan{AnswerBy: killAt - answerLead, ExitBy: killAt - exitLead}
	plan.AnnounceClose = min(maxAnnounceClose, plan.AnswerBy*2/3)
	plan.CloseIdle = plan.AnnounceClose + min(maxCloseIdleDelay, (plan.AnswerBy-plan.AnnounceClose)/2)
	return plan
}

// State is whether a process drains, and since when. The zero value does not drain. It is not safe for concurrent use.
type State struct {
	started   bool
	startedAt time.Time
}

// Start starts the drain. It changes nothing if the process drains already.
func (s *State) Start(now time.Time) {
	if !s.started {
		s.started, s.startedAt = true, now
	}
}

// Cancel ends the drain.
func (s *State) Cancel() { s.started = false }

// IsUp reports whether health checks of load balancers succeed.
func (s *State) IsUp() bool { return !s.started }

// AnnouncesClose reports whether answers announce that the connection closes.
func (s *State) AnnouncesClose() bool { return s.started }

// ClosesIdle reports whether idle connections are closed.
func (s *State) ClosesIdle(now time.Time) bool {
	return s.started && now.Sub(s.startedAt) >= closeIdleDelay
}

// RejectsRequests reports whether new requests are rejected.
func (s *State) RejectsRequests(now time.Time) bool {
	return s.started && now.Sub(s.startedAt) >= rejectDelay
}

// CloseIdleDelay returns how long after a drain's start idle connections are closed.
func CloseIdleDelay() time.Duration { return closeIdleDelay }
