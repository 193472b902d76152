// Package backoff decides when a caller of a shared service retries. It does no I/O and keeps no clock.
//
// It is built for fleets (a thundering herd): what one caller does at once is harmless, and overloads the service when
// hundreds do it in the same millisecond, as they do when they were started, or lost their connections, together. So every
// wait has jitter, and the first ones and the longest grow with the number of callers.
package backoff

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	minRetrySpan = 100 * time.Millisecond // the shortest wait after a failure, but for its random part
	callDuration = 25 * time.Millisecond  // of the service's time that one caller's call may take

	// The list that a caller knows at its start may be old, and a drain is in force 250 ms after a call would have brought
	// it. Updates that are missed while a watch is broken are in force only after 6 s.
	maxStartSpan      = 200 * time.Millisecond
	maxFirstSpan      = 2 * time.Second
	minLongestSpan    = time.Second
	maxLongestSpan    = 3 * time.Second
	longestSpanFactor = 2 // the longest wait, in times that it takes to serve all callers once

	// DefaultCallers is the size of a fleet that does not state it, or states an absurd one.
	DefaultCallers = 100
	// MaxCallers is the largest size that is believed.
	MaxCallers = 100_000
)

// ClampCallers returns a fleet's size, or DefaultCallers and false where it is absurd.
func ClampCallers(n int) (int, bool) {
	if n < 1 || n > MaxCallers {
		return DefaultCallers, false
	}
	return n, true
}

// Backoff is one caller's waits. Make it with New.
type Backoff struct {
	rng         *rand.Rand
	firstSpan   atomic.Int64  // nanoseconds: the first call after a success waits for less than this
	started     bool          // the first call of all is over
	longestSpan atomic.Int64  // the same of the longest
	span        time.Duration // of the wait before; 0: the last call succeeded, or there was none
}

// New returns the waits of one of so many callers. Equal seeds give equal waits: callers need different ones.
func New(callers int, seed uint64) *Backoff {
	b := &Backoff{rng: rand.New(rand.NewPCG(seed, 0xbb67ae8584caa73b))}
	b.Resize(callers)
	return b
}

// Resize takes note of how many callers there are. Any goroutine may call it.
func (b *Backoff) Resize(callers int) {
	callers, _ = ClampCallers(callers)
	all := time.Duration(callers) * callDuration
	b.firstSpan.Store(int64(min(all, maxFirstSpan)))
	b.longestSpan.Store(int64(min(max(longestSpanFactor*all, minLongestSpan), maxLongestSpan)))
}

// Next is how long to wait before the next call. A first wait may be nothing. Each later one is drawn from the upper half of a
// span that doubles: whatever the service bears, callers that fail together drift apart and call less and less, until it can
// serve them one by one. Where the call has to start within timeLeft, no wait is longer; 0 or less: there is no such limit.
func (b *Backoff) Next(timeLeft time.Duration) time.Duration {
	if b.span == 0 {
		first := time.Duration(b.firstSpan.Load())
		if !b.started {
			b.started, first = true, min(first, maxStartSpan)
		}
		if timeLeft > 0 {
			first = min(first, timeLeft)
		}
		b.span = max(time.Duration(b.firstSpan.Load())/2, minRetrySpan/2)
		return b.draw(0, first)
	}
	b.span = min(2*b.span, time.Duration(b.longestSpan.Load()))
	if from, to := b.span/2, b.span; timeLeft <= 0 || to <= timeLeft {
		return b.draw(from, to)
	}
	return b.draw(timeLeft/2, timeLeft)
}

func (b *Backoff) draw(from, to time.Duration) time.Duration {
	return from + time.Duration(b.rng.Int64N(max(int64(to-from), 1)))
}

// Succeeded tells that a call was served: the next wait is a first one again.
func (b *Backoff) Succeeded() { b.span = 0 }
