package broker

import (
	"sync/atomic"
	"time"

	"mothrouter/internal/decision"
)

// CallResult is the result of a call or health check, as the link received it.
type CallResult struct {
	Status     decision.Status
	Score      int64 // of an answered part: the shards with the highest scores get the second phase
	Scored     bool  // the server has sent a score
	LoadReport decision.LoadReport
	Value      []byte // of an answered part; the core keeps it, so it must not be written to afterwards
}

// ResultOf returns a result that has nothing but a status.
func ResultOf(status decision.Status) CallResult {
	return CallResult{Status: status, LoadReport: decision.NoLoadReport}
}

// Call is one attempt of a part at a record server. Its exported fields do not change.
type Call struct {
	Query         string // the client's name for the query
	Shard         int
	Class         int  // index into decision.Settings.Classes
	NonIdempotent bool // it must not run twice
	Payload       []byte
	FirstPhase    *FirstPhase // the result of the first phase, for a part of the second; nil: a part of the first
	Server        *Server
	Addr          string    // the server's address when the call was created, HOST:PORT
	Deadline      time.Time // end of the attempt's timeout, at most the query's deadline

	broker    *Broker
	part      *part
	attempt   int          // of the part, from 0
	sentAt    float64      // when the link got it, Unix seconds
	startBy   time.Time    // latest time of the first byte: Deadline, or the end of the idempotency window if earlier
	state     atomic.Int32 // of the bits below
	stopTimer func()       // stops the timeout; owned by the loop
}

// The state of a call: bits that are set once and never cleared, so that a finished call still has its started bit.
const (
	callQueued  int32 = 0
	callStarted int32 = 1 << iota // its first byte is being written, or was
	callFinished
)

// TryStart marks the call as started and reports whether its first byte may be written. The link calls it just before. If it
// returns false, nothing may be sent: the call has finished, or MayStart forbids it, and then it finishes as not sent. So a
// call that has waited for a connection longer than the rules allow is never sent.
func (c *Call) TryStart() bool {
	if !c.MayStart() {
		c.Finish(ResultOf(decision.NotSent))
		return false
	}
	return c.state.CompareAndSwap(callQueued, callStarted)
}

// MayStart reports whether the rules still allow the call's first byte, whatever its state: its deadline and idempotency
// window have not passed, its client is connected and its server is available. A link checks again if TryStart has returned
// true and the server then accepted none of its bytes for a while.
func (c *Call) MayStart() bool {
	if c.Server.Unavailable() || c.part.query.request.disconnected() {
		return false
	}
	return time.Now().Before(c.startBy)
}

// Finished reports whether the call has a result, or none is wanted any more.
func (c *Call) Finished() bool { return c.state.Load()&callFinished != 0 }

// started reports whether the call may have run, whether or not its result is known.
func (c *Call) started() bool { return c.state.Load()&callStarted != 0 }

// Finish reports the call's result to the core. Only the first call of Finish counts: a late answer to an attempt that has
// timed out or was cancelled must not end another attempt.
func (c *Call) Finish(r CallResult) {
	if c.state.Or(callFinished)&callFinished != 0 {
		return
	}
	c.broker.post(func() { c.broker.onCallFinished(c, r) })
}
