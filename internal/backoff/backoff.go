// Package backoff computes how long a client of a shared service waits before its next call. It uses exponential backoff with
// jitter. It does no I/O and does not read the clock.
//
// It prevents a thundering herd: if all callers in a fleet start or lose their connections at the same time, their calls within
// one millisecond would overload the service. Every wait therefore has jitter, and the ranges of the first wait and of the
// longest wait grow with the number of callers.
package backoff

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// minRetryLimit is the minimum limit of the first wait after a failure. The wait is in the upper half of its limit.
	minRetryLimit = 100 * time.Millisecond
	// callDuration is the assumed time that the service takes to serve one call.
	callDuration = 25 * time.Millisecond

	// maxInitialLimit limits the wait before the very first call. The endpoint list that a caller has when it starts may be out of
	// date, and a drain that the first call would have received takes effect after 250 ms, so the limit is below that. Updates
	// that are missed later take effect after 6 s.
	maxInitialLimit = 200 * time.Millisecond

	maxFirstLimit      = 2 * time.Second
	minLongestLimit    = time.Second
	maxLongestLimit    = 3 * time.Second
	longestLimitFactor = 2 // longestLimit as a multiple of the time that the service takes to serve all callers once

	// DefaultCallers is the assumed number of callers if the configured number is missing or implausible.
	DefaultCallers = 100
	// MaxCallers is the largest plausible number of callers.
	MaxCallers = 100_000

	// seedStream is the PCG stream of the random numbers. It differs from the streams of other users of the same seed.
	seedStream = 0xbb67ae8584caa73b
)

// ClampCallers returns n and true, or DefaultCallers and false if n is not between 1 and MaxCallers.
func ClampCallers(n int) (int, bool) {
	if n < 1 || n > MaxCallers {
		return DefaultCallers, false
	}
	return n, true
}

// Backoff computes the waits of one caller. Use New. Except for SetCallers, it is not safe for concurrent use.
type Backoff struct {
	rng          *rand.Rand
	started      bool         // whether Next has been called
	firstLimit   atomic.Int64 // limit of the wait after a success, in nanoseconds
	longestLimit atomic.Int64 // limit of all waits after a failure, in nanoseconds

	// limit is doubled by Next, up to longestLimit, to get the limit of the next wait after a failure. It is 0 if Next has not
	// been called since the latest success.
	limit time.Duration
}

// New returns the backoff of one caller out of the given number of callers. Equal seeds result in equal waits, so each caller
// needs a different seed.
func New(callers int, seed uint64) *Backoff {
	b := &Backoff{rng: rand.New(rand.NewPCG(seed, seedStream))}
	b.SetCallers(callers)
	return b
}

// SetCallers sets the number of callers. It may be called from any goroutine.
func (b *Backoff) SetCallers(callers int) {
	callers, _ = ClampCallers(callers)
	serveAllTime := time.Duration(callers) * callDuration
	b.firstLimit.Store(int64(min(serveAllTime, maxFirstLimit)))
	b.longestLimit.Store(int64(min(max(longestLimitFactor*serveAllTime, minLongestLimit), maxLongestLimit)))
}

// Next returns the wait before the next call. The first wait, initially and after a success, is random between 0 and a limit.
// Each wait after a failure is random in the upper half of a limit that doubles. Callers that fail at the same time therefore
// spread out and call less often, until the service can serve them one by one, whatever its capacity. If timeLeft is above 0,
// the wait is at most timeLeft.
func (b *Backoff) Next(timeLeft time.Duration) time.Duration {
	if b.limit == 0 {
		return b.firstWait(timeLeft)
	}
	b.limit = min(2*b.limit, time.Duration(b.longestLimit.Load()))
	if timeLeft > 0 && timeLeft < b.limit {
		return b.random(timeLeft/2, timeLeft)
	}
	return b.random(b.limit/2, b.limit)
}

// firstWait returns the initial wait or the first wait after a success.
func (b *Backoff) firstWait(timeLeft time.Duration) time.Duration {
	first := time.Duration(b.firstLimit.Load())
	b.limit = max(first, minRetryLimit) / 2
	if !b.started {
		b.started = true
		first = min(first, maxInitialLimit)
	}
	if timeLeft > 0 {
		first = min(first, timeLeft)
	}
	return b.random(0, first)
}

// random returns a random duration in the half-open interval [from, to), or from if the interval is empty.
func (b *Backoff) random(from, to time.Duration) time.Duration {
	return from + time.Duration(b.rng.Int64N(max(int64(to-from), 1)))
}

// Succeeded records that a call has succeeded. The next wait is then the first wait after a success.
func (b *Backoff) Succeeded() { b.limit = 0 }
