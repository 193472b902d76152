package failures

import (
	"math"

	"mothrouter/internal/collections/median"
	"mothrouter/internal/collections/recent"
)

// How long the bounds of all ratios hold, in seconds. It doubles with each scan that time makes due and halves with each that
// the median makes due, within these limits: a few batches, and two half-lives, after which bounds say little.
const (
	minBoundsFor = 0.05
	maxBoundsFor = 10.0
)

// Bounds allow for the rounding of a computed ratio, which is about 2^-52 of it, with ample reserve.
const (
	relativeSlack = 1e-9
	absoluteSlack = 1e-300
)

// Len returns the number of servers in the median.
func (r *Ratios) Len() int { return r.included }

// Include includes a server in the median. Call it again after a change of the server's fields.
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
		r.included++
	}
	r.putBounds(server)
}

// Exclude excludes a server from the median. It may be included or not.
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
	r.included--
	r.tracker.Remove(&server.entry)
}

// Median returns the lower median of the included servers' ratios now, of which there must be at least one; 0 stands for one
// below negligible. Mostly the bounds show on which side of the median a ratio is, so that few are computed; the result is
// exact all the same.
func (r *Ratios) Median() float64 {
	if r.Now < r.boundsUntil {
		m, known := r.tracker.Median(r.Of)
		if known {
			return m
		}
		r.boundsFor = max(r.boundsFor/2, minBoundsFor)
	} else {
		r.boundsFor = min(max(r.boundsFor*2, minBoundsFor), maxBoundsFor)
	}
	return r.scan()
}

// scan computes all ratios, returns their median and renews all bounds.
func (r *Ratios) scan() float64 {
	r.boundsUntil = r.Now + r.boundsFor
	r.values = r.values[:0]
	for i := range r.zones {
		z := &r.zones[i]
		z.maxRatio = r.ofZone(i)
		for _, server := range z.members {
			r.values = append(r.values, r.Of(server))
		}
	}
	m := median.Lower(r.values)
	r.tracker.Reset(m)
	for i := range r.zones {
		r.setMaxRatio(&r.zones[i], r.zones[i].maxRatio)
	}
	return m
}

// updateBounds renews the bounds of a server that may be excluded.
func (r *Ratios) updateBounds(server *Server) {
	if server.position > 0 {
		r.putBounds(server)
	}
}

// putBounds puts into the tracker between which values a server's ratio stays until boundsUntil if no outcome is recorded: it
// decays from its present value towards its zone's, which is from 0 to zone.maxRatio.
func (r *Ratios) putBounds(server *Server) {
	if server.At > r.Now || server.Ratio < 0 { // observed by a clock ahead, or out of range: always computed
		r.tracker.Put(&server.entry, math.Inf(-1), math.Inf(1))
		return
	}
	zoneMax := r.zones[server.Zone].maxRatio
	slack := 0.0
	if zoneMax+server.Ratio > 0 {
		slack = relativeSlack*(zoneMax+server.Ratio) + absoluteSlack
	}
	// The fraction of the server's own ratio that is left now, and at least at boundsUntil: 2^-x is at least 1 - x*ln 2.
	leftNow := recent.HalfLifeDecay(r.Now-server.At, r.HalfLife)
	leftAtEnd := leftNow * max(1-(r.boundsUntil-r.Now)*math.Ln2/r.HalfLife, 0)
	if server.Slow {
		leftNow = 1
	}
	r.tracker.Put(&server.entry, server.Ratio*leftAtEnd-slack, server.Ratio*leftNow+zoneMax*(1-leftAtEnd)+slack)
}
