// Package drain decides what a process does for its clients while operators drain it. It does no I/O and keeps no
// clock. A drain goes in steps, since fronts and clients hear of it one after the other: first the process is not up
// any more and says so on each answer; then connections that wait for nothing are closed; then requests that come all
// the same are refused. A drain that ends undoes all of it at once.
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
