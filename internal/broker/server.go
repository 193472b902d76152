package broker

import (
	"sync/atomic"
	"time"

	"mothrouter/internal/decision"
)

// A server that has failed this often in a row, the last time this recently, counts as avoided in the gauges.
const (
	avoidedFailures = 3
	avoidedDuration = 5 * time.Second
)

// Server is a record server as a link sees it.
type Server struct {
	ID, Addr   string
	ReplicaSet int

	unavailable   atomic.Bool
	failuresInRow atomic.Int64
	lastFailureAt atomic.Int64 // Unix nanoseconds
}

// Unavailable tells that the server drains or is removed, or that its address has changed: it gets nothing new. Any
// goroutine may ask.
func (s *Server) Unavailable() bool { return s.unavailable.Load() }

// recordOutcome counts failures in a row. They tell operators what the Decider most likely avoids; nothing is decided by
// them.
func (s *Server) recordOutcome(status decision.Status) {
	switch status {
	case decision.OK:
		s.failuresInRow.Store(0)
	case decision.Error, decision.Reset, decision.Unreachable, decision.TimedOut:
		s.failuresInRow.Add(1)
		s.lastFailureAt.Store(time.Now().UnixNano())
	}
}

func (s *Server) avoided(now time.Time) bool {
	return s.failuresInRow.Load() >= avoidedFailures && now.UnixNano()-s.lastFailureAt.Load() < int64(avoidedDuration)
}
