package membership

import (
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane/planepb"
)

// outstandingPing is a ping that has not been acked yet.
type outstandingPing struct {
	target        uint64 // ID of the pinged member; 0: a seed or an unknown sender, whose ID is not known yet
	sentAt        time.Duration
	expiresAt     time.Duration
	requester     uint64 // ID of the member on whose behalf it was sent; 0: self
	requestNumber uint32 // number of the requester's indirect ping request
}

// nextPingNumber returns a number for a ping or an indirect ping request. It skips 0, which means none in a datagram.
func (v *View) nextPingNumber() uint32 {
	v.lastPingNumber = max(v.lastPingNumber+1, 1)
	return v.lastPingNumber
}

// ping sends a datagram as a ping and records it as outstanding. It reports whether the ping was sent: it is not if
// maxOutstandingPings are outstanding or the ping budget is spent.
func (v *View) ping(to netip.AddrPort, target uint64, d *planepb.Datagram, requester uint64, requestNumber uint32) bool {
	if len(v.outstandingPings) >= maxOutstandingPings {
		return false
	}
	timeout := pingTimeout
	if requester != 0 {
		timeout = indirectPingTimeout
	}
	d.Ping = v.nextPingNumber()
	if !v.send(to, d, &v.pingBudget) {
		return false
	}
	v.outstandingPings[d.Ping] = outstandingPing{
		target:        target,
		sentAt:        v.now,
		expiresAt:     v.now + timeout,
		requester:     requester,
		requestNumber: requestNumber,
	}
	return true
}

// acknowledge acks a ping, and introduces self if the sender has requested it.
func (v *View) acknowledge(m *member, d *planepb.Datagram) {
	switch {
	case d.Who:
		v.send(m.Addr, &planepb.Datagram{Pong: d.Ping, Self: v.entry(v.self)}, &v.pingBudget)
	case d.Ping != 0:
		v.send(m.Addr, &planepb.Datagram{Pong: d.Ping}, nil)
	}
}

// handleAck handles the ack of a ping. An ack from a lost member refutes the loss: unlike other datagrams, which may have been
// delayed, it proves that the member was alive within pingTimeout. If the ping was sent on behalf of another member, that
// member receives an indirect ack.
func (v *View) handleAck(m *member, d *planepb.Datagram) {
	p, outstanding := v.outstandingPings[d.Pong]
	if d.Pong == 0 || !outstanding || p.target != m.id {
		return
	}
	delete(v.outstandingPings, d.Pong)
	if m.state.status() == Lost {
		v.applyState(m, m.state.refuted())
	}
	v.recordContact(m)
	if requester := v.byID[p.requester]; requester != nil {
		ack := &planepb.Datagram{About: m.id, Tell: p.requestNumber, Heard: true}
		v.send(requester.Addr, ack, &v.pingBudget)
	}
}

// recordContact records that a member is known to be alive now, and restarts its suspicion timer.
func (v *View) recordContact(m *member) {
	m.lastContact = v.now
	m.silentSince = v.now
}
