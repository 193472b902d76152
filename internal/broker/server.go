package broker

import (
	"sync/atomic"
	"time"

	"mothrouter/internal/decision"
)

// The gauges count a server as avoided after avoidedFailures failures in a row, for avoidedDuration after the latest: about
// when the Decider avoids it. A single failure or two are chance.
const (
	avoidedFailures = 3
	avoidedDuration = 5 * time.Second
)

// Server is a listed record server, shared by links and loops.
type Server struct {
	ID         string
	Addr       string // HOST:PORT
	ReplicaSet int    // from 0

	unavailable   atomic.Bool
	failuresInRow atomic.Int64
	lastFailureAt atomic.Int64 // Unix nanoseconds; 0: none
}

// Unavailable reports whether the server is draining or removed, or its address or replica set has changed: no new attempt
// or health check may start at it. It may be called on any goroutine.
func (s *Server) Unavailable() bool { return s.unavailable.Load() }

// recordOutcome counts failures in a row, for the gauges only. A status that says nothing about the server's health, such
// as an overload, neither counts nor ends the row.
func (s *Server) recordOutcome(status decision.Status) {
	switch status {
	case decision.OK:
		s.failuresInRow.Store(0)
	case decision.Error, decision.Reset, decision.Unreachable, decision.TimedOut:
		s.failuresInRow.Add(1)
		s.lastFailureAt.Store(time.Now().UnixNano())
	}
}

// avoided reports whether the gauges count the server as avoided.
func (s *Server) avoided(now time.Time) bool {
	if s.failuresInRow.Load() < avoidedFailures {
		return false
	}
	return now.UnixNano()-s.lastFailureAt.Load() < int64(avoidedDuration)
}
