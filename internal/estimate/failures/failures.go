// Package failures measures the recent ratio of failed attempts at each of many servers, and the median of these ratios. A
// server's ratio decays towards its zone's, since servers that fail together are mostly in one zone. The package decides
// nothing and takes the time, in seconds, as a field.
package failures

import (
	"mothrouter/internal/collections/median"
	"mothrouter/internal/collections/recent"
)

// Server is the failure ratio of one server. Its zero value has seen no failure.
type Server struct {
	Zone  int     // 0 or more
	Ratio float64 // of failed attempts, 0 to 1, at the time At
	At    float64 // time of the latest outcome
	Slow  bool    // the ratio decays with Ratios.SlowHalfLife, if that is longer

	entry      median.Entry[*Server]
	memberZone int // the zone that has it as a member, while it is included
	position   int // among the members there, from 1; 0: it is excluded
}

// Ratios measures the servers of one fleet. Use New. It is not safe for concurrent use.
type Ratios struct {
	Now          float64 // time; never runs backwards
	HalfLife     float64 // of the distance of a server's ratio to its zone's, in seconds
	SlowHalfLife float64 // the same for slow servers
	ZoneWeight   float64 // of one outcome in its zone's ratio

	zones       []zone
	included    int     // servers in the median
	negligible  float64 // see New
	tracker     median.Tracker[*Server]
	boundsUntil float64   // time until which the bounds in tracker hold
	boundsFor   float64   // how long they held from the latest scan on, in seconds
	values      []float64 // of all included servers, reused by each scan
}

// New returns ratios without servers. A median below negligible may be returned as 0.
func New(halfLife, zoneWeight, negligible float64) Ratios {
	return Ratios{
		HalfLife:   halfLife,
		ZoneWeight: zoneWeight,
		negligible: negligible,
		tracker:    median.Tracker[*Server]{Negligible: negligible},
	}
}

// Of returns a server's ratio now.
func (r *Ratios) Of(server *Server) float64 {
	zoneRatio := r.ofZone(server.Zone)
	if server.Ratio == zoneRatio {
		return zoneRatio // the usual case; saves the power with hundreds of servers
	}
	halfLife := r.HalfLife
	if server.Slow {
		halfLife = max(halfLife, r.SlowHalfLife)
	}
	return zoneRatio + (server.Ratio-zoneRatio)*recent.HalfLifeDecay(r.Now-server.At, halfLife)
}

// Record records an outcome of a server: failed is 1 or 0, weight its weight in the server's ratio, and slow the server's Slow
// from now on.
func (r *Ratios) Record(server *Server, failed, weight float64, slow bool) {
	previous := r.Of(server)
	server.Ratio = previous + weight*(failed-previous)
	server.At = r.Now
	server.Slow = slow
	r.recordInZone(&r.zones[server.Zone], failed)
	r.updateBounds(server)
}

// RecordPeer moves a server's ratio towards a ratio that a peer observed at a time, with a weight from 0 to 1.
func (r *Ratios) RecordPeer(server *Server, failed, weight, at float64) {
	previous := r.Of(server)
	server.Ratio = previous + weight*(failed-previous)
	server.At = at
	r.updateBounds(server)
}
