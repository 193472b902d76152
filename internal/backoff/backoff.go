// Package backoff decides when a client of a shared service retries. It does no I/O and keeps no clock.
//
// It prevents a thundering herd: calls that a fleet makes in one millisecond, since its callers were started or lost their
// connections together, would overload the service. So every wait has jitter, and the spans from which the first waits and the
// longest are drawn grow with the number of callers.
package backoff

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	minRetrySpan = 100 * time.Millisecond // of the first wait after a failure, which is drawn from its upper half
	callDuration = 25 * time.Millisecond  // the service's time that one call may take

	// maxStartSpan is below the 250 ms after which a drain is in force that the first call would have received: the endpoint
	// list that a caller has at its start may be old. Updates that are missed later are in force after 6 s.
	maxStartSpan      = 200 * time.Millisecond
	maxFirstSpan      = 2 * time.Second
	minLongestSpan    = time.Second
	maxLongestSpan    = 3 * time.Second
	longestSpanFactor = 2 // times the time that the service takes to serve all callers once

	// DefaultCallers is the assumed size of a fleet that states none, or an implausible one.
	DefaultCallers = 100
	// MaxCallers is the largest plausible size of a fleet.
	MaxCallers = 100_000

	seedStream = 0xbb67ae8584caa73b // of the random numbers, so that other users of the seed draw different ones
)

// ClampCallers returns n and true, or DefaultCallers and false where n is outside 1 to MaxCallers.
func ClampCallers(n int) (int, bool) {
	if n < 1 || n > MaxCallers {
		return DefaultCallers, false
	}
	return n, true
}

// Backoff is the waits of one caller. Make it with New. But for SetCallers it is not safe for concurrent use.
type Backoff struct {
	rng         *rand.Rand
	started     bool          // the wait before the first call of all has been drawn
	firstSpan   atomic.Int64  // nanoseconds from which the wait after a success is drawn
	longestSpan atomic.Int64  // nanoseconds from which the longest wait is drawn
	span        time.Duration // from whose upper half the last wait was drawn; 0: no call has failed since a success
}

// New returns the waits of one of a number of callers. Equal seeds give equal waits, so callers need different ones.
func New(callers int, seed uint64) *Backoff {
	b := &Backoff{rng: rand.New(rand.NewPCG(seed, seedStream))}
	b.SetCallers(callers)
	return b
}

// SetCallers sets the number of callers. Any goroutine may call it.
func (b *Backoff) SetCallers(callers int) {
	callers, _ = ClampCallers(callers)
	serveAll := time.Duration(callers) * callDuration
	b.firstSpan.Store(int64(min(serveAll, maxFirstSpan)))
	b.longestSpan.Store(int64(min(max(longestSpanFactor*serveAll, minLongestSpan), maxLongestSpan)))
}

// Next returns the wait before the next call. The wait after a success may be 0. After that each wait is drawn from the upper
// half of a span that doubles: callers that fail together drift apart and call less often, until the service can serve them
// one by one, whatever its capacity. Where timeLeft is above 0, the wait is at most timeLeft.
func (b *Backoff) Next(timeLeft time.Duration) time.Duration {
	if b.span == 0 {
		return b.firstWait(timeLeft)
	}
	b.span = min(2*b.span, time.Duration(b.longestSpan.Load()))
	if timeLeft > 0 && timeLeft < b.span {
		return b.draw(timeLeft/2, timeLeft)
	}
	return b.draw(b.span/2, b.span)
}

// firstWait returns the wait at the start or after a success.
func (b *Backoff) firstWait(timeLeft time.Duration) time.Duration {
	first := time.Duration(b.firstSpan.Load())
	b.span = max(first, minRetrySpan) / 2
	if !b.started {
		b.started = true
		first = min(first, maxStartSpan)
	}
	if timeLeft > 0 {
		first = min(first, timeLeft)
	}
	return b.draw(0, first)
}

// draw returns a wait of at least from and below to, or from where to is not above it.
func (b *Backoff) draw(from, to time.Duration) time.Duration {
	return from + time.Duration(b.rng.Int64N(max(int64(to-from), 1)))
}

// Succeeded records that a call has succeeded: the next wait is that after a success.
func (b *Backoff) Succeeded() { b.span = 0 }
