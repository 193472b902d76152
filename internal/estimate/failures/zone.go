package failures

import "mothrouter/internal/collections/recent"

const (
	// maxRatioHeadroom is the new bound of a zone's ratio, as a multiple of the ratio, when the ratio exceeds the old bound. With
	// this headroom, not every failure at the beginning of a fault updates the bounds of all members.
	maxRatioHeadroom = 2.0

	// tightenBelow is the fraction of its bound below which a zone's ratio becomes its new bound. With loose bounds, more ratios
	// have to be computed for a median.
	tightenBelow = 1.0 / 32
)

// zone holds the failure ratio of all servers of one zone.
type zone struct {
	ratio        float64 // fraction of failed attempts at the time at, 0 to 1
	at           float64 // time of the latest outcome
	decayedRatio float64 // the ratio at the time decayedAt, cached because all servers of the zone need it at the same time
	decayedAt    float64
	maxRatio     float64   // upper bound of the ratio, from which the members' bounds are computed
	members      []*Server // servers included in the median
}

// ensureZone adds all missing zones up to the given number.
func (r *Ratios) ensureZone(number int) {
	missing := number + 1 - len(r.zones)
	if missing > 0 {
		r.zones = append(r.zones, make([]zone, missing)...)
		r.boundsExpireAt = 0 // with a second zone, the ratio of the first is no longer ignored
	}
}

// ofZone returns the ratio of a zone at the time Now. It returns 0 if there is only one zone, because the ratio of a single
// zone does not distinguish its servers from others.
func (r *Ratios) ofZone(number int) float64 {
	if len(r.zones) <= 1 {
		return 0
	}
	z := &r.zones[number]
	if z.decayedAt != r.Now {
		z.decayedRatio = z.ratio * recent.HalfLifeDecay(r.Now-z.at, r.HalfLife)
		z.decayedAt = r.Now
	}
	return z.decayedRatio
}

// recordInZone records an outcome in a zone. failed is 1 or 0.
func (r *Ratios) recordInZone(z *zone, failed float64) {
	z.ratio = r.ZoneWeight*failed + (1-r.ZoneWeight)*z.ratio*recent.HalfLifeDecay(r.Now-z.at, r.HalfLife)
	z.at = r.Now
	z.decayedRatio = z.ratio
	z.decayedAt = r.Now
	switch {
	case len(r.zones) <= 1:
	case z.ratio > z.maxRatio:
		r.setMaxRatio(z, min(z.ratio*maxRatioHeadroom, 1))
	case z.ratio < z.maxRatio*tightenBelow && z.maxRatio > r.negligible:
		r.setMaxRatio(z, z.ratio)
	}
}

// setMaxRatio sets the upper bound of a zone's ratio and updates the bounds of its members.
func (r *Ratios) setMaxRatio(z *zone, maxRatio float64) {
	z.maxRatio = maxRatio
	for _, server := range z.members {
		r.putBounds(server)
	}
}
