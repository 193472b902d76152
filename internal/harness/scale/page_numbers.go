package scale

import (
	"math"
	"strconv"
)

// formatNumber formats a number with three significant digits.
func formatNumber(x float64) string {
	switch {
	case math.IsNaN(x):
		return notRun
	case math.IsInf(x, 0):
		return "∞"
	case x == 0:
		return "0"
	}
	digits := max(2-int(math.Floor(math.Log10(math.Abs(x)))), 0)
	if digits == 0 {
		unit := math.Pow(10, math.Floor(math.Log10(math.Abs(x)))-2)
		return thousands(int64(math.Round(x/unit) * unit))
	}
	return strconv.FormatFloat(x, 'f', digits, 64)
}

// thousands formats an integer with commas between groups of three digits.
func thousands(n int64) string {
	digits := strconv.FormatInt(n, 10)
	for i := len(digits) - 3; i > 0 && digits[i-1] != '-'; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}
