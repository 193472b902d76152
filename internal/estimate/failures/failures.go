// Package failures measures the recent ratio of failed attempts at each of many servers, and the median of these ratios. A
// server's ratio decays towards the ratio of its zone, because servers that fail at the same time are mostly in one zone. The
// package makes no decisions and takes the time, in seconds, as a field.
package failures

import (
	"mothrouter/internal/collections/median"
	"mothrouter/internal/collections/recent"
)

// Server holds the failure ratio of one server. The zero value is a server in zone 0 without failures.
type Server struct {
	Zone      int     // number of the zone, from 0
	Ratio     float64 // fraction of failed attempts at the time At, 0 to 1
	At        float64 // time of the latest outcome
	SlowDecay bool    // whether the ratio decays with Ratios.SlowHalfLife, if that is longer than Ratios.HalfLife

	entry      median.Entry[*Server]
	memberZone int // zone whose members contain the server, if it is included in the median
	position   int // position among these members, from 1; 0: the server is excluded from the median
}

// Ratios tracks the failure ratios of all servers of one fleet. Use New. It is not safe for concurrent use.
type Ratios struct {
	Now          float64 // current time; must not run backwards
	HalfLife     float64 // half-life of the difference between a server's ratio and its zone's ratio, in seconds
	SlowHalfLife float64 // like HalfLife, for servers whose SlowDecay is set
	ZoneWeight   float64 // weight of one outcome in its zone's ratio

	zones          []zone
	includedCount  int     // number of servers included in the median
	negligible     float64 // median below which Median may return 0
	tracker        median.Tracker[*Server]
	boundsExpireAt float64   // time until which the bounds in tracker hold
	boundsValidFor float64   // time from the latest scan until boundsExpireAt, in seconds
	allRatios      []float64 // ratios of all included servers, reused by each scan
}

// New returns a Ratios without servers. A median below negligible may be returned as 0.
func New(halfLife, zoneWeight, negligible float64) Ratios {
	return Ratios{
		HalfLife:   halfLife,
		ZoneWeight: zoneWeight,
		negligible: negligible,
		tracker:    median.Tracker[*Server]{Negligible: negligible},
	}
}

// Of returns a server's ratio at the time Now.
func (r *Ratios) Of(server *Server) float64 {
	zoneRatio := r.ofZone(server.Zone)
	if server.Ratio == zoneRatio {
		return zoneRatio // the common case, in which no exponential is computed for each of hundreds of servers
	}
	halfLife := r.HalfLife
	if server.SlowDecay {
		halfLife = max(halfLife, r.SlowHalfLife)
	}
	return zoneRatio + (server.Ratio-zoneRatio)*recent.HalfLifeDecay(r.Now-server.At, halfLife)
}

// Record records an outcome of a server. failed is 1 or 0, weight is the weight of the outcome in the server's ratio, and
// slowDecay is the new value of the server's SlowDecay field.
func (r *Ratios) Record(server *Server, failed, weight float64, slowDecay bool) {
	previous := r.Of(server)
	server.Ratio = previous + weight*(failed-previous)
	server.At = r.Now
	server.SlowDecay = slowDecay
	r.recordInZone(&r.zones[server.Zone], failed)
	r.updateBounds(server)
}

// RecordPeer moves a server's ratio towards the ratio that a peer observed at the time at, with a weight from 0 to 1.
func (r *Ratios) RecordPeer(server *Server, peerRatio, weight, at float64) {
	previous := r.Of(server)
	server.Ratio = previous + weight*(peerRatio-previous)
	server.At = at
	r.updateBounds(server)
}
