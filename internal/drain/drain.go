// Package drain decides how a process treats its clients while it is being drained by operators and while it shuts down. It
// does no I/O and takes the time as an argument.
//
// A drain and a shutdown proceed in steps, because load balancers and clients notice them at different times. A drain first
// fails health checks and announces in responses that the connection will be closed; then it closes idle connections; then it
// rejects new requests. Cancelling a drain undoes all steps immediately.
package drain

import "time"

// Delays of the steps of a drain, from its start.
const (
	// closeIdleDelay is when idle connections are closed. It lets clients use an existing connection once more: load balancers
	// stop sending new connections 0.2 s after health checks fail.
	closeIdleDelay = 1500 * time.Millisecond
	// rejectDelay is when new requests are rejected. From 4 s on, no request that was accepted in the last 2 s may be in flight.
	rejectDelay = 1900 * time.Millisecond
)

// LastRequestTimeout is how long a connection that is accepted after idle connections were closed may wait for its request.
const LastRequestTimeout = 300 * time.Millisecond

// ShutdownPlan holds the times of the steps of a shutdown, as durations since SIGTERM.
type ShutdownPlan struct {
	// AnnounceClose is when responses start to announce that the connection will be closed, so that clients leave one by one.
	// Until then nothing changes, because load balancers send new clients for another 0.4 s.
	AnnounceClose time.Duration
	// CloseIdle is when the process stops accepting connections and closes idle ones.
	CloseIdle time.Duration
	// AnswerBy is when all requests must have their final answers.
	AnswerBy time.Duration
	// ExitBy is when the process stops waiting for clients that have their answers and do not close. It exits then, or as soon
	// afterwards as the last accepted request has been answered: after a hold-up, that may be later than AnswerBy.
	ExitBy time.Duration
	// AbandonBy is when the process exits even if a client has not read its answer.
	AbandonBy time.Duration
}

// maxHoldUp is how long the process may be held up between reading its clock and acting on it, at any moment. Steps that are
// less than this apart may be due together and happen in any order, so a step that needs the result of another waits for
// that result.
const maxHoldUp = 150 * time.Millisecond

// Bounds of a shutdown. SIGKILL follows SIGTERM after the longest deadline plus killDelay, or later.
const (
	killDelay          = 700 * time.Millisecond
	maxPlannedDeadline = 3 * time.Second              // longer deadlines are capped at this
	writeAnswersTime   = 50 * time.Millisecond        // for writing all answers that are given at AnswerBy
	answerLead         = maxHoldUp + writeAnswersTime // from AnswerBy to SIGKILL
	exitLead           = 100 * time.Millisecond       // from ExitBy to SIGKILL
	abandonDelay       = 3 * time.Second              // from ExitBy; longer than any write of an answer may take
	maxAnnounceClose   = 500 * time.Millisecond
	maxCloseIdleDelay  = time.Second // from AnnounceClose; lets clients use an existing connection once more
)

// PlanShutdown plans a shutdown for the longest deadline of all classes. With short deadlines the steps are closer together;
// otherwise a request that is accepted late would not be answered before SIGKILL.
func PlanShutdown(longestDeadline time.Duration) ShutdownPlan {
	killAt := min(longestDeadline, maxPlannedDeadline) + killDelay
	plan := ShutdownPlan{AnswerBy: killAt - answerLead, ExitBy: killAt - exitLead}
	plan.AbandonBy = plan.ExitBy + abandonDelay
	plan.AnnounceClose = min(maxAnnounceClose, plan.AnswerBy*2/3)
	plan.CloseIdle = plan.AnnounceClose + min(maxCloseIdleDelay, (plan.AnswerBy-plan.AnnounceClose)/2)
	return plan
}

// State records whether a process is draining, and since when. The zero value is not draining. It is not safe for concurrent
// use.
type State struct {
	started   bool
	startedAt time.Time
}

// Start starts the drain. It does nothing if the process is already draining.
func (s *State) Start(now time.Time) {
	if !s.started {
		s.started, s.startedAt = true, now
	}
}

// Cancel ends the drain.
func (s *State) Cancel() { s.started = false }

// IsUp reports whether health checks of load balancers succeed.
func (s *State) IsUp() bool { return !s.started }

// AnnouncesClose reports whether responses announce that the connection will be closed.
func (s *State) AnnouncesClose() bool { return s.started }

// ClosesIdle reports whether idle connections are closed.
func (s *State) ClosesIdle(now time.Time) bool {
	return s.started && now.Sub(s.startedAt) >= closeIdleDelay
}

// RejectsRequests reports whether new requests are rejected.
func (s *State) RejectsRequests(now time.Time) bool {
	return s.started && now.Sub(s.startedAt) >= rejectDelay
}

// CloseIdleDelay returns how long after the start of a drain idle connections are closed.
func CloseIdleDelay() time.Duration { return closeIdleDelay }
