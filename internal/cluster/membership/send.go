package membership

import (
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// tokenBucket limits the rate of bytes sent.
type tokenBucket struct {
	rate       float64 // bytes per second
	burst      float64 // bytes
	available  float64 // bytes
	refilledAt time.Duration
}

// newTokenBucket returns a full bucket.
func newTokenBucket(rate, burst float64) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, available: burst}
}

// spend takes n bytes and reports whether they were available. If they were not, it takes none.
func (b *tokenBucket) spend(now time.Duration, n int) bool {
	b.available = min(b.available+(now-b.refilledAt).Seconds()*b.rate, b.burst)
	b.refilledAt = now
	if b.available < float64(n) {
		return false
	}
	b.available -= float64(n)
	return true
}

// send fills in the header of a datagram and appends it to the outbox. It reports whether the budget covered the datagram.
// Heartbeats, acks and leave announcements have a nil budget, since other limits bound their rate.
func (v *View) send(to netip.AddrPort, d *planepb.Datagram, budget *tokenBucket) bool {
	d.Version = plane.Version
	d.Fleet = v.options.Fleet
	d.From = v.self.id
	d.Roster = v.digest.instances
	d.States = v.digest.states
	if d.Seq == 0 {
		d.Seq = v.nextSeq()
	}
	if budget != nil && !budget.spend(v.now, plane.WireSize(d)) {
		return false
	}
	v.outbox = append(v.outbox, Send{to, d})
	return true
}

// nextSeq returns the next sequence number.
func (v *View) nextSeq() uint64 {
	v.seq++
	return v.seq
}
