package failures

import "mothrouter/internal/collections/recent"

const (
	// When a zone's ratio exceeds its bound, the new bound is this multiple of the ratio, so that a fault that begins does not
	// renew the bounds of all members with every failure.
	zoneHeadroom = 2.0

	// When a zone's ratio falls below this fraction of its bound, the bound follows: loose bounds cost computed ratios.
	zoneTighten = 1.0 / 32
)

// zone is the failure ratio of all servers of a zone.
type zone struct {
	ratio     float64 // of failed attempts, 0 to 1, at the time at
	at        float64 // time of the latest outcome
	decayed   float64 // the ratio at decayedAt: cached, since every server of the zone needs it at the same time
	decayedAt float64
	maxRatio  float64 // upper bound of the ratio, which the members' bounds rest on
	members   []*Server
}

// ensureZone adds zones up to a number.
func (r *Ratios) ensureZone(number int) {
	missing := number + 1 - len(r.zones)
	if missing > 0 {
		r.zones = append(r.zones, make([]zone, missing)...)
		r.boundsUntil = 0 // a second zone makes the ratio of the first count
	}
}

// ofZone returns the ratio of a zone now. It is 0 for a single zone, which says nothing about a server of it.
func (r *Ratios) ofZone(number int) float64 {
	if len(r.zones) <= 1 {
		return 0
	}
	z := &r.zones[number]
	if z.decayedAt != r.Now {
		z.decayed = z.ratio * recent.HalfLifeDecay(r.Now-z.at, r.HalfLife)
		z.decayedAt = r.Now
	}
	return z.decayed
}

// recordInZone records an outcome in a zone: failed is 1 or 0.
func (r *Ratios) recordInZone(z *zone, failed float64) {
	z.ratio = r.ZoneWeight*failed + (1-r.ZoneWeight)*z.ratio*recent.HalfLifeDecay(r.Now-z.at, r.HalfLife)
	z.at = r.Now
	z.decayed = z.ratio
	z.decayedAt = r.Now
	switch {
	case len(r.zones) <= 1:
	case z.ratio > z.maxRatio:
		r.setMaxRatio(z, min(z.ratio*zoneHeadroom, 1))
	case z.ratio < z.maxRatio*zoneTighten && z.maxRatio > r.negligible:
		r.setMaxRatio(z, z.ratio)
	}
}

// setMaxRatio sets the bound of a zone's ratio and renews those of its members.
func (r *Ratios) setMaxRatio(z *zone, maxRatio float64) {
	z.maxRatio = maxRatio
	for _, server := range z.members {
		r.putBounds(server)
	}
}
