package broker

import "time"

// maxSeconds bounds what a time in seconds may be as a duration.
const maxSeconds = 1e9

// clock counts Unix seconds, anchored once and advanced monotonically: a step of the system's clock would otherwise move
// deadlines.
type clock struct{ anchor time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) at(t time.Time) float64 {
	return float64(c.anchor.UnixNano())/1e9 + t.Sub(c.anchor).Seconds()
}

func (c clock) now() float64 { return c.at(time.Now()) }

func (c clock) until(t float64) time.Duration { return secondsToDuration(t - c.now()) }

// secondsToDuration is a duration of so many seconds; what no duration can hold is maxSeconds.
func secondsToDuration(s float64) time.Duration {
	return time.Duration(max(min(s, maxSeconds), -maxSeconds) * float64(time.Second))
}
