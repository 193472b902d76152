package broker

import "time"

// maxSeconds limits values in seconds before conversion to time.Duration, which overflows at about 9.2e9 s.
const maxSeconds = 1e9

// clock returns Unix seconds: the wall-clock time read once at startup (anchor) plus the time elapsed on the monotonic clock.
// Reading the wall clock each time would let a clock step move deadlines.
type clock struct{ anchor time.Time }

func newClock() clock { return clock{time.Now()} }

// at converts a time to Unix seconds.
func (c clock) at(t time.Time) float64 {
	return float64(c.anchor.UnixNano())/1e9 + t.Sub(c.anchor).Seconds()
}

// now returns the current time in Unix seconds.
func (c clock) now() float64 { return c.at(time.Now()) }

// until returns the duration from now to t, which is in Unix seconds.
func (c clock) until(t float64) time.Duration { return secondsToDuration(t - c.now()) }

// secondsToDuration converts seconds to a duration, clamped to ±maxSeconds.
func secondsToDuration(s float64) time.Duration {
	return time.Duration(max(min(s, maxSeconds), -maxSeconds) * float64(time.Second))
}
