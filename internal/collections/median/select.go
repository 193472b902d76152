package median

import "slices"

// insertionSize is the number of values at and below which they are sorted: less work than partitioning them further.
const insertionSize = 16

// Lower returns the lower median of at least one value: the one at (n-1)/2 in their order, from 0. It reorders the values.
func Lower(values []float64) float64 { return selectRank(values, (len(values)-1)/2) }

// selectRank returns the value at a rank, from 0, in the order of the values, by Hoare's quickselect. It reorders the values.
func selectRank(values []float64, rank int) float64 {
	for len(values) > insertionSize {
		pivot := medianOfThree(values[0], values[len(values)/2], values[len(values)-1])
		left, right := partition(values, pivot)
		switch {
		case rank <= right:
			values = values[:right+1]
		case rank >= left:
			values = values[left:]
			rank -= left
		default:
			return pivot
		}
	}
	slices.Sort(values)
	return values[rank]
}

// partition reorders the values so that values[:right+1] are at most the pivot and values[left:] at least; those between
// equal it. One of the values must be the pivot.
func partition(values []float64, pivot float64) (left, right int) {
	left = 0
	right = len(values) - 1
	for left <= right {
		for values[left] < pivot {
			left++
		}
		for values[right] > pivot {
			right--
		}
		if left <= right {
			values[left], values[right] = values[right], values[left]
			left++
			right--
		}
	}
	return left, right
}

func medianOfThree(a, b, c float64) float64 { return max(min(a, b), min(max(a, b), c)) }
