package broker

import (
	"sync/atomic"
	"time"

	"mothrouter/internal/decision"
)

// Server is a record server as a link sees it.
type Server struct {
	ID, Addr       string
	ReplicaSet     int
	unavailable    atomic.Bool  // draining or gone; links read it
	failuresInARow atomic.Int64 // attempts that failed since the latest that did not
	lastFailure    atomic.Int64 // when the latest did, in Unix nanoseconds
}

// Unavailable tells that the server drains or is gone, or that its address has changed.
func (s *Server) Unavailable() bool { return s.unavailable.Load() }

// recordOutcome counts failures in a row. The counts tell operators what the Decider most likely avoids; nothing is decided
// by them.
func (s *Server) recordOutcome(status decision.Status) {
	switch status {
	case decision.OK:
		s.failuresInARow.Store(0)
	case decision.Error, decision.Reset, decision.Unreachable, decision.TimedOut:
		s.failuresInARow.Add(1)
		s.lastFailure.Store(time.Now().UnixNano())
	}
}

const (
	avoidedFailures = 3 // in a row
	avoidedFor      = 5 * time.Second
)

func (s *Server) avoided(now time.Time) bool {
	return s.failuresInARow.Load() >= avoidedFailures && now.UnixNano()-s.lastFailure.Load() < int64(avoidedFor)
}

// CallResult is how a call ended, as the link saw it.
type CallResult struct {
	Status     decision.Status
	Score      int64 // of a served part: those with the highest scores are chosen for a second step
	Scored     bool  // the server told a score
	LoadReport decision.LoadReport
	Value      []byte // of a served part; must outlive the call
}

// Call is one attempt of a part at a record server.
type Call struct {
	Query         string // the query's name
	Shard         int
	Class         int
	NonIdempotent bool // it must not run twice
	Payload       []byte
	FirstPhase    *FirstPhase // of a part of a second step: what the first step brought; nil: a part of the first
	Server        *Server
	Addr          string
	Deadline      time.Time

	startBy   time.Time // the last moment for its first byte: Deadline, or before that the end of its class's window
	b         *Broker
	pt        *part
	attempt   int
	sentAt    float64
	state     atomic.Int32
	stopTimer func() // the time-out's timer; the loop's
}

// The state of a call: bits that are set once and stay set, so that one that is over still tells whether it began.
const (
	callQueued  int32 = 0
	callStarted int32 = 1 << iota // its first byte is being written, or was
	callFinished
)

// TryStart is asked just before the first byte of a call is written. If it returns false, nothing may be sent:
// the call is over, its time or its class's window for repeats is up, its client has gone, or its server drains or is
// gone. Guards against sends that have waited for a connection longer than the rules allow. What ended here is told
// to the core.
func (c *Call) TryStart() bool {
	if !c.MayStart() {
		c.Finish(CallResult{Status: decision.NotSent, LoadReport: decision.NoLoadReport})
		return false
	}
	return c.state.CompareAndSwap(callQueued, callStarted)
}

// MayStart tells whether the rules still allow the first byte of a call, whatever its state: a link asks again where
// Begin has returned true and the server took none of its bytes for a while.
func (c *Call) MayStart() bool {
	return !c.Server.Unavailable() && !c.pt.q.req.disconnected() && time.Now().Before(c.startBy)
}

// Finished tells whether nobody waits for the call any more.
func (c *Call) Finished() bool { return c.state.Load()&callFinished != 0 }

// started tells whether the call may have run, though its end may not have been read yet.
func (c *Call) started() bool { return c.state.Load()&callStarted != 0 }

// Finish tells how a call ended. Only the first end counts: a late answer to an attempt that was timed out or
// cancelled must not end another, nor count.
func (c *Call) Finish(r CallResult) {
	if c.state.Or(callFinished)&callFinished != 0 {
		return
	}
	c.b.post(func() { c.b.onCallFinished(c, r) })
}

// send starts an attempt, if the rules allow it.
func (b *Broker) send(a decision.Send) {
	pt := b.parts[a.ID]
	if pt == nil {
		return // its query has ended and nothing of it is out
	}
	c := &Call{b: b, pt: pt, attempt: pt.attempts, sentAt: b.clock.now()}
	pt.attempts++
	s := b.endpoints.get(a.Server)
	if why := b.checkRules(pt, s); why != "" {
		b.log.Warn("a send was stopped", "why", why, "server", a.Server, "query", pt.q.req.ID)
		b.enqueueEvent(decision.AttemptFinished{
			ID: pt.id, Attempt: c.attempt, Server: a.Server, Status: decision.NotSent,
			PartConcluded: pt.answered || pt.finished, LoadReport: decision.NoLoadReport,
		})
		return
	}
	q := pt.q
	c.Query, c.Shard, c.Class, c.Payload, c.FirstPhase = q.req.ID, pt.Shard, q.req.Class, q.req.Payload, pt.firstPhase
	c.NonIdempotent = q.class.Idempotency == decision.NonIdempotent
	c.Server, c.Addr = s, s.Addr
	c.Deadline = q.deadline
	if t := time.Now().Add(secondsToDuration(a.Timeout)); a.Timeout > 0 && t.Before(c.Deadline) {
		c.Deadline = t
	}
	c.startBy = c.Deadline
	if !pt.retryUntil.IsZero() && pt.retryUntil.Before(c.startBy) {
		c.startBy = pt.retryUntil
	}
	pt.call = c
	c.stopTimer = b.after(time.Until(c.Deadline), func() { b.abandonCall(c, decision.TimedOut) })
	b.link.Send(c)
}

// checkRules names the rule that a send would break; "" means that it may go.
func (b *Broker) checkRules(pt *part, s *Server) string {
	set := &b.opt.Settings
	switch {
	case pt.finished || pt.answered:
		return "the part is over"
	case pt.call != nil:
		return "an attempt of the part is out"
	case set.MaxAttempts > 0 && pt.attempts > set.MaxAttempts:
		return "the part has had all its attempts"
	case pt.mayRun && pt.q.class.Idempotency == decision.NonIdempotent:
		return "the part may have run and must not run twice"
	case !pt.retryUntil.IsZero() && !time.Now().Before(pt.retryUntil):
		return "the part may have run and its window for repeats is over"
	case pt.q.req.disconnected():
		return "the client has gone"
	case s == nil || s.Unavailable():
		return "the server drains, is gone or was never listed"
	case !holdsShard(set, s.ReplicaSet, pt.Shard):
		return "the server does not hold the shard"
	case !time.Now().Before(pt.q.deadline):
		return "the client's time is up"
	}
	return ""
}

// holdsShard tells whether the servers of a cell hold a shard.
func holdsShard(set *decision.Settings, cell, shard int) bool {
	if set.ReplicaSets <= 0 {
		return true
	}
	ahead := (cell - shard%set.ReplicaSets + set.ReplicaSets) % set.ReplicaSets
	return ahead < max(set.ReplicationFactor, 1)
}

// abandonCall ends the wait for a call. One whose first byte was never written cannot have run.
func (b *Broker) abandonCall(c *Call, status decision.Status) {
	was := c.state.Or(callFinished)
	if was&callFinished != 0 {
		return // its end is on the way here
	}
	if was == callQueued {
		status = decision.NotSent
	}
	b.link.Cancel(c)
	b.onCallFinished(c, CallResult{Status: status, LoadReport: decision.NoLoadReport})
}

// onCallFinished books the end of a call and tells the Decider.
func (b *Broker) onCallFinished(c *Call, r CallResult) {
	pt := c.pt
	c.stopTimer()
	if r.Status == decision.OK && !r.Scored && pt.selectsSecondPhase() {
		r.Status = decision.Error // the second step could not be chosen by it: a spoilt answer
	}
	c.Server.recordOutcome(r.Status)
	pt.call = nil
	switch r.Status {
	case decision.Overloaded, decision.Unreachable, decision.NotSent:
	default:
		// Where servers drop repeats, they do so for a time from the first attempt that may have run.
		if class := &pt.q.class; !pt.mayRun && class.Idempotency == decision.IdempotentWithKey {
			pt.retryUntil = time.Now().Add(b.clock.until(c.sentAt + class.IdempotencyWindow - idempotencyMargin))
		}
		pt.mayRun = true
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

// HealthCheck asks a record server how it is.
type HealthCheck struct {
	Server          *Server
	Addr            string
	WantsLoadReport bool // the report is wanted
	Deadline        time.Time

	b         *Broker
	sentAt    float64
	finished  atomic.Bool
	stopTimer func()
}

// Finish tells a probe's result. Only the first counts.
func (p *HealthCheck) Finish(r CallResult) {
	if !p.finished.Swap(true) {
		p.b.post(func() { p.b.onHealthChecked(p, r) })
	}
}

// TryStart is asked just before the first byte of a probe is written, as for a call.
func (p *HealthCheck) TryStart() bool {
	if p.Server.Unavailable() || !time.Now().Before(p.Deadline) {
		p.Finish(CallResult{Status: decision.NotSent, LoadReport: decision.NoLoadReport})
	}
	return !p.finished.Load()
}

func (b *Broker) checkHealth(id string) {
	s := b.endpoints.get(id)
	if s == nil || s.Unavailable() {
		return
	}
	p := &HealthCheck{
		b: b, Server: s, Addr: s.Addr, WantsLoadReport: b.opt.Settings.ReportMode != decision.ReportNone,
		sentAt: b.clock.now(), Deadline: time.Now().Add(b.opt.HealthCheckTimeout),
	}
	p.stopTimer = b.after(b.opt.HealthCheckTimeout, func() {
		if !p.finished.Swap(true) {
			b.onHealthChecked(p, CallResult{Status: decision.TimedOut, LoadReport: decision.NoLoadReport})
		}
	})
	b.link.CheckHealth(p)
}

func (b *Broker) onHealthChecked(p *HealthCheck, r CallResult) {
	p.stopTimer()
	b.enqueueEvent(decision.HealthChecked{
		Server: p.Server.ID, Status: r.Status, Latency: b.clock.now() - p.sentAt, LoadReport: r.LoadReport,
	})
}
