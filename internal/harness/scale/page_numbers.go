package scale

import (
	"math"
	"strconv"
)

// formatNumber formats a number with three significant digits. NaN, the value of an experiment without a record, becomes
// notRun.
func formatNumber(value float64) string {
	switch {
	case math.IsNaN(value):
		return notRun
	case math.IsInf(value, 0):
		return "∞"
	case value == 0:
		return "0"
	}
	digits := max(2-int(math.Floor(math.Log10(math.Abs(value)))), 0)
	if digits == 0 {
		unit := math.Pow(10, math.Floor(math.Log10(math.Abs(value)))-2)
		return groupThousands(int64(math.Round(value/unit) * unit))
	}
	return strconv.FormatFloat(value, 'f', digits, 64)
}

// groupThousands formats an integer with commas as thousands separators.
func groupThousands(n int64) string {
	digits := strconv.FormatInt(n, 10)
	for i := len(digits) - 3; i > 0 && digits[i-1] != '-'; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}
