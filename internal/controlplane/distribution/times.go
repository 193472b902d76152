package distribution

import "time"

// earliest returns the earliest of the times that are not zero, or the zero time if all are zero.
func earliest(times ...time.Time) time.Time {
	first := time.Time{}
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// latest returns the latest of one or more times.
func latest(times ...time.Time) time.Time {
	last := times[0]
	for _, t := range times[1:] {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// ageMilliseconds returns the milliseconds since at, limited to a value below NeverConfirmed, or NeverConfirmed if at is zero.
func ageMilliseconds(now, at time.Time) uint32 {
	if at.IsZero() {
		return NeverConfirmed
	}
	age := max(now.Sub(at), 0).Milliseconds()
	return uint32(min(age, NeverConfirmed-1))
}
