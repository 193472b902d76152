package fairqueue

import (
	"sync"
	"time"
)

// minPause is the shortest wait for the end of a pause: what the runtime's network poller can wait for.
const minPause = time.Millisecond

// Scheduler grants turns to flows. It is safe for concurrent use.
type Scheduler struct {
	mu    sync.Mutex // guards the fields below
	queue *Queue
	timer *time.Timer // ends a pause; nil: none has been needed yet
}

// NewScheduler returns a scheduler of as many concurrent turns as slots says, at least one.
func NewScheduler(slots int) *Scheduler { return &Scheduler{queue: newQueue(slots)} }

// TakeStats returns the statistics since the last call.
func (s *Scheduler) TakeStats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.queue.stats
	s.queue.stats = Stats{}
	return stats
}

// Flow is a source of input, such as a client connection. One goroutine at a time may call its methods.
type Flow struct {
	scheduler *Scheduler
	granted   chan struct{}
	state     flowState
	startedAt time.Time // of the turn

	// The scheduler's mu guards these.
	startTag      uint64
	finishTag     uint64
	requestNumber uint64
	index         int // in Queue.waiting
}

type flowState int

const (
	idle flowState = iota
	waiting
	working // has a turn
)

// backlogged reports whether a flow that waits has used its share or more.
func (f *Flow) backlogged() bool { return f.finishTag >= f.startTag }

// NewFlow returns a flow without a turn.
func (s *Scheduler) NewFlow() *Flow {
	f := &Flow{scheduler: s, granted: make(chan struct{}, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.add(f)
	return f
}

// Acquire asks for a turn, unless the flow waits for one or has one, and reports whether the turn has begun. If it has not,
// Granted receives once it may begin, and Acquire must be called again then.
func (f *Flow) Acquire() bool {
	switch f.state {
	case idle:
		f.scheduler.request(f)
		f.state = waiting
	case working:
		return true
	}
	select {
	case <-f.granted:
		f.Begin()
		return true
	default:
		return false
	}
}

// Wait asks for a turn and blocks until it has begun.
func (f *Flow) Wait() {
	if !f.Acquire() {
		<-f.granted
		f.Begin()
	}
}

// Granted returns the channel that receives when the turn that the flow waits for may begin. The receiver must call Begin.
func (f *Flow) Granted() <-chan struct{} { return f.granted }

// Begin begins the turn after a receive from Granted.
func (f *Flow) Begin() {
	f.state = working
	f.startedAt = time.Now()
}

// Waiting reports whether the flow waits for a turn.
func (f *Flow) Waiting() bool { return f.state == waiting }

// Release ends the turn, if the flow has one. cost is AcceptCost or RequestCost of what was processed.
func (f *Flow) Release(cost int) {
	if f.state != working {
		return
	}
	f.state = idle
	now := time.Now()
	f.scheduler.finish(f, cost, now.Sub(f.startedAt), now)
}

// Charge counts work on the flow's input outside of its turns, such as reads and writes, which took busy of a processor's time.
func (f *Flow) Charge(busy time.Duration) { f.scheduler.charge(busy) }

// Close ends the turn of the flow, or withdraws its request.
func (f *Flow) Close() {
	if f.state == waiting && !f.scheduler.cancel(f) {
		<-f.granted // the turn was granted meanwhile
		f.Begin()
	}
	f.Release(RequestCost(0))
	f.state = idle
}

func (s *Scheduler) request(f *Flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.request(f)
	s.grant(time.Now())
}

// cancel withdraws a request and reports whether it was still waiting.
func (s *Scheduler) cancel(f *Flow) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.index == notQueued {
		return false
	}
	s.queue.cancel(f)
	return true
}

func (s *Scheduler) charge(busy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.charge(busy, time.Now())
}

func (s *Scheduler) finish(f *Flow, cost int, busy time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.finish(f, cost, busy, now)
	s.grant(now)
}

// grant grants the turns that may begin, and has the timer end a pause. The caller holds mu.
func (s *Scheduler) grant(now time.Time) {
	for f := s.queue.next(now); f != nil; f = s.queue.next(now) {
		f.granted <- struct{}{} // has room: a flow waits for one turn at most
	}
	pause := s.queue.resumeIn(now)
	if pause == 0 {
		return
	}
	pause = max(pause, minPause)
	if s.timer == nil {
		s.timer = time.AfterFunc(pause, s.resume)
		return
	}
	s.timer.Reset(pause)
}

// resume grants turns after a pause.
func (s *Scheduler) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant(time.Now())
}
