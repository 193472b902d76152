// Package median tracks the lower median of many values that change within known bounds, without computing all of them each
// time. For most values, the bounds show on which side of the median they are. Only the others are computed.
package median

const (
	// bandFactor sets the band from median/bandFactor to median*bandFactor. The band is wide enough for the median to stay in it
	// for some time, and narrow enough to contain only a few values.
	bandFactor = 1.25

	// maxExcessPerValue limits the number of values that may be computed in excess of those near the band after a Reset, as a
	// multiple of the number of entries. Above it, the caller must set a new band.
	maxExcessPerValue = 2
)

// side is the position of a value's bounds relative to the band.
type side uint8

const (
	below side = iota + 1 // both bounds are at most the low end of the band
	above                 // both bounds are at least the high end of the band
	near                  // the value can be inside the band or on either side
)

// Entry holds the position of one value in a Tracker. The zero value is not in any Tracker.
type Entry[T any] struct {
	Item  T // passed to the function that computes the value
	side  side
	epoch int // the Tracker's epoch when side was set; the entry is in the Tracker if they are equal and side is not 0
	index int // index in Tracker.near, if side is near
}

// Tracker tracks the lower median of values of which only a few are negative. The zero value is empty. It is not safe for
// concurrent use.
type Tracker[T any] struct {
	// Negligible is the value below which the median may be returned as 0.
	Negligible float64

	low, high   float64     // ends of the band around the median
	epoch       int         // number of calls of Reset
	belowCount  int         // number of entries below the band
	aboveCount  int         // number of entries above the band
	near        []*Entry[T] // all other entries
	nearValues  []float64   // values of near, reused by each Median
	nearAtReset int         // len(near) at the first Median after the latest Reset; -1: not called yet
	excess      int         // number of values computed since the latest Reset in excess of nearAtReset for each Median
}

// Len returns the number of entries.
func (t *Tracker[T]) Len() int { return t.belowCount + t.aboveCount + len(t.near) }

// Remove removes an entry, if it is in the Tracker.
func (t *Tracker[T]) Remove(e *Entry[T]) {
	if e.epoch != t.epoch {
		return
	}
	switch e.side {
	case below:
		t.belowCount--
	case above:
		t.aboveCount--
	case near:
		last := len(t.near) - 1
		t.near[e.index] = t.near[last]
		t.near[e.index].index = e.index
		t.near[last] = nil
		t.near = t.near[:last]
	}
	e.side = 0
}

// Put adds an entry or updates its bounds. The value must be between lower and upper, inclusive, until the next Put or Reset.
func (t *Tracker[T]) Put(e *Entry[T], lower, upper float64) {
	t.Remove(e)
	e.epoch = t.epoch
	switch {
	case upper <= t.low:
		e.side = below
		t.belowCount++
	case lower >= t.high:
		e.side = above
		t.aboveCount++
	default:
		e.side = near
		e.index = len(t.near)
		t.near = append(t.near, e)
	}
}

// Reset removes all entries and sets the band around a median that the caller has computed. The caller must then call Put for
// all entries again.
func (t *Tracker[T]) Reset(median float64) {
	t.low = max(median/bandFactor, t.Negligible)
	t.high = max(median*bandFactor, t.Negligible)
	t.epoch++
	t.belowCount = 0
	t.aboveCount = 0
	t.nearAtReset = -1
	t.excess = 0
	clear(t.near)
	t.near = t.near[:0]
}

// Median returns the lower median of the values, and whether it is known. The function value computes the value of an item. The
// median is not known if the band does not contain it, if too many values had to be computed since the latest Reset, or if
// there are no entries. The caller then computes it with Lower and calls Reset.
func (t *Tracker[T]) Median(value func(T) float64) (float64, bool) {
	rank := (t.Len() - 1) / 2
	if rank < t.belowCount {
		// Only values near the band can be negative. If there are at most rank of them, the median is between 0 and Negligible.
		return 0, t.low == t.Negligible && len(t.near) <= rank
	}
	if t.Len() == 0 || rank >= t.belowCount+len(t.near) || t.excess > maxExcessPerValue*t.Len() {
		return 0, false
	}
	t.computeNear(value)
	median := selectRank(t.nearValues, rank-t.belowCount)
	if median >= 0 && median < t.Negligible && t.low == t.Negligible {
		return 0, true // the values below the band are negligible too, so their order is irrelevant
	}
	return median, t.low <= median && median <= t.high
}

// computeNear computes the values near the band and adds their number to excess.
func (t *Tracker[T]) computeNear(value func(T) float64) {
	if t.nearAtReset < 0 {
		t.nearAtReset = len(t.near)
	}
	t.excess += max(len(t.near)-t.nearAtReset, 0)
	t.nearValues = t.nearValues[:0]
	for _, e := range t.near {
		t.nearValues = append(t.nearValues, value(e.Item))
	}
}
