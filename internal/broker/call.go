package broker

import (
	"sync/atomic"
	"time"

	"mothrouter/internal/decision"
)

// Server is a record server as a link sees it.
type Server struct {
	ID, Addr string
	Cell     int
	leaving  atomic.Bool  // draining or gone; links read it
	failures atomic.Int64 // attempts that failed since the latest that did not
	failed   atomic.Int64 // when the latest did, in Unix nanoseconds
}

// Leaving tells that the server drains or is gone, or that its address has changed.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// book counts failures in a row. The counts tell operators what the Decider most likely avoids; nothing is decided
// by them.
func (s *Server) book(status decision.Status) {
	switch status {
	case decision.OK:
		s.failures.Store(0)
	case decision.Error, decision.Reset, decision.Unreachable, decision.TimedOut:
		s.failures.Add(1)
		s.failed.Store(time.Now().UnixNano())
	}
}

const (
	avoidedFailures = 3 // in a row
	avoidedFor      = 5 * time.Second
)

func (s *Server) avoided(now time.Time) bool {
	return s.failures.Load() >= avoidedFailures && now.UnixNano()-s.failed.Load() < int64(avoidedFor)
}

// Reply is how a call ended, as the link saw it.
type Reply struct {
	Status decision.Status
	Score  int64 // of a served part: those with the highest scores are chosen for a second step
	Scored bool  // the server told a score
	Load   decision.LoadReport
	Value  []byte // of a served part; must outlive the call
}

// Call is one attempt of a part at a record server.
type Call struct {
	Query    string // the query's name
	Shard    int
	Class    int
	Unsafe   bool // it must not run twice
	Text     []byte
	Second   *FirstStep // of a part of a second step: what the first step brought; nil: a part of the first
	Server   *Server
	Addr     string
	Deadline time.Time

	begin  time.Time // the last moment for its first byte: Deadline, or before that the end of its class's window
	b      *Broker
	pt     *part
	number int
	sent   float64
	state  atomic.Int32
	stop   func() // the time-out's timer; the loop's
}

// The state of a call: bits that are set once and stay set, so that one that is over still tells whether it began.
const (
	callWaiting int32 = 0
	callBegun   int32 = 1 << iota // its first byte is being written, or was
	callOver
)

// Begin is asked just before the first byte of a call is written. If it returns false, nothing may be sent:
// the call is over, its time or its class's window for repeats is up, its client has gone, or its server drains or is
// gone. Guards against sends that have waited for a connection longer than the rules allow. What ended here is told
// to the core.
func (c *Call) Begin() bool {
	if !c.MayBegin() {
		c.Done(Reply{Status: decision.NotSent, Load: decision.NoLoadReport})
		return false
	}
	return c.state.CompareAndSwap(callWaiting, callBegun)
}

// MayBegin tells whether the rules still allow the first byte of a call, whatever its state: a link asks again where
// Begin has returned true and the server took none of its bytes for a while.
func (c *Call) MayBegin() bool {
	return !c.Server.Leaving() && !c.pt.q.req.gone() && time.Now().Before(c.begin)
}

// Over tells whether nobody waits for the call any more.
func (c *Call) Over() bool { return c.state.Load()&callOver != 0 }

// begun tells whether the call may have run, though its end may not have been read yet.
func (c *Call) begun() bool { return c.state.Load()&callBegun != 0 }

// Done tells how a call ended. Only the first end counts: a late answer to an attempt that was timed out or
// cancelled must not end another, nor count.
func (c *Call) Done(r Reply) {
	if c.state.Or(callOver)&callOver != 0 {
		return
	}
	c.b.post(func() { c.b.ended(c, r) })
}

// send starts an attempt, if the rules allow it.
func (b *Broker) send(a decision.Send) {
	pt := b.parts[a.ID]
	if pt == nil {
		return // its query has ended and nothing of it is out
	}
	c := &Call{b: b, pt: pt, number: pt.attempts, sent: b.clock.now()}
	pt.attempts++
	s := b.servers.get(a.Server)
	if why := b.forbids(pt, s); why != "" {
		b.log.Warn("a send was stopped", "why", why, "server", a.Server, "query", pt.q.req.ID)
		b.tell(decision.AttemptFinished{
			ID: pt.id, Attempt: c.number, Server: a.Server, Status: decision.NotSent,
			PartConcluded: pt.in || pt.over, LoadReport: decision.NoLoadReport,
		})
		return
	}
	q := pt.q
	c.Query, c.Shard, c.Class, c.Text, c.Second = q.req.ID, pt.Shard, q.req.Class, q.req.Text, pt.second
	c.Unsafe = q.class.Idempotency == decision.NonIdempotent
	c.Server, c.Addr = s, s.Addr
	c.Deadline = q.deadline
	if t := time.Now().Add(seconds(a.Timeout)); a.Timeout > 0 && t.Before(c.Deadline) {
		c.Deadline = t
	}
	c.begin = c.Deadline
	if !pt.until.IsZero() && pt.until.Before(c.begin) {
		c.begin = pt.until
	}
	pt.live = c
	c.stop = b.after(time.Until(c.Deadline), func() { b.giveUp(c, decision.TimedOut) })
	b.link.Send(c)
}

// forbids names the rule that a send would break; "" means that it may go.
func (b *Broker) forbids(pt *part, s *Server) string {
	set := &b.opt.Settings
	switch {
	case pt.over || pt.in:
		return "the part is over"
	case pt.live != nil:
		return "an attempt of the part is out"
	case set.MaxAttempts > 0 && pt.attempts > set.MaxAttempts:
		return "the part has had all its attempts"
	case pt.mayRun && pt.q.class.Idempotency == decision.NonIdempotent:
		return "the part may have run and must not run twice"
	case !pt.until.IsZero() && !time.Now().Before(pt.until):
		return "the part may have run and its window for repeats is over"
	case pt.q.req.gone():
		return "the client has gone"
	case s == nil || s.Leaving():
		return "the server drains, is gone or was never listed"
	case !holds(set, s.Cell, pt.Shard):
		return "the server does not hold the shard"
	case !time.Now().Before(pt.q.deadline):
		return "the client's time is up"
	}
	return ""
}

// holds tells whether the servers of a cell hold a shard.
func holds(set *decision.Settings, cell, shard int) bool {
	if set.ReplicaSets <= 0 {
		return true
	}
	ahead := (cell - shard%set.ReplicaSets + set.ReplicaSets) % set.ReplicaSets
	return ahead < max(set.ReplicationFactor, 1)
}

// giveUp ends the wait for a call. One whose first byte was never written cannot have run.
func (b *Broker) giveUp(c *Call, status decision.Status) {
	was := c.state.Or(callOver)
	if was&callOver != 0 {
		return // its end is on the way here
	}
	if was == callWaiting {
		status = decision.NotSent
	}
	b.link.Cancel(c)
	b.ended(c, Reply{Status: status, Load: decision.NoLoadReport})
}

// ended books the end of a call and tells the Decider.
func (b *Broker) ended(c *Call, r Reply) {
	pt := c.pt
	c.stop()
	if r.Status == decision.OK && !r.Scored && pt.ranked() {
		r.Status = decision.Error // the second step could not be chosen by it: a spoilt answer
	}
	c.Server.book(r.Status)
	pt.live = nil
	switch r.Status {
	case decision.Overloaded, decision.Unreachable, decision.NotSent:
	default:
		// Where servers drop repeats, they do so for a time from the first attempt that may have run.
		if class := &pt.q.class; !pt.mayRun && class.Idempotency == decision.IdempotentWithKey {
			pt.until = time.Now().Add(b.clock.until(c.sent + class.IdempotencyWindow - windowLead))
		}
		pt.mayRun = true
	}
	if r.Status == decision.OK && !pt.over {
		pt.in, pt.value, pt.score = true, r.Value, r.Score
	}
	if pt.over {
		delete(b.parts, pt.id)
	}
	b.tell(decision.AttemptFinished{
		ID: pt.id, Attempt: c.number, Server: c.Server.ID, Status: r.Status,
		Latency: b.clock.now() - c.sent, PartConcluded: pt.in || pt.over, LoadReport: r.Load,
	})
}

// Probe asks a record server how it is.
type Probe struct {
	Server   *Server
	Addr     string
	Load     bool // the report is wanted
	Deadline time.Time

	b    *Broker
	sent float64
	over atomic.Bool
	stop func()
}

// Done tells a probe's result. Only the first counts.
func (p *Probe) Done(r Reply) {
	if !p.over.Swap(true) {
		p.b.post(func() { p.b.probed(p, r) })
	}
}

// Begin is asked just before the first byte of a probe is written, as for a call.
func (p *Probe) Begin() bool {
	if p.Server.Leaving() || !time.Now().Before(p.Deadline) {
		p.Done(Reply{Status: decision.NotSent, Load: decision.NoLoadReport})
	}
	return !p.over.Load()
}

func (b *Broker) probe(id string) {
	s := b.servers.get(id)
	if s == nil || s.Leaving() {
		return
	}
	p := &Probe{
		b: b, Server: s, Addr: s.Addr, Load: b.opt.Settings.ReportMode != decision.ReportNone,
		sent: b.clock.now(), Deadline: time.Now().Add(b.opt.ProbeFor),
	}
	p.stop = b.after(b.opt.ProbeFor, func() {
		if !p.over.Swap(true) {
			b.probed(p, Reply{Status: decision.TimedOut, Load: decision.NoLoadReport})
		}
	})
	b.link.Probe(p)
}

func (b *Broker) probed(p *Probe, r Reply) {
	p.stop()
	b.tell(decision.HealthChecked{
		Server: p.Server.ID, Status: r.Status, Latency: b.clock.now() - p.sent, LoadReport: r.Load,
	})
}
