package membership

import (
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane"
	"mothrouter/internal/cluster/plane/planepb"
)

// tokenBucket bounds what is sent a second.
type tokenBucket struct {
	rate, burst, tokens float64
	at                  time.Duration
}

// spend takes n bytes, all or nothing.
func (b *tokenBucket) spend(now time.Duration, n int) bool {
	b.tokens = min(b.tokens+(now-b.at).Seconds()*b.rate, b.burst)
	b.at = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// send sends a message, unless its budget is used up. A heartbeat or a pong (nil) always goes: there are few.
func (v *View) send(to netip.AddrPort, d *planepb.Datagram, b *tokenBucket) bool {
	d.Version, d.Fleet, d.From = plane.Version, v.opt.Fleet, v.self.id
	d.Roster, d.States = v.sums.roster, v.sums.states
	if d.Seq == 0 {
		d.Seq = v.next()
	}
	if b != nil && !b.spend(v.now, plane.WireSize(d)) {
		return false
	}
	v.out = append(v.out, Send{to, d})
	return true
}

func (v *View) next() uint64 {
	v.seq++
	return v.seq
}
