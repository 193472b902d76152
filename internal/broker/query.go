package broker

import (
	"slices"
	"time"

	"mothrouter/internal/decision"
)

// sumSlack is the rounding of shares; the rules allow 0.0001.
const sumSlack = 1e-6

// Outcome is how a query ended.
type Outcome int

const (
	Answered  Outcome = iota
	Refused           // no unsafe part of it can have run: trying again is harmless
	Failed            // nothing is promised
	Overdue           // failed because its time was up
	Duplicate         // a query of the same name is still held; this one was not taken
)

// Result is a query's final answer.
type Result struct {
	Outcome    Outcome
	Whole      bool
	Values     []Value // of the parts that are in
	RetryAfter float64 // seconds; 0: no advice
}

// Value is what a record server gave for a part.
type Value struct {
	Shard int
	Data  []byte
}

type query struct {
	req      *Request
	client   Client
	id       decision.RequestID
	class    decision.Class
	parts    []*part    // of the present step
	first    *FirstStep // what the first step brought; nil: it is the present one
	deadline time.Time
	stop     func() // the deadline's timer
}

type part struct {
	Part
	id       decision.RequestID
	q        *query
	attempts int
	live     *Call
	mayRun   bool      // an attempt that ended may have run
	until    time.Time // then no repeat begins any more, since servers do not drop it; zero: nothing forbids it
	in       bool
	over     bool // its step or its query has ended
	value    []byte
	score    int64
	second   *FirstStep // of a part of a second step; nil: of the first
}

// windowLead is for a repeat's way to its server: the window counts up to its last byte.
const windowLead = 0.005 // seconds

// Take hands a query to the core. The client hears of its end once, unless it leaves before.
func (b *Broker) Take(r *Request, c Client) {
	if !b.post(func() { b.take(r, c) }) {
		c.Finish(Result{Outcome: Failed})
	}
}

// Leave tells that the client of a query has gone away.
func (b *Broker) Leave(r *Request) {
	b.post(func() {
		if q := b.byName[r.ID]; q != nil && q.req == r {
			b.forget(q)
			if c, ok := q.client.(Leaver); ok {
				c.Left()
			}
			b.tell(decision.ClientDisconnected{ID: q.id})
		}
	})
}

func (b *Broker) take(r *Request, c Client) {
	if r.gone() { // before the loop came to it
		if c, ok := c.(Leaver); ok {
			c.Left()
		}
		return
	}
	// Part ids on the wire are made of the query's name: two of one name could not be told apart.
	if b.byName[r.ID] != nil {
		c.Finish(Result{Outcome: Duplicate})
		return
	}
	deadline := r.Arrived.Add(b.patience(r))
	if !b.endBy.IsZero() && deadline.After(b.endBy) {
		deadline = b.endBy
	}
	if over := !b.endBy.IsZero() && time.Until(b.endBy) <= answerLead; over ||
		b.opt.OpenCap > 0 && b.open+1+len(r.Parts) > b.opt.OpenCap ||
		b.opt.Open != nil && !b.opt.Open.Take(1+len(r.Parts)) {
		c.Finish(Result{Outcome: Refused, RetryAfter: b.advice()})
		return
	}
	q := &query{req: r, client: c, id: b.nextID(), class: b.opt.Settings.Classes[r.Class]}
	q.deadline = deadline
	b.queries[q.id], b.byName[r.ID] = q, q
	b.open += 1 + len(r.Parts)
	work := 0.0
	for _, p := range r.Parts {
		pt := &part{Part: p, id: b.nextID(), q: q}
		q.parts = append(q.parts, pt)
		b.parts[pt.id] = pt
		work += p.Work
	}
	b.guard(q)
	b.tell(decision.Query{
		ID: q.id, Number: int64(q.id), Class: r.Class, Key: r.Key, Parts: len(r.Parts),
		Deadline: b.clock.at(q.deadline), Retry: r.Retry, Work: work,
		ReceivedAt: b.clock.at(r.Arrived),
	})
	for _, pt := range q.parts {
		b.tell(decision.Part{
			ID: pt.id, QueryNumber: int64(q.id), Shard: pt.Shard, Weight: pt.Share, Key: pt.Route, Work: pt.Work,
		})
	}
}

// guard sees to it that a query has its final answer before the client's time or the process's is up, even if the
// Decider forgets it or ends it too late.
func (b *Broker) guard(q *query) {
	q.stop = b.after(time.Until(q.deadline)-answerLead, func() {
		b.forget(q) // first: what has not begun by now never will, so that a refusal holds
		last := Result{Outcome: Overdue}
		if q.deadline.Equal(b.endBy) { // the client would wait on
			last = q.lastWord(b.advice())
		}
		q.client.Finish(last)
		b.tell(decision.ClientDisconnected{ID: q.id})
	})
}

// EndBy has every query that is held, and every later one, answered by then: the process will be killed. One that
// its client would wait for longer is answered from the parts that are in, refused or failed.
func (b *Broker) EndBy(t time.Time) {
	b.post(func() {
		b.endBy = t
		for _, q := range b.queries {
			if q.deadline.After(t) {
				q.stop()
				q.deadline = t
				b.guard(q)
			}
		}
	})
}

func (b *Broker) nextID() decision.RequestID {
	b.lastID++
	return b.lastID
}

// advice is when a client that is refused for want of room should come back.
func (b *Broker) advice() float64 {
	if b.opt.Settings.RetryAfterSupported {
		return b.opt.Settings.MaxRetryAfter
	}
	return 0
}

// finish gives a query its final answer and forgets it.
func (b *Broker) finish(q *query, r Result) {
	b.forget(q)
	q.client.Finish(r)
}

// forget drops a query. Its attempts may still be out; each part is kept until its attempt has ended.
func (b *Broker) forget(q *query) {
	q.stop()
	delete(b.queries, q.id)
	delete(b.byName, q.req.ID)
	b.release(1 + len(q.parts))
	b.endStep(q)
}

// release gives room for so many queries and parts back.
func (b *Broker) release(n int) {
	b.open -= n
	if b.opt.Open != nil {
		b.opt.Open.Give(n)
	}
}

// endStep drops the parts of the present step.
func (b *Broker) endStep(q *query) {
	for _, pt := range q.parts {
		pt.over = true
		if pt.live == nil {
			delete(b.parts, pt.id)
		} else if pt.live.state.CompareAndSwap(callWaiting, callOver) {
			// Guards against an attempt that still waits for a connection and would begin for nobody: whether or not
			// cancels are allowed, nothing of it has gone out.
			b.link.Cancel(pt.live)
			b.ended(pt.live, Reply{Status: decision.NotSent, Load: decision.NoLoadReport})
		}
	}
}

// lastWord is the answer to a query that is cut short: from the parts that are in, if they are enough.
func (q *query) lastWord(retryAfter float64) Result {
	if r := q.answer(true); r.Outcome == Answered && len(r.Values) > 0 {
		return r
	}
	return q.refusal(retryAfter)
}

// answer makes the answer from the parts that are in. Under the class's floor there is none, and it is
// marked whole only if it is, whatever the Decider says.
func (q *query) answer(whole bool) Result {
	if q.awaitsSecond() || !q.enough() {
		return Result{Outcome: Failed}
	}
	r := Result{Outcome: Answered, Whole: whole && q.whole()}
	for _, pt := range q.parts {
		if pt.in {
			r.Values = append(r.Values, Value{pt.Shard, pt.value})
		}
	}
	return r
}

// weight is that of the present step's parts that are in.
func (q *query) weight() (in float64) {
	for _, pt := range q.parts {
		if pt.in {
			in += pt.Share
		}
	}
	return in
}

// need is the weight of the present step's parts that makes it whole: a second step needs all of them.
func (q *query) need() float64 {
	if q.first != nil {
		return 1
	}
	return q.class.CompletenessThreshold
}

// enough tells whether the present step may be closed with the parts that are in. The class's floor holds for each step.
func (q *query) enough() bool {
	least := q.need()
	if q.class.MinCompleteness < q.class.CompletenessThreshold {
		least = min(q.class.MinCompleteness, least)
	}
	return q.weight() >= least-sumSlack
}

// whole tells whether the present step is whole, and the one before it was.
func (q *query) whole() bool {
	return q.weight() >= q.need()-sumSlack && (q.first == nil || q.first.Whole)
}

// refusal refuses a query, unless an unsafe part of it may have run: then it has failed. The query has been forgotten,
// so that none of its calls can begin any more.
func (q *query) refusal(retryAfter float64) Result {
	ran := q.first != nil || slices.ContainsFunc(q.parts, func(pt *part) bool {
		return pt.mayRun || pt.in || pt.live != nil && pt.live.begun()
	})
	if ran && q.class.Idempotency != decision.Idempotent {
		return Result{Outcome: Failed}
	}
	return Result{Outcome: Refused, RetryAfter: retryAfter}
}
