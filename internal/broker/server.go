package broker

import (
	"sync/atomic"
	"time"

	"mothrouter/internal/decision"
)

// The gauges count a server as avoided after avoidFailureThreshold consecutive failures, until avoidDuration after the latest
// failure. This approximates when the Decider avoids a server. One or two failures can be chance.
const (
	avoidFailureThreshold = 3
	avoidDuration         = 5 * time.Second
)

// Server is a listed record server. Links and loops share it.
type Server struct {
	ID         string
	Addr       string // HOST:PORT
	ReplicaSet int    // from 0

	unavailable         atomic.Bool
	consecutiveFailures atomic.Int64
	lastFailureAt       atomic.Int64 // Unix nanoseconds; 0: none
}

// Unavailable reports whether the server is draining or removed, or its address or replica set has changed. If so, no new
// attempt or health check may start at it. It may be called on any goroutine.
func (s *Server) Unavailable() bool { return s.unavailable.Load() }

// recordOutcome counts consecutive failures, for the gauges only. A status that says nothing about the server's health, such as
// an overload, neither increases nor resets the count.
func (s *Server) recordOutcome(status decision.Status) {
	switch status {
	case decision.OK:
		s.consecutiveFailures.Store(0)
	case decision.Error, decision.Reset, decision.Unreachable, decision.TimedOut:
		s.consecutiveFailures.Add(1)
		s.lastFailureAt.Store(time.Now().UnixNano())
	}
}

// avoided reports whether the gauges count the server as avoided.
func (s *Server) avoided(now time.Time) bool {
	if s.consecutiveFailures.Load() < avoidFailureThreshold {
		return false
	}
	return now.UnixNano()-s.lastFailureAt.Load() < int64(avoidDuration)
}
