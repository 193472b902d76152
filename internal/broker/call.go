package broker

import (
	"sync/atomic"
	"time"

	"mothrouter/internal/decision"
)

// CallResult is the result of a call or a health check, reported by the link.
type CallResult struct {
	Status     decision.Status
	Score      int64 // of an answered part: the second phase goes to the shards with the highest scores
	Scored     bool  // the server has sent a score
	LoadReport decision.LoadReport
	Value      []byte // of an answered part; the core retains it, so it must not be modified afterwards
}

// ResultOf returns a result with only a status: no score, load report or value.
func ResultOf(status decision.Status) CallResult {
	return CallResult{Status: status, LoadReport: decision.NoLoadReport}
}

// Call is one attempt of a part at a record server. Its exported fields are read-only.
type Call struct {
	Query         string // Request.ID, assigned by the client
	Shard         int
	Class         int  // index into decision.Settings.Classes
	NonIdempotent bool // the part must not run twice
	Payload       []byte
	FirstPhase    *FirstPhase // result of the first phase, for a part of the second; nil for a part of the first
	Server        *Server
	Addr          string    // HOST:PORT of the server when the call was created
	Deadline      time.Time // when the attempt times out; not after the query's deadline

	broker    *Broker
	part      *part
	attempt   int          // index among the part's attempts, from 0
	sentAt    float64      // when the call was passed to the link, Unix seconds
	startBy   time.Time    // latest time of the first byte: Deadline, or the end of the idempotency window if earlier
	state     atomic.Int32 // bit set of callStarted and callFinished
	stopTimer func()       // stops the timeout; owned by the loop
}

// Bits of a call's state. They are never cleared, so a finished call still shows whether it had started.
const (
	callQueued  int32 = 0
	callStarted int32 = 1 << iota // the first byte is being or has been written
	callFinished
)

// TryStart marks the call as started and reports whether its first byte may be written. The link calls it immediately before
// the write. If it returns false, nothing may be sent: either the call had already finished, or MayStart returned false and the
// call finishes as NotSent. A call that has waited for a connection longer than the rules allow is therefore never sent.
func (c *Call) TryStart() bool {
	if !c.MayStart() {
		c.Finish(ResultOf(decision.NotSent))
		return false
	}
	return c.state.CompareAndSwap(callQueued, callStarted)
}

// MayStart reports whether the rules still allow the first byte, regardless of the call's state: the deadline and the
// idempotency window have not passed, the client is confirmed to be connected and the server is available. A link checks it
// again if TryStart has returned true but the server has not accepted any byte for a while.
func (c *Call) MayStart() bool {
	if c.Server.Unavailable() || c.part.query.request.clientState() != ClientConnected {
		return false
	}
	return time.Now().Before(c.startBy)
}

// Finished reports whether the call has a result or was abandoned.
func (c *Call) Finished() bool { return c.state.Load()&callFinished != 0 }

// started reports whether the call has started and thus may have run, even if its result is not known yet.
func (c *Call) started() bool { return c.state.Load()&callStarted != 0 }

// Finish reports the call's result to the core. Only the first Finish has an effect: a late answer to an attempt that has
// timed out or been cancelled must not end a later attempt.
func (c *Call) Finish(r CallResult) {
	if c.state.Or(callFinished)&callFinished != 0 {
		return
	}
	c.broker.post(func() { c.broker.onCallFinished(c, r) })
}
