package membership

import (
	"net/netip"
	"time"

	"mothrouter/internal/cluster/plane/planepb"
)

// Receive handles a datagram that plane.Parse has accepted, given the sender's address, and returns the datagrams to send.
func (v *View) Receive(now time.Duration, addr netip.AddrPort, d *planepb.Datagram) []Send {
	v.advance(now)
	m := v.byID[d.From]
	switch {
	case m == v.self: // self's own datagram, or that of a peer that uses self's ID
		v.DroppedDatagrams++
		return nil
	case m == nil:
		v.handleUnknownSender(addr, d)
		return v.drainOutbox()
	case !m.acceptSeq(d.Seq):
		v.DroppedDatagrams++
		return nil
	}
	v.handleMember(m, d)
	return v.drainOutbox()
}

// handleMember handles a datagram from a known instance. Only an ack proves that a lost member is alive, since any other
// datagram may have been sent before the member was declared lost and then delayed; the member is pinged to obtain an ack.
// Datagrams from a member that has left are ignored.
func (v *View) handleMember(m *member, d *planepb.Datagram) {
	switch m.state.status() {
	case Left:
		return
	case Lost:
		if d.Pong == 0 {
			v.acknowledge(m, d)
			v.ping(m.Addr, m.id, &planepb.Datagram{}, 0, 0)
			return
		}
	default:
		v.recordContact(m)
		clear(m.confirmations)
	}
	v.acknowledge(m, d)
	v.handleAck(m, d)
	if d.Leave {
		v.applyState(m, m.state.withStatus(Left))
	}
	if v.isAlive(m) {
		v.handleIndirect(m, d)
		v.mergeGossip(m, d)
	}
}

// handleUnknownSender handles a datagram from an instance that is not in the member list. The instance is added only if the
// datagram is an introduction that acks an outstanding ping, since a delayed datagram of a reaped instance must not add the
// instance again. Any other datagram is dropped and answered with an introduction request.
func (v *View) handleUnknownSender(addr netip.AddrPort, d *planepb.Datagram) {
	p, outstanding := v.outstandingPings[d.Pong]
	introduces := outstanding && d.Pong != 0 && (p.target == 0 || p.target == d.From) && d.Self != nil
	if !introduces {
		v.DroppedDatagrams++
		v.requestIntroduction(addr, d)
		return
	}
	delete(v.outstandingPings, d.Pong)
	if len(v.memberList) >= maxInstances || v.aliveCount >= MaxMembers {
		return
	}
	m := v.add(instanceFromEntry(d.Self), 0)
	m.acceptSeq(d.Seq)
	m.lastContact = v.now
	v.acknowledge(m, d)
	v.mergeGossip(m, d)
}

// requestIntroduction pings an unknown sender and requests its introduction, at most once per introductionInterval unless the
// sender has sent a ping. The same datagram acks that ping; if it cannot be sent, an ack alone is sent.
func (v *View) requestIntroduction(addr netip.AddrPort, d *planepb.Datagram) {
	isPing := d.Ping != 0
	requested := false
	if isPing || v.now >= v.nextIntroductionAt {
		v.nextIntroductionAt = v.now + introductionInterval
		request := &planepb.Datagram{Pong: d.Ping, Self: v.entry(v.self), Who: true}
		requested = v.ping(addr, 0, request, 0, 0)
	}
	if isPing && !requested {
		v.send(addr, &planepb.Datagram{Pong: d.Ping}, nil)
	}
}

// Leave marks self as left and returns leave announcements to the observers and to some random members, which gossip the
// change. A driver may call it again to repeat the announcements.
func (v *View) Leave(now time.Duration) []Send {
	v.advance(now)
	v.leaving = true
	v.updateDigest(v.self, -1)
	v.self.state = v.self.state.withStatus(Left)
	v.updateDigest(v.self, 1)
	recipients := append(v.pickRandom(gossipFanout, anyMember), v.observers...)
	for _, m := range recipients {
		v.send(m.Addr, &planepb.Datagram{Leave: true}, nil)
	}
	return v.drainOutbox()
}
