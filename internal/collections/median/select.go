package median

import "slices"

// sortSize is the number of values up to which they are sorted, because that is faster than partitioning them further.
const sortSize = 16

// Lower returns the lower median of n values, which is the value at the index (n-1)/2 in sorted order. There must be at least
// one value. Lower reorders the values.
func Lower(values []float64) float64 { return selectRank(values, (len(values)-1)/2) }

// selectRank returns the value at the index rank in sorted order, by quickselect with Hoare's partition scheme. It reorders the
// values.
func selectRank(values []float64, rank int) float64 {
	for len(values) > sortSize {
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

// partition reorders the values so that values[:right+1] are at most the pivot and values[left:] are at least the pivot. The
// values between equal the pivot. At least one of the values must equal the pivot.
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
