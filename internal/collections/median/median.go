// Package median keeps the lower median of many values that drift within known bounds, without computing all of them each
// time. For most values the bounds show on which side of the median they are; only the others are computed.
package median

const (
	// bandWidth sets the band from the median/bandWidth to the median*bandWidth: wide enough for the median to stay in it a
	// while, narrow enough to have few values inside.
	bandWidth = 1.25

	// scansPerBand is how many times all values are computed, in excess of those near a new band, before a new band is due.
	scansPerBand = 2
)

// side is where the bounds of a value lie relative to the band.
type side uint8

const (
	below side = iota + 1 // at most the low end
	above                 // at least the high end
	near                  // on either side or inside
)

// Entry is the place of one value in a Tracker. The zero Entry is in none.
type Entry[T any] struct {
	Item  T // passed to the function that computes the value
	side  side
	epoch int // the Tracker's when side was set; the entry is in the Tracker if they are equal and side is not 0
	index int // in Tracker.near, for the side near
}

// Tracker keeps the lower median of values of which only few are negative. Its zero value is empty. It is not safe for
// concurrent use.
type Tracker[T any] struct {
	// Negligible is the value below which the median may be returned as 0.
	Negligible float64

	low, high   float64 // ends of the band around the median
	epoch       int     // number of Resets
	belowCount  int     // entries below the band
	aboveCount  int     // entries above the band
	near        []*Entry[T]
	values      []float64 // those of near, reused by each Median
	nearAtReset int       // len(near) at the first Median after a Reset; -1: there was none
	excess      int       // values computed since, less nearAtReset each time
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

// Put adds an entry or updates its bounds: until the next Put its value is from lower to upper.
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

// Reset removes all entries and sets the band around a median that the caller has computed. The caller then puts the entries
// again.
func (t *Tracker[T]) Reset(median float64) {
	t.low = max(median/bandWidth, t.Negligible)
	t.high = max(median*bandWidth, t.Negligible)
	t.epoch++
	t.belowCount = 0
	t.aboveCount = 0
	t.nearAtReset = -1
	t.excess = 0
	clear(t.near)
	t.near = t.near[:0]
}

// Median returns the lower median of the values, and whether it is known. It is not where the band does not contain it, the
// band has become too expensive or there is no value: the caller then computes it with Lower and calls Reset. value computes
// the value of an item.
func (t *Tracker[T]) Median(value func(T) float64) (float64, bool) {
	rank := (t.Len() - 1) / 2
	if rank < t.belowCount {
		// Only values near the band can be negative. If they are too few to reach the rank, the median is from 0 to Negligible.
		return 0, t.low == t.Negligible && len(t.near) <= rank
	}
	if t.Len() == 0 || rank >= t.belowCount+len(t.near) || t.excess > scansPerBand*t.Len() {
		return 0, false
	}
	t.computeNear(value)
	median := selectRank(t.values, rank-t.belowCount)
	if median >= 0 && median < t.Negligible && t.low == t.Negligible {
		return 0, true // the values below the band are negligible too, so their order does not matter
	}
	return median, t.low <= median && median <= t.high
}

// computeNear computes the values near the band and accounts for their number.
func (t *Tracker[T]) computeNear(value func(T) float64) {
	if t.nearAtReset < 0 {
		t.nearAtReset = len(t.near)
	}
	t.excess += max(len(t.near)-t.nearAtReset, 0)
	t.values = t.values[:0]
	for _, e := range t.near {
		t.values = append(t.values, value(e.Item))
	}
}
