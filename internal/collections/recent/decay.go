package recent

import "math"

// Decay returns the factor by which a value decays exponentially over elapsed seconds. timeConstant is the time in seconds over
// which the value decays to 1/e.
func Decay(elapsed, timeConstant float64) float64 { return math.Exp(-elapsed / timeConstant) }

// HalfLifeDecay returns the factor by which a value decays exponentially over elapsed seconds. halfLife is the time in seconds
// over which the value decays to one half.
func HalfLifeDecay(elapsed, halfLife float64) float64 { return math.Exp2(-elapsed / halfLife) }
