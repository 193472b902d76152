package broker

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"mothrouter/internal/decision"
)

// CallResult is how a call ended, as the link saw it.
type CallResult struct {
	Status     decision.Status
	Score      int64 // of an answered part: those with the highest scores are chosen for a second phase
	Scored     bool  // the server told a score
	LoadReport decision.LoadReport
	Value      []byte // of an answered part; must outlive the call
}

// ResultOf is the result of a call or health check that brought nothing but a status.
func ResultOf(status decision.Status) CallResult {
	return CallResult{Status: status, LoadReport: decision.NoLoadReport}
}

// Call is one attempt of a part at a record server.
type Call struct {
	Query         string // the query's name
	Shard         int
	Class         int
	NonIdempotent bool // it must not run twice
	Payload       []byte
	FirstPhase    *FirstPhase // of a part of a second phase: what the first one brought; nil: a part of the first
	Server        *Server
	Addr          string
	Deadline      time.Time

	broker    *Broker
	part      *part
	attempt   int
	sentAt    float64
	startBy   time.Time // the last moment for its first byte: Deadline, or before that the end of its class's window
	state     atomic.Int32
	stopTimer func() // the time-out's; owned by the loop
}

// The state of a call: bits that are set once and stay set, so that one that has finished still tells whether it started.
const (
	callQueued  int32 = 0
	callStarted int32 = 1 << iota // its first byte is being written, or was
	callFinished
)

// TryStart is asked by the link just before the first byte of a call is written. If it returns false, nothing may be sent:
// the call has finished, or MayStart forbids it, and then the core is told. It guards against calls that have waited for a
// connection for longer than the rules allow.
func (c *Call) TryStart() bool {
	if !c.MayStart() {
		c.Finish(ResultOf(decision.NotSent))
		return false
	}
	return c.state.CompareAndSwap(callQueued, callStarted)
}

// MayStart tells whether the rules still allow the first byte of a call, whatever its state: its time and its class's
// idempotency window are not over, its client is there and its server takes calls. A link asks again where TryStart has
// returned true and the server took none of its bytes for a while.
func (c *Call) MayStart() bool {
	return !c.Server.Unavailable() && !c.part.query.request.disconnected() && time.Now().Before(c.startBy)
}

// Finished tells whether the call's result is in, or is not wanted any more.
func (c *Call) Finished() bool { return c.state.Load()&callFinished != 0 }

// started tells whether the call may have run, though its end may not have been read yet.
func (c *Call) started() bool { return c.state.Load()&callStarted != 0 }

// Finish tells how a call ended. Only the first end counts: a late answer to an attempt that was timed out or cancelled
// must not end another, nor count.
func (c *Call) Finish(r CallResult) {
	if c.state.Or(callFinished)&callFinished != 0 {
		return
	}
	c.broker.post(func() { c.broker.onCallFinished(c, r) })
}

// send starts an attempt, if the rules allow it.
func (b *Broker) send(a decision.Send) {
	pt := b.parts[a.ID]
	if pt == nil {
		return // its query has ended and nothing of it is in flight
	}
	attempt := pt.attempts
	pt.attempts++
	server := b.endpoints.get(a.Server)
	if err := b.checkRules(pt, server); err != nil {
		b.log.Warn("attempt stopped by a rule", "error", err, "server", a.Server, "query", pt.query.request.ID)
		b.enqueueEvent(decision.AttemptFinished{
			ID: pt.id, Attempt: attempt, Server: a.Server, Status: decision.NotSent,
			PartConcluded: pt.answered || pt.finished, LoadReport: decision.NoLoadReport,
		})
		return
	}
	c := b.newCall(pt, attempt, server, a.Timeout)
	pt.call = c
	c.stopTimer = b.after(time.Until(c.Deadline), func() { b.abandonCall(c, decision.TimedOut) })
	b.link.Send(c)
}

// newCall makes an attempt's call, which is given up after a time-out in seconds; 0: when its client's time is up.
func (b *Broker) newCall(pt *part, attempt int, server *Server, timeout float64) *Call {
	q := pt.query
	c := &Call{
		Query: q.request.ID, Shard: pt.Shard, Class: q.request.Class, Payload: q.request.Payload, FirstPhase: pt.firstPhase,
		NonIdempotent: q.class.Idempotency == decision.NonIdempotent,
		Server:        server, Addr: server.Addr, Deadline: q.deadline,
		broker: b, part: pt, attempt: attempt, sentAt: b.clock.now(),
	}
	if t := time.Now().Add(secondsToDuration(timeout)); timeout > 0 && t.Before(c.Deadline) {
		c.Deadline = t
	}
	c.startBy = c.Deadline
	if !pt.retryUntil.IsZero() && pt.retryUntil.Before(c.startBy) {
		c.startBy = pt.retryUntil
	}
	return c
}

// The rules that an attempt may break, whatever the Decider says.
var (
	errPartFinished      = errors.New("the part has finished")
	errAttemptInFlight   = errors.New("an attempt of the part is in flight")
	errNotIdempotent     = errors.New("the part may have run and must not run twice")
	errWindowExpired     = errors.New("the part may have run and its idempotency window is over")
	errDisconnected      = errors.New("the client has disconnected")
	errServerUnavailable = errors.New("the server drains, is removed or was never listed")
	errDeadlineExceeded  = errors.New("the client's deadline is over")
)

// maxAttemptsError tells that a part has had all its attempts.
type maxAttemptsError int

func (e maxAttemptsError) Error() string {
	return fmt.Sprintf("the part has had its %d attempts", int(e))
}

// wrongShardError tells that a server does not hold a shard.
type wrongShardError struct{ shard, replicaSet int }

func (e wrongShardError) Error() string {
	return fmt.Sprintf("shard %d is not held by replica set %d", e.shard, e.replicaSet)
}

// checkRules returns the rule that an attempt would break; nil: it may go.
func (b *Broker) checkRules(pt *part, s *Server) error {
	settings := &b.options.Settings
	switch {
	case pt.finished || pt.answered:
		return errPartFinished
	case pt.call != nil:
		return errAttemptInFlight
	case settings.MaxAttempts > 0 && pt.attempts > settings.MaxAttempts:
		return maxAttemptsError(settings.MaxAttempts)
	case pt.mayHaveRun && pt.query.class.Idempotency == decision.NonIdempotent:
		return errNotIdempotent
	case !pt.retryUntil.IsZero() && !time.Now().Before(pt.retryUntil):
		return errWindowExpired
	case pt.query.request.disconnected():
		return errDisconnected
	case s == nil || s.Unavailable():
		return errServerUnavailable
	case !holdsShard(settings, s.ReplicaSet, pt.Shard):
		return wrongShardError{pt.Shard, s.ReplicaSet}
	case !time.Now().Before(pt.query.deadline):
		return errDeadlineExceeded
	}
	return nil
}

// holdsShard tells whether the servers of a replica set hold a shard.
func holdsShard(settings *decision.Settings, replicaSet, shard int) bool {
	n := settings.ReplicaSets
	if n <= 0 {
		return true
	}
	offset := (replicaSet - shard%n + n) % n
	return offset < max(settings.ReplicationFactor, 1)
}

// abandonCall ends the wait for a call. One whose first byte was never written cannot have run.
func (b *Broker) abandonCall(c *Call, status decision.Status) {
	was := c.state.Or(callFinished)
	if was&callFinished != 0 {
		return // its result is on the way here
	}
	if was == callQueued {
		status = decision.NotSent
	}
	b.link.Cancel(c)
	b.onCallFinished(c, ResultOf(status))
}

// onCallFinished records the end of a call and tells the Decider.
func (b *Broker) onCallFinished(c *Call, r CallResult) {
	pt := c.part
	c.stopTimer()
	if r.Status == decision.OK && !r.Scored && pt.selectsSecondPhase() {
		r.Status = decision.Error // the second phase could not be chosen by it
	}
	c.Server.recordOutcome(r.Status)
	pt.call = nil
	if mayHaveRun(r.Status) {
		// Where servers drop duplicates, they do so for a time from the first attempt that may have run.
		if class := &pt.query.class; !pt.mayHaveRun && class.Idempotency == decision.IdempotentWithKey {
			pt.retryUntil = time.Now().Add(b.clock.until(c.sentAt + class.IdempotencyWindow - idempotencyMargin))
		}
		pt.mayHaveRun = true
	}
	if r.Status == decision.OK && !pt.finished {
		pt.answered, pt.value, pt.score = true, r.Value, r.Score
	}
	if pt.finished {
		delete(b.parts, pt.id)
	}
	b.enqueueEvent(decision.AttemptFinished{
		ID: pt.id, Attempt: c.attempt, Server: c.Server.ID, Status: r.Status,
		Latency: b.clock.now() - c.sentAt, PartConcluded: pt.answered || pt.finished, LoadReport: r.LoadReport,
	})
}

// mayHaveRun tells whether an attempt that ended so may have run.
func mayHaveRun(status decision.Status) bool {
	switch status {
	case decision.Overloaded, decision.Unreachable, decision.NotSent:
		return false
	}
	return true
}
