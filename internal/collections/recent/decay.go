package recent

import "math"

// Decay returns the factor to which a value decays exponentially over elapsed seconds with a time constant in seconds: 1/e
// after each of them.
func Decay(elapsed, timeConstant float64) float64 { return math.Exp(-elapsed / timeConstant) }

// HalfLifeDecay returns the factor to which a value decays exponentially over elapsed seconds with a half-life in seconds.
func HalfLifeDecay(elapsed, halfLife float64) float64 { return math.Exp2(-elapsed / halfLife) }
