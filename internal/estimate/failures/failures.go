// Package failures measures the recent failure ratio of the attempts at each of many servers, and the median of these
// ratios. A server's ratio fades towards its zone's: servers that fail together are mostly in one zone. It decides nothing,
// and takes the time, in seconds, as a field.
package failures

import (
	"math"

	"mothrouter/internal/collections/median"
)

const (
	minBoundsFor = 0.05 // seconds for which the bounds of ratios hold at least, and at most
	maxBoundsFor = 10.0

	// The bound of a zone's ratio leaves headroom, and follows once the ratio is this far below it.
	zoneHeadroom = 2.0
	zoneTighten  = 1.0 / 32

	relativeSlack = 1e-9 // far above the rounding of a ratio (2^-52),
	absoluteSlack = 1e-300
)

// Server is what is known of one server. Its zero value has seen no failure.
type Server struct {
	Zone  int
	Ratio float64 // of failed attempts, 0 to 1, at the time At
	At    float64
	Slow  bool // it fades as Ratios.SlowHalfLife tells, if that is longer

	entry      median.Entry[*Server]
	memberZone int // the zone among whose members it is, while it is included
	position   int // its place there, counted from 1; 0: excluded
}

type zone struct {
	ratio, at          float64
	decayed, decayedAt float64 // the ratio at a later time, since all servers there need it
	maxRatio           float64 // its ratio is no greater, as its members' bounds assume
	members            []*Server
}

// Ratios measures the servers of one fleet. It is not safe for concurrent use.
type Ratios struct {
	Now          float64 // seconds; never runs backwards
	HalfLife     float64 // seconds in which the distance of a ratio to its zone's halves
	SlowHalfLife float64 // the same for slow servers
	ZoneWeight   float64 // weight of one outcome in its zone's ratio

	zones       []zone
	included    int
	negligible  float64
	tracker     median.Tracker[*Server]
	boundsUntil float64
	boundsFor   float64
	values      []float64
}

// New returns ratios without servers. Medians up to negligible are given as 0.
func New(halfLife, zoneWeight, negligible float64) Ratios {
	return Ratios{HalfLife: halfLife, ZoneWeight: zoneWeight, negligible: negligible,
		tracker: median.Tracker[*Server]{Negligible: negligible}}
}

// Len is the number of servers in the median.
func (s *Ratios) Len() int { return s.included }

// Include counts a server in the median, or takes note of a change of its fields. Its zone is 0 or more.
func (s *Ratios) Include(r *Server) {
	s.ensureZone(r.Zone)
	if r.position > 0 && r.memberZone != r.Zone {
		s.Exclude(r)
	}
	if r.position == 0 {
		z := &s.zones[r.Zone]
		z.members = append(z.members, r)
		r.memberZone, r.position, r.entry.Item = r.Zone, len(z.members), r
		s.included++
	}
	s.putBounds(r)
}

// Exclude leaves a server out of the median.
func (s *Ratios) Exclude(r *Server) {
	s.ensureZone(r.Zone)
	if r.position == 0 {
		return
	}
	members := s.zones[r.memberZone].members
	last := len(members) - 1
	members[r.position-1] = members[last]
	members[r.position-1].position = r.position
	members[last] = nil
	s.zones[r.memberZone].members, r.position = members[:last], 0
	s.included--
	s.tracker.Remove(&r.entry)
}

func (s *Ratios) ensureZone(name int) {
	if more := name + 1 - len(s.zones); more > 0 {
		s.zones = append(s.zones, make([]zone, more)...)
		s.boundsUntil = 0 // a single zone does not count, several do
	}
}

// Of is a server's ratio now.
func (s *Ratios) Of(r *Server) float64 {
	zone := s.ofZone(r.Zone)
	if r.Ratio == zone {
		return zone // mostly so; with hundreds of servers the power costs much
	}
	halfLife := s.HalfLife
	if r.Slow {
		halfLife = max(halfLife, s.SlowHalfLife)
	}
	return zone + (r.Ratio-zone)*math.Exp2(-(s.Now-r.At)/halfLife)
}

func (s *Ratios) ofZone(name int) float64 {
	if len(s.zones) <= 1 {
		return 0 // a single one tells nothing of a server
	}
	z := &s.zones[name]
	if z.decayedAt != s.Now {
		z.decayed, z.decayedAt = z.ratio*math.Exp2(-(s.Now-z.at)/s.HalfLife), s.Now
	}
	return z.decayed
}

// Record counts an outcome: failed is 1 or 0, weight its weight in the server's ratio.
func (s *Ratios) Record(r *Server, failed, weight float64, slow bool) {
	share := s.Of(r)
	r.Ratio, r.At, r.Slow = share+weight*(failed-share), s.Now, slow
	z := &s.zones[r.Zone]
	z.ratio = s.ZoneWeight*failed + (1-s.ZoneWeight)*z.ratio*math.Exp2(-(s.Now-z.at)/s.HalfLife)
	z.at, z.decayed, z.decayedAt = s.Now, z.ratio, s.Now
	switch {
	case len(s.zones) <= 1:
	case z.ratio > z.maxRatio:
		s.setMaxRatio(z, min(z.ratio*zoneHeadroom, 1))
	case z.ratio < z.maxRatio*zoneTighten && z.maxRatio > s.negligible:
		s.setMaxRatio(z, z.ratio)
	}
	s.updateBounds(r)
}

// RecordPeer moves a server's ratio towards what others observed at a time.
func (s *Ratios) RecordPeer(r *Server, failed, weight, at float64) {
	share := s.Of(r)
	r.Ratio, r.At = share+weight*(failed-share), at
	s.updateBounds(r)
}

// setMaxRatio renews the bounds of a zone's members, with a bound of its ratio that holds from now on.
func (s *Ratios) setMaxRatio(z *zone, maxRatio float64) {
	z.maxRatio = maxRatio
	for _, r := range z.members {
		s.putBounds(r)
	}
}

func (s *Ratios) updateBounds(r *Server) {
	if r.position > 0 {
		s.putBounds(r)
	}
}

// putBounds tells the tracker between what a share stays while the bounds hold, if its server sees no outcome: it fades
// from its own towards its zone's, which is between 0 and zone.maxRatio.
func (s *Ratios) putBounds(r *Server) {
	if r.At > s.Now || r.Ratio < 0 { // observed by a clock ahead, or odd: computed each time
		s.tracker.Put(&r.entry, math.Inf(-1), math.Inf(1))
		return
	}
	zone, slack := s.zones[r.Zone].maxRatio, 0.0
	if zone+r.Ratio > 0 {
		slack = relativeSlack*(zone+r.Ratio) + absoluteSlack
	}
	own := math.Exp2(-(s.Now - r.At) / s.HalfLife)                    // what is left of its own ratio now,
	last := own * max(1-(s.boundsUntil-s.Now)*math.Ln2/s.HalfLife, 0) // and at the end, at least
	if r.Slow {
		own = 1
	}
	s.tracker.Put(&r.entry, r.Ratio*last-slack, r.Ratio*own+zone*(1-last)+slack)
}

// Median is the lower median of the ratios now, but 0 for a negligible one. There must be a server. Mostly the bounds of
// most ratios tell on which side of it they are, and few are computed; the value is exact all the same.
func (s *Ratios) Median() float64 {
	if s.Now < s.boundsUntil {
		if m, known := s.tracker.Median(s.Of); known {
			return m
		}
		s.boundsFor = max(s.boundsFor/2, minBoundsFor)
	} else {
		s.boundsFor = min(max(s.boundsFor*2, minBoundsFor), maxBoundsFor)
	}
	return s.scan()
}

// scan computes all ratios and bounds anew.
func (s *Ratios) scan() float64 {
	s.boundsUntil = s.Now + s.boundsFor
	s.values = s.values[:0]
	for i := range s.zones {
		s.zones[i].maxRatio = s.ofZone(i)
		for _, r := range s.zones[i].members {
			s.values = append(s.values, s.Of(r))
		}
	}
	m := median.Lower(s.values)
	s.tracker.Reset(m)
	for i := range s.zones {
		s.setMaxRatio(&s.zones[i], s.zones[i].maxRatio)
	}
	return m
}
