package failures

import (
	"math"

	"mothrouter/internal/collections/median"
	"mothrouter/internal/collections/recent"
)

// Limits of the time for which the bounds of all ratios are valid, in seconds. The time doubles with each scan that is needed
// because the bounds have expired, and halves with each scan that is needed because the tracker does not know the median.
const (
	minBoundsValidFor = 0.05 // the duration of a few batches of events
	maxBoundsValidFor = 10.0 // two half-lives, after which bounds are too loose to be useful
)

// Tolerances by which bounds are widened. A computed ratio has a relative rounding error of about 2^-52, so these are far
// larger than necessary.
const (
	relativeSlack = 1e-9
	absoluteSlack = 1e-300
)

// Len returns the number of servers included in the median.
func (r *Ratios) Len() int { return r.includedCount }

// Include includes a server in the median. It must be called again after a change to the server's exported fields.
func (r *Ratios) Include(server *Server) {
	r.ensureZone(server.Zone)
	if server.position > 0 && server.memberZone != server.Zone {
		r.Exclude(server)
	}
	if server.position == 0 {
		z := &r.zones[server.Zone]
		z.members = append(z.members, server)
		server.memberZone = server.Zone
		server.position = len(z.members)
		server.entry.Item = server
		r.includedCount++
	}
	r.putBounds(server)
}

// Exclude excludes a server from the median, if it is included.
func (r *Ratios) Exclude(server *Server) {
	r.ensureZone(server.Zone)
	if server.position == 0 {
		return
	}
	z := &r.zones[server.memberZone]
	last := len(z.members) - 1
	z.members[server.position-1] = z.members[last]
	z.members[server.position-1].position = server.position
	z.members[last] = nil
	z.members = z.members[:last]
	server.position = 0
	r.includedCount--
	r.tracker.Remove(&server.entry)
}

// Median returns the lower median of the ratios of the included servers at the time Now. At least one server must be included.
// A median below the negligible ratio may be returned as 0. For most servers, the bounds show on which side of the median the
// ratio is, so only few ratios are computed. The result is exact nevertheless.
func (r *Ratios) Median() float64 {
	if r.Now < r.boundsExpireAt {
		m, known := r.tracker.Median(r.Of)
		if known {
			return m
		}
		r.boundsValidFor = max(r.boundsValidFor/2, minBoundsValidFor)
	} else {
		r.boundsValidFor = min(max(r.boundsValidFor*2, minBoundsValidFor), maxBoundsValidFor)
	}
	return r.scan()
}

// scan computes the ratios of all included servers, returns their median and updates all bounds.
func (r *Ratios) scan() float64 {
	r.boundsExpireAt = r.Now + r.boundsValidFor
	r.allRatios = r.allRatios[:0]
	for i := range r.zones {
		z := &r.zones[i]
		z.maxRatio = r.ofZone(i)
		for _, server := range z.members {
			r.allRatios = append(r.allRatios, r.Of(server))
		}
	}
	m := median.Lower(r.allRatios)
	r.tracker.Reset(m)
	for i := range r.zones {
		r.setMaxRatio(&r.zones[i], r.zones[i].maxRatio)
	}
	return m
}

// updateBounds updates the bounds of a server's ratio, if the server is included.
func (r *Ratios) updateBounds(server *Server) {
	if server.position > 0 {
		r.putBounds(server)
	}
}

// putBounds sets the bounds of an included server's ratio in the tracker. The ratio stays within them until boundsExpireAt if
// no outcome is recorded: it decays from its current value towards its zone's ratio, which is between 0 and zone.maxRatio.
func (r *Ratios) putBounds(server *Server) {
	if server.At > r.Now || server.Ratio < 0 { // observed by a peer whose clock is ahead, or out of range: always computed
		r.tracker.Put(&server.entry, math.Inf(-1), math.Inf(1))
		return
	}
	zoneMax := r.zones[server.Zone].maxRatio
	slack := 0.0
	if zoneMax+server.Ratio > 0 {
		slack = relativeSlack*(zoneMax+server.Ratio) + absoluteSlack
	}
	// remainingNow is the fraction of the server's own ratio that remains now. remainingAtEnd is a lower bound of the fraction
	// that remains at boundsExpireAt, because 2^-x is at least 1 - x*ln 2.
	remainingNow := recent.HalfLifeDecay(r.Now-server.At, r.HalfLife)
	remainingAtEnd := remainingNow * max(1-(r.boundsExpireAt-r.Now)*math.Ln2/r.HalfLife, 0)
	if server.SlowDecay {
		remainingNow = 1 // upper bound: the ratio decays more slowly
	}
	r.tracker.Put(&server.entry, server.Ratio*remainingAtEnd-slack, server.Ratio*remainingNow+zoneMax*(1-remainingAtEnd)+slack)
}
