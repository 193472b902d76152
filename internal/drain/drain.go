// Package drain decides what a process does for its clients while operators drain it, and when it is told to end. It
// does no I/O and keeps no clock. A drain goes in steps, since fronts and clients hear of it one after the other: first the
// process is not up any more and says so on each answer; then connections that wait for nothing are closed; then
// requests that come all the same are refused. A drain that ends undoes all of it at once.
package drain

import "time"

const (
	// idleAfter leaves clients the time to use a connection once more that they have: fronts stop sending new ones
	// 0.2 s after the process is not up.
	idleAfter = 1500 * time.Millisecond
	// refuseAfter is when requests are refused. From 4 s on nothing may be held that came in the last 2 s.
	refuseAfter = 1900 * time.Millisecond
	// LastAnswers is for how long a connection that is new then may wait for its request.
	LastAnswers = 300 * time.Millisecond
)

// End is the plan of a process that is told to end (SIGTERM): what it does so long after that.
type End struct {
	// Accepts is for how long nothing changes: fronts still hand it clients for 0.4 s.
	Accepts time.Duration
	// Idle is when nobody is accepted any more and connections between requests are closed. Answers from Accepts on
	// say that the connection closes, so that clients leave one by one.
	Idle time.Duration
	// Answers is when all that was taken has its final answer.
	Answers time.Duration
	// Gone is when the process has ended, whatever its clients do.
	Gone time.Duration
}

const (
	accepts     = 500 * time.Millisecond
	asksAgain   = time.Second            // for clients to use once more a connection that they have
	killedAfter = 700 * time.Millisecond // no sooner than the longest deadline and this comes SIGKILL,
	longestMost = 3 * time.Second        // a longer one counting as this
	killLead    = 200 * time.Millisecond // before that all is answered
	goneLead    = 100 * time.Millisecond
)

// PlanEnd plans the end where so long is the longest time that a client waits. Guards against short deadlines: a
// request taken late would be found unanswered by SIGKILL.
func PlanEnd(longest time.Duration) End {
	killed := min(longest, longestMost) + killedAfter
	e := End{Answers: killed - killLead, Gone: killed - goneLead}
	e.Accepts = min(accepts, e.Answers*2/3)
	e.Idle = e.Accepts + min(asksAgain, (e.Answers-e.Accepts)/2)
	return e
}

// State is a drain. The zero value is none. Its methods take the time.
type State struct {
	on    bool
	since time.Time
}

// Leave begins the drain; one that is on goes on from its begin.
func (s *State) Leave(now time.Time) {
	if !s.on {
		s.on, s.since = true, now
	}
}

// Join ends it.
func (s *State) Join() { s.on = false }

// Up tells whether the process may say that it is up.
func (s *State) Up() bool { return !s.on }

// Closing tells whether answers say that the connection closes.
func (s *State) Closing() bool { return s.on }

// ClosesIdle tells whether connections that wait for nothing are closed.
func (s *State) ClosesIdle(now time.Time) bool { return s.on && now.Sub(s.since) >= idleAfter }

// Refuses tells whether requests are refused.
func (s *State) Refuses(now time.Time) bool { return s.on && now.Sub(s.since) >= refuseAfter }

// Next is how long after its begin the drain's next step comes that closes connections.
func Next() time.Duration { return idleAfter }
