// Package failures measures which share of the attempts at each of many servers lately failed, and the median of these
// shares. A server's share fades towards its zone's: servers that fail together mostly stand together. It decides
// nothing, and takes the time as a field.
package failures

import (
	"math"

	"mothrouter/internal/median"
)

const (
	boundsLeast = 0.05 // seconds for which the bounds of shares hold at least, and at most
	boundsMost  = 10.0

	// The bound of a zone's share leaves room to grow, and follows once the share is that far below it.
	zoneRoom    = 2.0
	zoneTighten = 1.0 / 32

	relativeSlack = 1e-9 // far above the rounding of a share (2^-52),
	absoluteSlack = 1e-300
)

// Record is what is known of one server. Its zero value has seen no failure.
type Record struct {
	Zone  int
	Share float64 // of failed attempts, 0 to 1, at the time At
	At    float64
	Slow  bool // it fades as Shares.SlowHalfLife tells, if that is longer

	entry  median.Entry[*Record]
	in     int // the zone among whose members it is, while it is included
	number int // its place there, counted from 1; 0: excluded
}

type zone struct {
	share, at   float64
	faded, asOf float64 // the share at a later time, since all servers there ask
	most        float64 // its share is no greater, as its members' bounds assume
	members     []*Record
}

// Shares measures the servers of one fleet. It is not safe for concurrent use.
type Shares struct {
	Now          float64 // seconds; never runs backwards
	HalfLife     float64 // seconds in which the distance of a share to its zone's halves
	SlowHalfLife float64 // the same for slow records
	ZoneStep     float64 // weight of one outcome in its zone's share

	zones       []zone
	included    int
	negligible  float64
	tracker     median.Tracker[*Record]
	boundsUntil float64
	boundsFor   float64
	values      []float64
}

// New returns shares without servers. Medians up to negligible are told as 0.
func New(halfLife, zoneStep, negligible float64) Shares {
	return Shares{HalfLife: halfLife, ZoneStep: zoneStep, negligible: negligible,
		tracker: median.Tracker[*Record]{Negligible: negligible}}
}

// Len is the number of servers in the median.
func (s *Shares) Len() int { return s.included }

// Include counts a record in the median, or takes note of a change of its fields. Its zone is 0 or more.
func (s *Shares) Include(r *Record) {
	s.know(r.Zone)
	if r.number > 0 && r.in != r.Zone {
		s.Exclude(r)
	}
	if r.number == 0 {
		z := &s.zones[r.Zone]
		z.members = append(z.members, r)
		r.in, r.number, r.entry.Item = r.Zone, len(z.members), r
		s.included++
	}
	s.bound(r)
}

// Exclude leaves a record out of the median.
func (s *Shares) Exclude(r *Record) {
	s.know(r.Zone)
	if r.number == 0 {
		return
	}
	members := s.zones[r.in].members
	last := len(members) - 1
	members[r.number-1] = members[last]
	members[r.number-1].number = r.number
	members[last] = nil
	s.zones[r.in].members, r.number = members[:last], 0
	s.included--
	s.tracker.Remove(&r.entry)
}

func (s *Shares) know(name int) {
	if more := name + 1 - len(s.zones); more > 0 {
		s.zones = append(s.zones, make([]zone, more)...)
		s.boundsUntil = 0 // a single zone does not count, several do
	}
}

// Of is a server's share now.
func (s *Shares) Of(r *Record) float64 {
	zone := s.ofZone(r.Zone)
	if r.Share == zone {
		return zone // mostly so; with hundreds of servers the power costs much
	}
	halfLife := s.HalfLife
	if r.Slow {
		halfLife = math.Max(halfLife, s.SlowHalfLife)
	}
	return zone + (r.Share-zone)*math.Exp2(-(s.Now-r.At)/halfLife)
}

func (s *Shares) ofZone(name int) float64 {
	if len(s.zones) <= 1 {
		return 0 // a single one tells nothing of a server
	}
	z := &s.zones[name]
	if z.asOf != s.Now {
		z.faded, z.asOf = z.share*math.Exp2(-(s.Now-z.at)/s.HalfLife), s.Now
	}
	return z.faded
}

// Count counts an outcome: failed is 1 or 0, step its weight in the server's share.
func (s *Shares) Count(r *Record, failed, step float64, slow bool) {
	share := s.Of(r)
	r.Share, r.At, r.Slow = share+step*(failed-share), s.Now, slow
	z := &s.zones[r.Zone]
	z.share = s.ZoneStep*failed + (1-s.ZoneStep)*z.share*math.Exp2(-(s.Now-z.at)/s.HalfLife)
	z.at, z.faded, z.asOf = s.Now, z.share, s.Now
	switch {
	case len(s.zones) <= 1:
	case z.share > z.most:
		s.refit(z, math.Min(z.share*zoneRoom, 1))
	case z.share < z.most*zoneTighten && z.most > s.negligible:
		s.refit(z, z.share)
	}
	s.rebound(r)
}

// Hear moves a server's share to what others saw at a time.
func (s *Shares) Hear(r *Record, failed, weight, at float64) {
	share := s.Of(r)
	r.Share, r.At = share+weight*(failed-share), at
	s.rebound(r)
}

// refit renews the bounds of a zone's members, with a bound of its share that holds from now on.
func (s *Shares) refit(z *zone, most float64) {
	z.most = most
	for _, r := range z.members {
		s.bound(r)
	}
}

func (s *Shares) rebound(r *Record) {
	if r.number > 0 {
		s.bound(r)
	}
}

// bound tells the tracker between what a share stays while the bounds hold, if its server sees no outcome: it fades
// from its own towards its zone's, which is between 0 and zone.most.
func (s *Shares) bound(r *Record) {
	if r.At > s.Now || r.Share < 0 { // heard from a clock ahead, or odd: computed each time
		s.tracker.Place(&r.entry, math.Inf(-1), math.Inf(1))
		return
	}
	zone, slack := s.zones[r.Zone].most, 0.0
	if zone+r.Share > 0 {
		slack = relativeSlack*(zone+r.Share) + absoluteSlack
	}
	own := math.Exp2(-(s.Now - r.At) / s.HalfLife)                         // what is left of its own share now,
	last := own * math.Max(1-(s.boundsUntil-s.Now)*math.Ln2/s.HalfLife, 0) // and at the end, at least
	if r.Slow {
		own = 1
	}
	s.tracker.Place(&r.entry, r.Share*last-slack, r.Share*own+zone*(1-last)+slack)
}

// Median is the lower median of the shares now, but 0 for a negligible one. There must be a server. Mostly the bounds
// of most shares tell on which side of it they are, and few are computed; the value is exact all the same.
func (s *Shares) Median() float64 {
	if s.Now < s.boundsUntil {
		if m, known := s.tracker.Median(s.Of); known {
			return m
		}
		s.boundsFor = math.Max(s.boundsFor/2, boundsLeast)
	} else {
		s.boundsFor = math.Min(math.Max(s.boundsFor*2, boundsLeast), boundsMost)
	}
	return s.scan()
}

// scan computes all shares and bounds anew.
func (s *Shares) scan() float64 {
	s.boundsUntil = s.Now + s.boundsFor
	s.values = s.values[:0]
	for i := range s.zones {
		s.zones[i].most = s.ofZone(i)
		for _, r := range s.zones[i].members {
			s.values = append(s.values, s.Of(r))
		}
	}
	m := median.Lower(s.values)
	s.tracker.Reset(m)
	for i := range s.zones {
		s.refit(&s.zones[i], s.zones[i].most)
	}
	return m
}
