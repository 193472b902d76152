package membership

import (
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// tokenBucket bounds what is sent a second.
type tokenBucket struct {
	rate, burst, available float64
	refilledAt             time.Duration
}

// spend takes n bytes, all or nothing.
func (b *tokenBucket) spend(now time.Duration, n int) bool {
	b.available = min(b.available+(now-b.refilledAt).Seconds()*b.rate, b.burst)
	b.refilledAt = now
	if b.available < float64(n) {
		return false
	}
	b.available -= float64(n)
	return true
}

// send sends a message, unless its budget is used up. A heartbeat or a pong (nil) always goes: there are few.
func (v *View) send(to netip.AddrPort, d *planepb.Datagram, b *tokenBucket) bool {
	d.Version, d.Fleet, d.From = plane.Version, v.options.Fleet, v.self.id
	d.Roster, d.States = v.digest.roster, v.digest.states
	if d.Seq == 0 {
		d.Seq = v.nextSeq()
	}
	if b != nil && !b.spend(v.now, plane.WireSize(d)) {
		return false
	}
	v.outbox = append(v.outbox, Send{to, d})
	return true
}

func (v *View) nextSeq() uint64 {
	v.seq++
	return v.seq
}
