// Package median keeps the lower median of many values that drift within stated bounds, without computing all of them each
// time. Of most values the bounds tell on which side of the median they are; only those near it are computed.
package median

import "slices"

const (
	bandWidth    = 1.25 // the band reaches from the median over this to the median times this
	scansPerBand = 2    // a new band pays once computing all values this many times was saved
)

type side uint8

const (
	below side = iota + 1
	above
	near
)

// Entry is the place of one value in a Tracker. The zero Entry is in none.
type Entry[T any] struct {
	Item  T
	side  side
	epoch int // the band that side refers to
	index int // in Tracker.near
}

// Tracker keeps the lower median of values that are rarely negative. It is not safe for concurrent use.
type Tracker[T any] struct {
	// Negligible is the value up to which the caller does not care what the median is: 0 is told instead.
	Negligible float64

	low, high              float64 // the band around the median
	epoch                  int
	belowCount, aboveCount int
	near                   []*Entry[T]
	values                 []float64
	nearAtReset            int // values near the band when it was new; -1: the median was not asked for since
	excess                 int // values computed since beyond these
}

// Len is the number of values.
func (t *Tracker[T]) Len() int { return t.belowCount + t.aboveCount + len(t.near) }

// Remove takes an entry out. It may be in or not.
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

// Put puts an entry in, or moves it: its value is from least to most until it is placed again.
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
		e.side, e.index = near, len(t.near)
		t.near = append(t.near, e)
	}
}

// Reset takes all entries out and lays the band around a median that the caller has computed. The caller then places
// the entries again.
func (t *Tracker[T]) Reset(median float64) {
	t.low, t.high = max(median/bandWidth, t.Negligible), max(median*bandWidth, t.Negligible)
	t.epoch++
	t.belowCount, t.aboveCount, t.nearAtReset, t.excess = 0, 0, -1, 0
	clear(t.near)
	t.near = t.near[:0]
}

// Median is the lower median of the values: the one at (n-1)/2 in their order from 0. It is false where the bounds
// do not tell, or there is no value: the caller computes it by Lower, and calls Reset.
func (t *Tracker[T]) Median(value func(T) float64) (float64, bool) {
	rank := (t.Len() - 1) / 2
	if rank < t.belowCount {
		// Only values near the band can be negative. There are too few of them to be the median.
		return 0, t.low == t.Negligible && len(t.near) <= rank
	}
	if t.Len() == 0 || rank >= t.belowCount+len(t.near) || t.excess > scansPerBand*t.Len() {
		return 0, false
	}
	if t.nearAtReset < 0 {
		t.nearAtReset = len(t.near)
	}
	t.excess += max(len(t.near)-t.nearAtReset, 0)
	t.values = t.values[:0]
	for _, e := range t.near {
		t.values = append(t.values, value(e.Item))
	}
	v := selectRank(t.values, rank-t.belowCount)
	if v >= 0 && v < t.Negligible && t.low == t.Negligible {
		return 0, true // what is below the band is as negligible
	}
	return v, t.low <= v && v <= t.high
}

// Lower is the lower median of at least one value. It changes their order.
func Lower(values []float64) float64 { return selectRank(values, (len(values)-1)/2) }

const insertionSize = 16 // so few values are sorted at once

// selectRank is the value at a rank, counted from 0, in the order of the values: Hoare's selection.
func selectRank(values []float64, rank int) float64 {
	for len(values) > insertionSize {
		pivot := medianOfThree(values[0], values[len(values)/2], values[len(values)-1])
		i, j := 0, len(values)-1
		for i <= j {
			for values[i] < pivot {
				i++
			}
			for values[j] > pivot {
				j--
			}
			if i <= j {
				values[i], values[j] = values[j], values[i]
				i, j = i+1, j-1
			}
		}
		switch { // values[:j+1] <= pivot <= values[i:]; what lies between equals it
		case rank <= j:
			values = values[:j+1]
		case rank >= i:
			values, rank = values[i:], rank-i
		default:
			return pivot
		}
	}
	slices.Sort(values)
	return values[rank]
}

func medianOfThree(a, b, c float64) float64 { return max(min(a, b), min(max(a, b), c)) }
