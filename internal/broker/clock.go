package broker

import "time"

// maxSeconds bounds a time in seconds before it becomes a time.Duration, which holds about 9.2e9 s.
const maxSeconds = 1e9

// clock gives Unix seconds from an anchor that is read once and advanced by the monotonic clock: a step of the system's
// clock would otherwise move deadlines.
type clock struct{ anchor time.Time }

func newClock() clock { return clock{time.Now()} }

// at returns a time as Unix seconds.
func (c clock) at(t time.Time) float64 {
	return float64(c.anchor.UnixNano())/1e9 + t.Sub(c.anchor).Seconds()
}

// now returns the present time as Unix seconds.
func (c clock) now() float64 { return c.at(time.Now()) }

// until returns the duration from now to t, in Unix seconds.
func (c clock) until(t float64) time.Duration { return secondsToDuration(t - c.now()) }

// secondsToDuration converts seconds to a duration, clamped to ±maxSeconds.
func secondsToDuration(s float64) time.Duration {
	return time.Duration(max(min(s, maxSeconds), -maxSeconds) * float64(time.Second))
}
