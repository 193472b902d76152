// Package fairqueue shares the processor between the connections of clients, so that what one client sends, at any speed and of
// any kind, delays the others by a bounded time only.
//
// Input is processed in turns. Each connection is a flow; a turn processes one request, or one read, of one flow. The Queue
// decides whose turn it is: it does no I/O and takes the time as an argument. The Scheduler drives it.
//
// Flows that wait are ordered by start-time fair queueing (Goyal, Vin and Cheng, 1996), which gives every flow the same share,
// whatever its demand: a flow that has used less than the others goes first. A new flow counts as one that has been accepted, since
// virtual time would stand still while new flows keep coming, and others would starve. Together the turns take at most half of the
// processors' time. In the pauses between them no turn is ready to run, so the Go scheduler runs the rest of the process and
// polls the network, which it otherwise does rarely while goroutines are ready.
package fairqueue

import (
	"container/heap"
	"time"
)

const (
	// maxShare is the part of the slots' time that work on input may take on average.
	maxShare = 0.5
	// maxDebt is how much longer than maxShare of the recent time work on input may have taken before the Queue pauses.
	maxDebt = 2 * time.Millisecond
	// maxCharge is the largest time of one turn that counts. A longer one was held up, as by a process without a processor.
	maxCharge = 5 * time.Millisecond
)

// AcceptCost is the cost of a turn that accepts a connection. It is far below that of a request: all new connections come from one
// flow, and would wait for a turn of each of the others between them.
const AcceptCost = 1

// requestCost is the cost of a request, and of each KiB of input.
const requestCost = 32

// RequestCost returns the cost of a turn that processes a request, or a part of one, of a number of bytes.
func RequestCost(bytes int) int { return requestCost * (1 + bytes>>10) }

// Queue decides which flows get turns. Create it with newQueue. It is not safe for concurrent use.
type Queue struct {
	slots       int // turns that may be in progress
	inProgress  int
	virtualTime uint64 // start tag of the latest turn
	waiting     waitingFlows
	requests    uint64 // number of requests so far

	debt        time.Duration // time that work on input has taken beyond maxShare
	updatedAt   time.Time     // of debt
	paused      bool          // no turn begins
	pausedUntil time.Time
	stats       Stats
}

// Stats tells how often and how long turns have paused.
type Stats struct {
	Pauses     int
	Paused     time.Duration // sum of the pauses
	MaxWaiting int           // most flows that have waited at once
}

func newQueue(slots int) *Queue { return &Queue{slots: max(slots, 1)} }

// add registers a new flow.
func (q *Queue) add(f *Flow) {
	f.finishTag = q.virtualTime + AcceptCost
	f.index = notQueued
}

// request asks for a turn of a flow that has none and does not wait for one.
func (q *Queue) request(f *Flow) {
	f.startTag = max(q.virtualTime, f.finishTag)
	f.requestNumber = q.requests
	q.requests++
	heap.Push(&q.waiting, f)
	q.stats.MaxWaiting = max(q.stats.MaxWaiting, len(q.waiting))
}

// cancel withdraws the request of a flow that waits.
func (q *Queue) cancel(f *Flow) { heap.Remove(&q.waiting, f.index) }

// finish ends the turn of a flow. cost is AcceptCost or RequestCost; busy is the time that the turn took.
func (q *Queue) finish(f *Flow, cost int, busy time.Duration, now time.Time) {
	q.inProgress--
	f.finishTag = f.startTag + uint64(cost)
	q.charge(busy, now)
}

// charge counts time that work on input took, in a turn or outside of one. Work outside of turns that goes on during a pause does
// not prolong it, and leaves the turns some time after it.
func (q *Queue) charge(busy time.Duration, now time.Time) {
	q.payDebt(now)
	q.debt = min(q.debt+min(busy, maxCharge), maxDebt+maxCharge)
	if q.debt >= maxDebt && !q.paused {
		pause := time.Duration(float64(q.debt) / q.payRate())
		q.paused = true
		q.pausedUntil = now.Add(pause)
		q.stats.Pauses++
		q.stats.Paused += pause
	}
}

// next returns a flow whose turn begins now, or nil if none may begin.
func (q *Queue) next(now time.Time) *Flow {
	q.payDebt(now)
	if q.paused || q.inProgress == q.slots || len(q.waiting) == 0 {
		return nil
	}
	f := heap.Pop(&q.waiting).(*Flow)
	q.inProgress++
	q.virtualTime = max(q.virtualTime, f.startTag)
	return f
}

// resumeIn returns how long a pause in which flows wait will last; 0 if there is none.
func (q *Queue) resumeIn(now time.Time) time.Duration {
	if !q.paused || len(q.waiting) == 0 {
		return 0
	}
	return q.pausedUntil.Sub(now)
}

// payDebt reduces the debt by the share of the time since the last call that turns may take, and ends a pause that is over.
func (q *Queue) payDebt(now time.Time) {
	elapsed := now.Sub(q.updatedAt)
	q.updatedAt = now
	q.debt = max(q.debt-time.Duration(float64(elapsed)*q.payRate()), 0)
	if q.paused && !now.Before(q.pausedUntil) {
		q.paused = false
		q.debt = min(q.debt, maxDebt/2)
	}
}

// payRate returns how much debt is paid in each unit of time.
func (q *Queue) payRate() float64 { return maxShare * float64(q.slots) }

// notQueued is the index of a flow that does not wait.
const notQueued = -1

// waitingFlows is a heap of flows by start tag. Of those with equal tags, flows that have used less than their share go first, then
// those that have waited longest.
type waitingFlows []*Flow

func (w waitingFlows) Len() int { return len(w) }

func (w waitingFlows) Less(i, j int) bool {
	switch {
	case w[i].startTag != w[j].startTag:
		return w[i].startTag < w[j].startTag
	case w[i].backlogged() != w[j].backlogged():
		return w[j].backlogged()
	}
	return w[i].requestNumber < w[j].requestNumber
}

func (w waitingFlows) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waitingFlows) Push(x any) {
	f := x.(*Flow)
	f.index = len(*w)
	*w = append(*w, f)
}

// Pop implements heap.Interface.
func (w *waitingFlows) Pop() any {
	last := len(*w) - 1
	f := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	f.index = notQueued
	return f
}
