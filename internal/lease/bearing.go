package lease

import (
	"math"
	"math/rand/v2"
)

// What the module keeps to for itself (decision/draw.go) holds for the process here.
const (
	rateSpan   = 5.0  // seconds over which the answered rate is averaged
	peakSpan   = 60.0 // seconds in which its peak is forgotten
	coldMargin = 0.8  // share of the fall limit that is used
)

// Limits are what a deployment's settings tell of cold servers.
type Limits struct {
	ColdShare    float64 // a server starts with this share of its capacity
	WarmUp       float64 // and has all of it after so many seconds
	FallMultiple float64 // sent more than this multiple of its capacity
	FallTime     float64 // for so long, it falls over
	Brokers      int     // how many there are: each keeps to its part of the room
}

// Bearing estimates, for a whole process, what one cold server bears. What warm servers answered to this process
// is a lower bound of their capacity and its share of it.
type Bearing struct {
	limits         Limits
	rng            *rand.Rand
	rate, at, peak float64
}

// NewBearing returns an estimate that knows nothing yet.
func NewBearing(l Limits, rng *rand.Rand) *Bearing { return &Bearing{limits: l, rng: rng} }

// Resize takes up how many brokers there are.
func (b *Bearing) Resize(brokers int) { b.limits.Brokers = brokers }

// Answered books an answer of a warm server; so many are warm. What cold ones answer would pass for what few warm ones bear.
func (b *Bearing) Answered(now float64, warm int) {
	b.pass(now, warm)
	b.rate++
}

func (b *Bearing) pass(now float64, warm int) {
	dt := math.Max(now-b.at, 0)
	b.at = now
	b.rate *= math.Exp(-dt / rateSpan)
	sure := math.Max(b.rate-math.Sqrt(b.rate), 0) // less its deviation: the highest of few answers are chance
	b.peak = math.Max(b.peak*math.Exp(-dt/peakSpan), sure/rateSpan/float64(max(warm, 1)))
}

// Warmth is the share of its capacity that a server surely has which started at a time; 1: it is warm.
func (b *Bearing) Warmth(started, now float64) float64 {
	age := now - started
	if started <= 0 || b.limits.WarmUp <= 0 || age >= b.limits.WarmUp {
		return 1
	}
	return b.limits.ColdShare + (1-b.limits.ColdShare)*math.Max(age, 0)/b.limits.WarmUp
}

// Whole is how many parts this process may send to a server of a warmth within one window. Fractions are rounded by
// the server's luck, which is drawn anew for each window: up always would add up over the brokers.
func (b *Bearing) Whole(warmth, luck, now float64, warm int) float64 {
	b.pass(now, warm)
	room := coldMargin * b.limits.FallMultiple * warmth * b.limits.FallTime * b.peak
	room = math.Max(room, 1/float64(max(b.limits.Brokers, 1))) // one that has seen no answer yet may try
	return math.Floor(room + luck)
}

// Luck draws a server's luck for a window.
func (b *Bearing) Luck() float64 { return b.rng.Float64() }
